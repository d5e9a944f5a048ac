"""Recent times of stages, and their quantiles.

A ring of the latest times is kept for each kind of call. It is small and exact and
forgets, which a histogram over the whole life would not.
"""

import threading
from collections import deque

__all__ = ["RecentTimes"]

KEPT_TIMES = 256
LEAST_TIMES = 8
# Quantiles are worked out anew after so many further times.
REFRESH_TIMES = 16


class _Ring:
    def __init__(self) -> None:
        self.times: deque[float] = deque(maxlen=KEPT_TIMES)
        self.ordered: list[float] = []
        self.added = 0


class RecentTimes:
    """The latest times by kind of call."""

    def __init__(self) -> None:
        self._rings: dict[str, _Ring] = {}
        self._lock = threading.Lock()

    def add(self, kind: str, seconds: float) -> None:
        """Take one time."""
        with self._lock:
            ring = self._rings.setdefault(kind, _Ring())
            ring.times.append(seconds)
            ring.added += 1
            if ring.added % REFRESH_TIMES == 0 or len(ring.times) == LEAST_TIMES:
                ring.ordered = sorted(ring.times)

    def quantile(self, kind: str, share: float) -> float | None:
        """Return a quantile in seconds; None before enough times are known.

        :param share: which quantile, 0 to 1.
        """
        ring = self._rings.get(kind)
        ordered = ring.ordered if ring else []
        if len(ordered) < LEAST_TIMES:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
