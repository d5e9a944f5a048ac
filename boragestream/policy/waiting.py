"""Calls of a service that wait for a server with room, earliest deadline first.

The wait is bounded by the time that each call can spare; a call that cannot be served
in it is given up at once, and told when the backlog will be gone. Which server has
room is left to ``policy.routing``.
"""

import bisect
import itertools
import random
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure

Chosen = TypeVar("Chosen")

__all__ = ["ServiceSaturated", "WaitingLine", "WaitingLines"]

# Reports fade and limits rise without a signal, so that the first in line looks again.
FIRST_LOOKS_SECONDS = 0.01
OTHERS_LOOK_SECONDS = 0.05
RATE_ENDS = 64
RATE_SECONDS = 5.0
LEAST_ENDS = 8
UNKNOWN_RETRY_SECONDS = 1.0
LEAST_RETRY_SECONDS = 0.05
MOST_RETRY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ServiceSaturated(Failure):
    """No server of the service has room within the time that the call can spare.

    :ivar service: the service's name.
    :ivar waiting: calls of this entry that wait for it.
    :ivar retry_after: seconds until the backlog is expected to be gone.
    """

    service: str
    waiting: int
    retry_after: float


@dataclass(order=True, slots=True)
class _Waiter:
    latest: float
    number: int
    woken: threading.Event = field(default_factory=threading.Event, compare=False)


class WaitingLine:
    """The waiting calls of one service.

    :param service: the service's name.
    :param rng: spreads the times at which callers come back.
    """

    def __init__(self, service: str, clock: Clock, rng: random.Random) -> None:
        self._service = service
        self._clock = clock
        self._rng = rng
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._ends: deque[float] = deque(maxlen=RATE_ENDS)
        self._lock = threading.Lock()

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return len(self._waiters)

    def take(
        self,
        choose: Callable[[], Chosen | None],
        latest: float,
        cancelled: Callable[[], bool],
    ) -> Chosen | ServiceSaturated:
        """Return what was chosen, waiting for room where there is none.

        :param choose: takes room on a server, or returns None; it is called by one
            thread at a time.
        :param latest: the clock's seconds up to which the call can wait.
        :param cancelled: tells whether the call is not wanted any more.
        """
        with self._lock:
            first = not self._waiters or latest < self._waiters[0].latest
            chosen = choose() if first else None
            if chosen is not None:
                return chosen
            if self._is_hopeless(latest):
                return self._saturated()
            waiter = _Waiter(latest, next(self._numbers))
            bisect.insort(self._waiters, waiter)
        try:
            return self._wait(waiter, choose, cancelled)
        finally:
            with self._lock:
                self._waiters.remove(waiter)
                self._wake_first()

    def note_end(self) -> None:
        """Count a call of the service that has ended, and let the next one look."""
        with self._lock:
            self._ends.append(self._clock.now())
            self._wake_first()

    def drain_rate(self) -> float | None:
        """Return the calls that end in a second; None while that is unknown."""
        oldest = self._clock.now() - RATE_SECONDS
        while self._ends and self._ends[0] < oldest:
            self._ends.popleft()
        if len(self._ends) < LEAST_ENDS:
            return None
        passed = self._clock.now() - self._ends[0]
        return len(self._ends) / max(passed, 0.001)

    def _wait(
        self,
        waiter: _Waiter,
        choose: Callable[[], Chosen | None],
        cancelled: Callable[[], bool],
    ) -> Chosen | ServiceSaturated:
        while True:
            first = self._waiters[0] is waiter
            look = FIRST_LOOKS_SECONDS if first else OTHERS_LOOK_SECONDS
            left = waiter.latest - self._clock.now()
            waiter.woken.wait(max(0.0, min(look, left)))
            waiter.woken.clear()
            with self._lock:
                first = self._waiters[0] is waiter
                chosen = choose() if first else None
                if chosen is not None:
                    return chosen
                if self._clock.now() >= waiter.latest or cancelled():
                    return self._saturated()

    def _is_hopeless(self, latest: float) -> bool:
        """Tell whether the calls with earlier deadlines use up the time."""
        now = self._clock.now()
        if latest <= now:
            return True
        rate = self.drain_rate()
        if rate is None:
            return False
        ahead = bisect.bisect_left(self._waiters, latest, key=lambda w: w.latest)
        return now + ahead / rate > latest

    def _saturated(self) -> ServiceSaturated:
        rate = self.drain_rate()
        backlog = len(self._waiters) + 1
        seconds = backlog / rate if rate else UNKNOWN_RETRY_SECONDS
        bounded = min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, seconds))
        spread = bounded * self._rng.uniform(1.0, 1.5)
        return ServiceSaturated(self._service, len(self._waiters), spread)

    def _wake_first(self) -> None:
        if self._waiters:
            self._waiters[0].woken.set()


class WaitingLines:
    """The lines by service."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._lines: dict[str, WaitingLine] = {}
        self._lock = threading.Lock()

    def of(self, service: str) -> WaitingLine:
        """Return the line of a service."""
        line = self._lines.get(service)
        if line is None:
            with self._lock:
                fresh = WaitingLine(service, self._clock, self._rng)
                line = self._lines.setdefault(service, fresh)
        return line
