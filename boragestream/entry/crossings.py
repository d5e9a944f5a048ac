"""Selection of the peers of other regions that an entry exchanges messages with.

The entries of a region together make a few exchanges a second with each other region,
however many entries there are: each draws with a probability that falls with the number
of entries of its region. No entry has a role, so the loss of none has to be detected.

Load pattern: hundreds of entries that spread an update all start rounds early; the
probability therefore depends on the time since the last draw and not on the rounds.
"""

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

from boragestream.base.clock import Clock

__all__ = ["CROSSINGS_PER_SECOND", "Crossings", "RegionalPeer"]

# Exchanges a second of all entries of a region with each other region. An update that
# one entry in ten knows then crosses within two seconds, in either direction.
CROSSINGS_PER_SECOND = 4.0
# One draw never stands for more than this time, so that a long pause adds no exchanges.
MAX_DRAW_SECONDS = 1.5
# Share of the exchanges that contact a suspected entry, to detect its recovery.
SUSPECT_SHARE = 0.25


class RegionalPeer(Protocol):
    """A peer, as far as its selection goes."""

    @property
    def suspect(self) -> bool:
        """Whether it is suspected."""

    @property
    def region(self) -> str:
        """Its region; empty if it is this entry's."""


P = TypeVar("P", bound=RegionalPeer)


class Crossings:
    """Draws the peers of other regions for the rounds of one entry."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._drawn_at = clock.now()

    def choose(self, peers: Sequence[P], entries: int) -> list[P]:
        """Return at most one peer of each other region.

        :param peers: the peers of other regions.
        :param entries: the number of live entries of the own region, this one included.
        """
        now = self._clock.now()
        elapsed = min(MAX_DRAW_SECONDS, now - self._drawn_at)
        self._drawn_at = now
        share = CROSSINGS_PER_SECOND * elapsed / entries
        chosen = []
        for region in sorted({peer.region for peer in peers}):
            if self._rng.random() >= share:
                continue
            there = [peer for peer in peers if peer.region == region]
            usable = [peer for peer in there if not peer.suspect]
            suspects = [peer for peer in there if peer.suspect]
            if suspects and (not usable or self._rng.random() < SUSPECT_SHARE):
                usable = suspects
            chosen.append(self._rng.choice(usable))
        return chosen
