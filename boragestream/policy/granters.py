"""Which entries grant the permits to call a server, without asking anybody.

All live entries rank each other alike for a server. The ranks are kept until other
entries are live: there are hundreds of entries and thousands of servers, and a choice
among limited servers looks at each of them.

Entries can disagree for a moment on who is the first, after one has come or gone, and
for as long as some can't reach one another. Whether that may be so now is what an
entry's standing says.
"""

import threading
from collections.abc import Callable, Sequence
from enum import Enum

from boragestream.base.clock import Clock
from boragestream.policy.queue_owners import owner_order
from boragestream.policy.servers import Server

__all__ = ["Granters", "Standing"]

# The first in rank and the one that stands in for it.
GRANTING = 2
LOOK_AGAIN_SECONDS = 0.5
# All others know by then that an entry has come or gone.
SETTLED_SECONDS = 3.0


class Standing(Enum):
    """What an entry that grants permits is among the others."""

    FIRST = "the first for all that can be known"
    NEW = "the first since a moment ago, or one that stands in for it"
    DIVIDED = "the first, while others are silent and may have another"


class Granters:
    """The granting entries by server; any thread may ask.

    :param live: returns the names of the live entries, the own one included.
    :param subject: returns by what the entries are ranked for a server.
    :param divided: tells whether entries are silent, or know others than this one.
    """

    def __init__(
        self,
        live: Callable[[], Sequence[str]],
        subject: Callable[[Server], str],
        clock: Clock,
        divided: Callable[[], bool] = lambda: False,
    ) -> None:
        self._live = live
        self._divided = divided
        self._subject = subject
        self._clock = clock
        self._known: Sequence[str] = ()
        self._looked_at = float("-inf")
        self._changed_at = clock.now()
        self._ranked: dict[str, Sequence[str]] = {}
        # The first one of each subject, and since when.
        self._first: dict[str, tuple[str, float]] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many entries are live."""
        self.look_again()
        return len(self._known)

    def look_again(self) -> None:
        """Notice that entries have come or gone, also while nobody asks."""
        with self._lock:
            self._look_again()

    def of(self, server: Server) -> Sequence[str]:
        """Return the entries that grant, in their order."""
        subject = self._subject(server)
        with self._lock:
            self._look_again()
            ranked = self._ranked.get(subject)
            if ranked is None:
                ranked = owner_order(subject, self._known)[:GRANTING]
                self._ranked[subject] = ranked
            return ranked

    def standing(self, server: Server, entry: str) -> Standing:
        """Return what an entry is among those that grant for a server."""
        ranked = self.of(server)
        if ranked[:1] != [entry]:
            return Standing.NEW
        subject = self._subject(server)
        with self._lock:
            known = (entry, self._changed_at)
            _, since = self._first.setdefault(subject, known)
        if self._clock.now() - since < SETTLED_SECONDS:
            return Standing.NEW
        return Standing.DIVIDED if self._divided() else Standing.FIRST

    def _look_again(self) -> None:
        now = self._clock.now()
        if now - self._looked_at < LOOK_AGAIN_SECONDS:
            return
        self._looked_at = now
        live = sorted(self._live())
        if live != self._known:
            self._known = live
            self._changed_at = now
            self._ranked.clear()
            for subject, (before, _) in self._first.items():
                first = owner_order(subject, live)[0]
                if first != before:
                    self._first[subject] = (first, now)
