"""How many requests of a pipeline end in a second, as this entry sees it.

Two estimates are joined: the ends counted over the latest seconds, and Little's law on
what runs now, which already answers before enough requests have ended.
"""

from collections import deque

__all__ = ["DrainRate"]

COUNTED_SECONDS = 2.0
MAX_ENDS = 512


class DrainRate:
    """The ends of one pipeline's requests; not safe without its owner's lock."""

    def __init__(self) -> None:
        self._ends: deque[float] = deque(maxlen=MAX_ENDS)
        self._running = 0

    @property
    def running(self) -> int:
        """How many requests are under way."""
        return self._running

    def begin(self) -> None:
        """Count a request that begins."""
        self._running += 1

    def end(self, now: float) -> None:
        """Count a request that has ended."""
        self._running -= 1
        self._ends.append(now)

    def per_second(self, now: float, running_seconds: float) -> float:
        """Return the rate; 0 where nothing is known.

        :param running_seconds: the mean time of a request; 0 where it is not known.
        """
        while self._ends and self._ends[0] < now - COUNTED_SECONDS:
            self._ends.popleft()
        counted = len(self._ends) / COUNTED_SECONDS
        expected = self._running / running_seconds if running_seconds > 0 else 0.0
        return max(counted, expected)
