"""Measures how fast one direction of a connection progresses."""

import math
from collections import deque

__all__ = ["Pace"]

# About as many seconds count, since marks are set once a second.
MARKS = 3


class Pace:
    """The recent progress of bytes that go one way."""

    def __init__(self) -> None:
        # Times and the bytes that had gone by then, the oldest first.
        self._marks: deque[tuple[float, int]] = deque(maxlen=MARKS)

    def mark(self, now: float, total: int) -> None:
        """Record how many bytes have gone up to now.

        :param now: the clock's seconds.
        """
        self._marks.append((now, total))

    def reset(self) -> None:
        """Forget the progress, since nothing is waiting to go."""
        self._marks.clear()

    def seconds_observed(self, now: float) -> float:
        """Return for how long progress has been observed."""
        return now - self._marks[0][0] if self._marks else 0.0

    def seconds_for(self, left: int, now: float, total: int) -> float:
        """Return how long further bytes will take; infinite without any progress.

        :param left: the bytes that have yet to go.
        :param total: the bytes that have gone up to now.
        """
        if not self._marks or not left:
            return 0.0
        since, before = self._marks[0]
        gone = total - before
        return left * (now - since) / gone if gone > 0 else math.inf
