"""Selection of the peers that an entry exchanges messages with in one round.

``entry.exchange`` runs the rounds, and ``entry.crossings`` adds peers of other regions.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

__all__ = ["Peer", "PeerDirectory", "choose_peers"]

# One round in this many also contacts a suspect, to detect its recovery.
SUSPECT_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry as seen by the exchange.

    :ivar address: its peer ``address:port``.
    :ivar suspect: whether it failed its probes.
    :ivar missed: whether this entry's own last exchange with it failed.
    :ivar region: its region; empty if it is in the region of this entry or in none.
    """

    name: str
    address: str
    data_centre: str
    suspect: bool = False
    missed: bool = False
    region: str = ""


class PeerDirectory(Protocol):
    """Lists the peers and records whether each exchange reached them."""

    def peers(self) -> Sequence[Peer]:
        """Return every other entry that may be contacted."""

    def note_reached(self, name: str) -> None:
        """Record that a peer answered this entry."""

    def note_missed(self, name: str) -> bool:
        """Record that a peer did not answer; True if others should probe it too."""

    def note_unreached(self, name: str) -> None:
        """Record that the probe of another entry also failed to reach the peer."""

    def recent_losses(self) -> int:
        """Return how many entries became unreachable in the last seconds."""

    def region_reachable(self, region: str) -> bool:
        """Return whether any entry of another region answers this region."""


def choose_peers(
    peers: Sequence[Peer], data_centre: str, count: int, rng: random.Random
) -> list[Peer]:
    """Return the peers of one round.

    A peer whose last exchange failed comes first, to distinguish a single lost message
    from an unreachable peer. Of the others, one belongs to another data centre and the
    rest belong to the entry's own data centre where possible.

    :param count: the maximum number of peers; one suspect may be added to them.
    """
    usable = [peer for peer in peers if not peer.suspect]
    chosen = [peer for peer in usable if peer.missed][:1]
    near = [p for p in usable if p.data_centre == data_centre and p not in chosen]
    far = [p for p in usable if p.data_centre != data_centre and p not in chosen]
    rng.shuffle(near)
    rng.shuffle(far)
    order = [*far[:1], *near, *far[1:]]
    chosen += order[: count - len(chosen)]
    suspects = [peer for peer in peers if peer.suspect]
    if suspects and rng.randrange(SUSPECT_ROUNDS) == 0:
        chosen.append(rng.choice(suspects))
    return chosen
