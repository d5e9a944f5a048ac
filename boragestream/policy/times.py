"""Recent durations of calls, and their quantiles.

A ring buffer holds the latest durations for each kind of call. Unlike a histogram since
the start of the process, it is small and exact and drops old durations.
"""

import threading
from collections import deque

from boragestream.base.clock import Clock, SystemClock

__all__ = ["RecentTimes"]

MAX_TIMES = 256
# Older durations are dropped as long as the minimum number remains. Durations from an
# overload that has ended would make calls that can be answered be abandoned.
MAX_AGE_SECONDS = 3.0
MIN_TIMES = 8
# The durations are sorted again after this number of additions.
REFRESH_TIMES = 16
REFRESH_SECONDS = 0.25


class _Ring:
    def __init__(self) -> None:
        self.times: deque[tuple[float, float]] = deque(maxlen=MAX_TIMES)
        self.ordered: list[float] = []
        self.added = 0
        self.refreshed_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the durations must be sorted again."""
        enough_added = self.added % REFRESH_TIMES == 0 or len(self.times) == MIN_TIMES
        return enough_added or now - self.refreshed_at >= REFRESH_SECONDS

    def refresh(self, now: float) -> None:
        """Drop old durations and sort the others."""
        while len(self.times) > MIN_TIMES and now - self.times[0][0] > MAX_AGE_SECONDS:
            self.times.popleft()
        self.ordered = sorted(seconds for _, seconds in self.times)
        self.refreshed_at = now


class RecentTimes:
    """The latest durations by kind of call.

    :param clock: determines the age of a duration.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._rings: dict[str, _Ring] = {}
        self._lock = threading.Lock()

    def add(self, kind: str, seconds: float) -> None:
        """Add one duration."""
        now = self._clock.now()
        with self._lock:
            ring = self._rings.setdefault(kind, _Ring())
            ring.times.append((now, seconds))
            ring.added += 1
            if ring.is_due(now):
                ring.refresh(now)

    def quantile(self, kind: str, share: float) -> float | None:
        """Return a quantile in seconds; None with fewer than the minimum of durations.

        :param share: the quantile to return, 0 to 1.
        """
        ring = self._rings.get(kind)
        ordered = ring.ordered if ring else []
        if len(ordered) < MIN_TIMES:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
