"""The recent demand on a service, as an average over a short window.

It leaves out what becomes of the demand: refused requests count like served ones, since
an estimate from served requests can't exceed the capacity.
"""

from collections import deque

__all__ = ["DemandRate"]


class DemandRate:
    """Counts what is asked for; the owner must hold a lock.

    :param window_seconds: the length of the window.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._since: float | None = None
        self._asked: deque[tuple[float, int]] = deque()
        self._total = 0

    def record(self, count: int, now: float) -> None:
        """Record that so many units are asked for."""
        if self._since is None:
            self._since = now
        self._asked.append((now, count))
        self._total += count
        self._drop_old(now)

    def per_second(self, now: float) -> float | None:
        """Return the units that are asked for in a second.

        :returns: None until one whole window has been observed.
        """
        if self._since is None or now - self._since < self._window_seconds:
            return None
        self._drop_old(now)
        return self._total / self._window_seconds

    def _drop_old(self, now: float) -> None:
        while self._asked and self._asked[0][0] <= now - self._window_seconds:
            _, count = self._asked.popleft()
            self._total -= count
