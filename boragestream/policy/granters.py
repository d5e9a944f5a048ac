"""Determines which entries grant the permits to call a server, without coordination.

All live entries compute the same ranking of entries for a server. The rankings are
cached until the set of live entries changes, because there are hundreds of entries and
thousands of servers, and a choice among limited servers looks at each of them.

Entries can disagree on the first entry for a short time after an entry has started or
stopped, and for as long as some of them can't reach one another. An entry's standing
states whether such a disagreement is possible now. An entry that was suspended goes on
with an outdated ranking, so that it counts as first for a short time only.

Where the settings name several regions, the entries of a server's region are ranked, so
that both sides of a cut link between regions agree on them. ``RegionGranters`` keeps a
ranking for each region.
"""

import threading
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.policy.queue_owners import owner_ranking
from boragestream.policy.servers import Server

__all__ = ["Granters", "GrantingEntries", "RegionGranters", "Standing"]

# The first in rank and its substitute.
GRANTERS_PER_SERVER = 2
REFRESH_SECONDS = 0.5
# Within this time all entries learn that an entry has started or stopped.
SETTLED_SECONDS = 3.0
# An entry that has not refreshed its ranking for this long was suspended, and others
# may have taken its place. Refreshes are less than two rounds of the exchange apart,
# except at an entry that knows no others.
SUSPENDED_SECONDS = 2.0


class Standing(Enum):
    """The position of a granting entry in the ranking, and how certain it is."""

    FIRST = "first in rank, as far as this entry can know"
    NEW = "first in rank for a short time only, or the substitute of the first"
    DIVIDED = "first in rank, but other entries may have a different first one"


class GrantingEntries(Protocol):
    """The entries that grant the permits for each server."""

    def for_server(self, server: Server) -> Sequence[str]:
        """Return the entries that grant permits for a server, the first one first."""

    def standing(self, server: Server, entry: str) -> Standing:
        """Return the standing of an entry among the granting entries of a server."""


class Granters:
    """The granting entries by server; safe to use from any thread.

    :param live: returns the names of the live entries, including this one.
    :param subject: returns the key by which the entries are ranked for a server.
    :param among: returns those of the live entries that are ranked for a server.
    :param divided: returns whether some entries do not answer, or have a different set
        of live entries than this one.
    :param version: returns a number that changes when ``among`` may return other
        entries although the live ones are the same.
    """

    def __init__(
        self,
        live: Callable[[], Sequence[str]],
        subject: Callable[[Server], str],
        clock: Clock,
        divided: Callable[[], bool] = lambda: False,
        among: Callable[[Server, Sequence[str]], Sequence[str]] = (
            lambda server, live: live
        ),
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._version = version
        self._version_ranked = 0
        self._live = live
        self._divided = divided
        self._among = among
        self._subject = subject
        self._clock = clock
        self._entries: Sequence[str] = ()
        self._refreshed_at = float("-inf")
        self._changed_at = clock.now()
        self._ranked: dict[str, Sequence[str]] = {}
        # The first entry for each subject, the time since which it has been first, and
        # a server of the subject.
        self._first: dict[str, tuple[str, float, Server]] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """The number of live entries."""
        self.refresh()
        return len(self._entries)

    def refresh(self) -> None:
        """Update the live entries; called every second, even without look-ups."""
        with self._lock:
            self._refresh()

    def for_server(self, server: Server) -> Sequence[str]:
        """Return the entries that grant permits for a server, the first one first."""
        subject = self._subject(server)
        with self._lock:
            self._refresh()
            ranked = self._ranked.get(subject)
            if ranked is None:
                ranked = self._rank(subject, server)[:GRANTERS_PER_SERVER]
                self._ranked[subject] = ranked
            return ranked

    def standing(self, server: Server, entry: str) -> Standing:
        """Return the standing of an entry among the granting entries of a server."""
        ranked = self.for_server(server)
        if ranked[:1] != [entry]:
            return Standing.NEW
        subject = self._subject(server)
        with self._lock:
            default = (entry, self._changed_at, server)
            _, since, _ = self._first.setdefault(subject, default)
        if self._clock.now() - since < SETTLED_SECONDS:
            return Standing.NEW
        return Standing.DIVIDED if self._divided() else Standing.FIRST

    def _refresh(self) -> None:
        now = self._clock.now()
        elapsed = now - self._refreshed_at
        if elapsed < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        if elapsed > SUSPENDED_SECONDS and len(self._entries) > 1:
            self._changed_at = now
            self._first.clear()
        live, version = sorted(self._live()), self._version()
        if live != self._entries or version != self._version_ranked:
            self._entries, self._version_ranked = live, version
            self._changed_at = now
            self._ranked.clear()
            for subject, (before, _, server) in self._first.items():
                first = self._rank(subject, server)[0]
                if first != before:
                    self._first[subject] = (first, now, server)

    def _rank(self, subject: str, server: Server) -> list[str]:
        return owner_ranking(subject, self._among(server, self._entries))


class RegionGranters:
    """The granting entries by server, ranked among the entries of its region.

    :param region: returns the region whose entries are ranked for a server; empty if
        all entries are.
    :param make: returns the granting entries of a region; those of all entries for an
        empty name.
    """

    def __init__(
        self, region: Callable[[Server], str], make: Callable[[str], Granters]
    ) -> None:
        self._region = region
        self._make = make
        self._all = make("")
        self._by_region: dict[str, Granters] = {"": self._all}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """The number of live entries of all regions."""
        return self._all.count

    def refresh(self) -> None:
        """Update the live entries; called periodically, even without look-ups."""
        for granters in list(self._by_region.values()):
            granters.refresh()

    def for_server(self, server: Server) -> Sequence[str]:
        """Return the entries that grant permits for a server, the first one first."""
        return self._of(server).for_server(server)

    def standing(self, server: Server, entry: str) -> Standing:
        """Return the standing of an entry among the granting entries of a server."""
        return self._of(server).standing(server, entry)

    def _of(self, server: Server) -> Granters:
        region = self._region(server)
        with self._lock:
            if region not in self._by_region:
                self._by_region[region] = self._make(region)
            return self._by_region[region]
