"""Which entries grant the permits to call a server, without asking anybody.

All live entries rank each other alike for a server. The ranks are kept until other
entries are live: there are hundreds of entries and thousands of servers, and a choice
among limited servers looks at each of them.
"""

import threading
from collections.abc import Callable, Sequence

from boragestream.base.clock import Clock
from boragestream.policy.queue_owners import owner_order
from boragestream.policy.servers import Server

__all__ = ["Granters"]

# The first in rank and the one that stands in for it.
GRANTING = 2
LOOK_AGAIN_SECONDS = 0.5


class Granters:
    """The granting entries by server; any thread may ask.

    :param live: returns the names of the live entries, the own one included.
    :param subject: returns by what the entries are ranked for a server.
    """

    def __init__(
        self,
        live: Callable[[], Sequence[str]],
        subject: Callable[[Server], str],
        clock: Clock,
    ) -> None:
        self._live = live
        self._subject = subject
        self._clock = clock
        self._known: Sequence[str] = ()
        self._looked_at = float("-inf")
        self._ranked: dict[str, Sequence[str]] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many entries are live."""
        with self._lock:
            self._look_again()
            return len(self._known)

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

    def _look_again(self) -> None:
        now = self._clock.now()
        if now - self._looked_at < LOOK_AGAIN_SECONDS:
            return
        self._looked_at = now
        live = sorted(self._live())
        if live != self._known:
            self._known = live
            self._ranked.clear()
