"""Probes of peers that did not answer an exchange.

A peer is probed first directly and then through another entry, so that a lost message
or a broken link of this entry is not mistaken for a lost entry.

A slow or cut link between regions must not be mistaken for lost entries. A peer of
another region is therefore probed through an entry of that region, and is suspected
only if that entry could not reach it either. While no entry of a region answers at all,
the ``PeerDirectory`` reports all of its entries as suspects.
"""

import math
import random

from boragestream.base.clock import Clock
from boragestream.entry.links import PeerLinks, PeerRejected, PeerUnreachable
from boragestream.entry.messages import (
    Message,
    MessageRefused,
    Probe,
    ProbeFor,
    ProbeForReply,
    ProbeReply,
)
from boragestream.entry.peer_choice import Peer, PeerDirectory

__all__ = ["EXCHANGE_TIMEOUT_SECONDS", "PROBE_TIMEOUT_SECONDS", "PeerProbes"]

EXCHANGE_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.7
# An entry that answered this entry within this time is most likely reachable and can
# probe another one.
RECENTLY_REACHED_SECONDS = 2.0
# Entries of another region that are asked one after another whether they reach an
# entry of theirs. The second is asked only if the first does not answer.
REGION_WITNESSES = 2


class PeerProbes:
    """Probes the peers that did not answer this entry.

    :param links: carries the messages.
    :param directory: supplies the peers and interprets the results.
    :param rng: chooses the entries that probe on behalf of this one.
    """

    def __init__(
        self,
        links: PeerLinks,
        directory: PeerDirectory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._directory = directory
        self._clock = clock
        self._rng = rng
        # Time of the last answer of each peer to this entry.
        self._reached_at: dict[str, float] = {}

    def note_reached(self, name: str) -> None:
        """Record that a peer answered this entry."""
        self._reached_at[name] = self._clock.now()
        self._directory.note_reached(name)

    def confirm_missed(self, unresponsive: Peer) -> None:
        """Probe a peer that did not answer, first directly and then indirectly."""
        self._directory.note_missed(unresponsive.name)
        if not self._directory.region_reachable(unresponsive.region):
            return
        reply = self._links.ask(unresponsive.address, Probe(), PROBE_TIMEOUT_SECONDS)
        if isinstance(reply, ProbeReply):
            self.note_reached(unresponsive.name)
        elif self._directory.note_missed(unresponsive.name):
            if unresponsive.region:
                self._probe_in_region(unresponsive)
            else:
                self._probe_indirectly(unresponsive)

    def _probe_indirectly(self, unresponsive: Peer) -> None:
        others = self._probers(unresponsive)
        since = self._clock.now() - RECENTLY_REACHED_SECONDS
        recently_reached = [
            p for p in others if self._reached_at.get(p.name, -math.inf) > since
        ]
        if others:
            other = self._rng.choice(recently_reached or others)
            reply = self._ask_to_probe(other, unresponsive)
            if isinstance(reply, ProbeForReply) and reply.reached:
                self._directory.note_reached(unresponsive.name)
                return
        self._directory.note_unreached(unresponsive.name)

    def _probe_in_region(self, unresponsive: Peer) -> None:
        """Suspect a peer of another region only if an entry of that region does.

        A region without any other entry that answers is handled by its reachability.
        """
        others = self._probers(unresponsive)
        for other in self._rng.sample(others, min(REGION_WITNESSES, len(others))):
            reply = self._ask_to_probe(other, unresponsive)
            if isinstance(reply, ProbeForReply):
                if reply.reached:
                    self._directory.note_reached(unresponsive.name)
                else:
                    self._directory.note_unreached(unresponsive.name)
                return

    def _probers(self, unresponsive: Peer) -> list[Peer]:
        """Return the entries of a peer's region that can probably probe it."""
        return [
            peer
            for peer in self._directory.peers()
            if not (peer.suspect or peer.missed or peer.name == unresponsive.name)
            and peer.region == unresponsive.region
        ]

    def _ask_to_probe(
        self, other: Peer, unresponsive: Peer
    ) -> Message | PeerUnreachable | PeerRejected | MessageRefused:
        limit = PROBE_TIMEOUT_SECONDS + EXCHANGE_TIMEOUT_SECONDS
        return self._links.ask(other.address, ProbeFor(unresponsive.name), limit)
