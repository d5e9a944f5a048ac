"""Queues of calls that wait for a server with room, earliest deadline first.

Each call waits at most for its slack. A call that can't be served within that time is
refused at once, with the time at which the backlog is expected to be drained.
``policy.routing`` decides which server has room.
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

__all__ = ["CallQueue", "ServiceSaturated", "CallQueues"]

# Load reports expire and limits rise without a signal to the waiting calls, so that
# these poll; the first of the queue polls more often.
FIRST_POLL_SECONDS = 0.01
OTHERS_POLL_SECONDS = 0.05
MAX_RATE_SAMPLES = 64
RATE_SAMPLE_SECONDS = 5.0
MIN_RATE_SAMPLES = 8
UNKNOWN_RETRY_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ServiceSaturated(Failure):
    """No server of the service has room within the time that the call can spare.

    :ivar service: the service's name.
    :ivar waiting: the number of calls of this entry that wait for it.
    :ivar retry_after: seconds until the backlog is expected to be drained.
    """

    service: str
    waiting: int
    retry_after: float


@dataclass(order=True, slots=True)
class _Waiter:
    latest: float
    number: int
    woken: threading.Event = field(default_factory=threading.Event, compare=False)


class CallQueue:
    """The waiting calls of one service.

    :param service: the service's name.
    :param rng: randomizes the times at which callers retry.
    """

    def __init__(self, service: str, clock: Clock, rng: random.Random) -> None:
        self._service = service
        self._clock = clock
        self._rng = rng
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._ends: deque[float] = deque(maxlen=MAX_RATE_SAMPLES)
        self._lock = threading.Lock()

    @property
    def waiting(self) -> int:
        """The number of calls that wait."""
        return len(self._waiters)

    def acquire(
        self,
        choose: Callable[[], Chosen | None],
        latest: float,
        cancelled: Callable[[], bool],
    ) -> Chosen | ServiceSaturated:
        """Reserve room on a server, waiting for it if there is none.

        :param choose: reserves room on a server, or returns None; it is called by one
            thread at a time.
        :param latest: the clock's seconds up to which the call can wait.
        :param cancelled: returns whether the call has been cancelled.
        :returns: the result of ``choose``, or a failure if no room was found in time.
        """
        with self._lock:
            first = not self._waiters or latest < self._waiters[0].latest
            chosen = choose() if first else None
            if chosen is not None:
                return chosen
            if self._is_too_late(latest):
                return self._saturated()
            waiter = _Waiter(latest, next(self._numbers))
            bisect.insort(self._waiters, waiter)
        try:
            return self._wait(waiter, choose, cancelled)
        finally:
            with self._lock:
                self._waiters.remove(waiter)
                self._wake_first()

    def record_end(self) -> None:
        """Record that a call of the service has ended; wake the first waiting one."""
        with self._lock:
            self._ends.append(self._clock.now())
            self._wake_first()

    def drain_rate(self) -> float | None:
        """Return the number of calls that end in a second; None while unknown."""
        oldest = self._clock.now() - RATE_SAMPLE_SECONDS
        while self._ends and self._ends[0] < oldest:
            self._ends.popleft()
        if len(self._ends) < MIN_RATE_SAMPLES:
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
            poll_seconds = FIRST_POLL_SECONDS if first else OTHERS_POLL_SECONDS
            left = waiter.latest - self._clock.now()
            waiter.woken.wait(max(0.0, min(poll_seconds, left)))
            waiter.woken.clear()
            with self._lock:
                first = self._waiters[0] is waiter
                chosen = choose() if first else None
                if chosen is not None:
                    return chosen
                if self._clock.now() >= waiter.latest or cancelled():
                    return self._saturated()

    def _is_too_late(self, latest: float) -> bool:
        """Return whether calls with earlier deadlines would use up the time left."""
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
        bounded = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
        randomized = bounded * self._rng.uniform(1.0, 1.5)
        return ServiceSaturated(self._service, len(self._waiters), randomized)

    def _wake_first(self) -> None:
        if self._waiters:
            self._waiters[0].woken.set()


class CallQueues:
    """The queues by service."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, CallQueue] = {}
        self._lock = threading.Lock()

    @property
    def waiting(self) -> int:
        """The number of calls that wait, of all services."""
        return sum(queue.waiting for queue in list(self._queues.values()))

    def of(self, service: str) -> CallQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            with self._lock:
                fresh = CallQueue(service, self._clock, self._rng)
                queue = self._queues.setdefault(service, fresh)
        return queue
