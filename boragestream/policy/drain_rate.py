"""The rate at which requests of a pipeline end on this entry.

The rate is the larger of two estimates: the requests that ended in the last seconds,
and Little's law applied to the running requests, which is available before enough
requests have ended.
"""

from collections import deque

__all__ = ["DrainRate"]

SAMPLE_SECONDS = 2.0
MAX_SAMPLES = 512


class DrainRate:
    """The ends of one pipeline's requests; the owner must hold a lock."""

    def __init__(self) -> None:
        self._ends: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._running = 0

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        return self._running

    def begin(self) -> None:
        """Record that a request begins."""
        self._running += 1

    def end(self, now: float) -> None:
        """Record that a request has ended."""
        self._running -= 1
        self._ends.append(now)

    def per_second(self, now: float, running_seconds: float) -> float:
        """Return the number of requests that end in a second; 0 if unknown.

        :param running_seconds: the mean seconds of a request; 0 if unknown.
        """
        while self._ends and self._ends[0] < now - SAMPLE_SECONDS:
            self._ends.popleft()
        counted = len(self._ends) / SAMPLE_SECONDS
        expected = self._running / running_seconds if running_seconds > 0 else 0.0
        return max(counted, expected)
