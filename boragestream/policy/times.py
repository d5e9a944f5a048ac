"""Recent times of stages, and their quantiles.

A ring of the latest times is kept for each kind of call. It is small and exact and
forgets, which a histogram over the whole life would not.
"""

import threading
from collections import deque

from boragestream.base.clock import Clock, SystemClock

__all__ = ["RecentTimes"]

KEPT_TIMES = 256
# Older times are dropped beyond the least number: those of an overload that is over
# would have calls given up that can be answered.
KEPT_SECONDS = 3.0
LEAST_TIMES = 8
# Quantiles are worked out anew after so many further times.
REFRESH_TIMES = 16
REFRESH_SECONDS = 0.25


class _Ring:
    def __init__(self) -> None:
        self.times: deque[tuple[float, float]] = deque(maxlen=KEPT_TIMES)
        self.ordered: list[float] = []
        self.added = 0
        self.refreshed_at = 0.0

    def is_due(self, now: float) -> bool:
        """Tell whether the quantiles shall be worked out anew."""
        several = self.added % REFRESH_TIMES == 0 or len(self.times) == LEAST_TIMES
        return several or now - self.refreshed_at >= REFRESH_SECONDS

    def refresh(self, now: float) -> None:
        """Drop old times and order the others."""
        while len(self.times) > LEAST_TIMES and now - self.times[0][0] > KEPT_SECONDS:
            self.times.popleft()
        self.ordered = sorted(seconds for _, seconds in self.times)
        self.refreshed_at = now


class RecentTimes:
    """The latest times by kind of call.

    :param clock: tells how old a time is.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._rings: dict[str, _Ring] = {}
        self._lock = threading.Lock()

    def add(self, kind: str, seconds: float) -> None:
        """Take one time."""
        now = self._clock.now()
        with self._lock:
            ring = self._rings.setdefault(kind, _Ring())
            ring.times.append((now, seconds))
            ring.added += 1
            if ring.is_due(now):
                ring.refresh(now)

    def quantile(self, kind: str, share: float) -> float | None:
        """Return a quantile in seconds; None before enough times are known.

        :param share: which quantile, 0 to 1.
        """
        ring = self._rings.get(kind)
        ordered = ring.ordered if ring else []
        if len(ordered) < LEAST_TIMES:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
