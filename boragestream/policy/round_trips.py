"""The recent and the shortest round trip to another region.

Load pattern: a link that fills up, so that its delay rises above the shortest one,
while single peers with a small share of a core answer late.
"""

from collections import deque
from statistics import median

__all__ = ["RoundTrips"]

# The median of this many measurements ignores a single peer that was slow to answer.
RECENT_SAMPLES = 5
# The minimum covers ten minutes, as in RFC 6817, so that a new route of the link with a
# longer delay does not count as a queue for ever.
MINIMUM_BUCKET_SECONDS = 60.0
MINIMUM_BUCKETS = 10
# The delay that is tolerated above the minimum: as much again, and at least 50 ms,
# since an entry with a small share of a core answers tens of milliseconds late.
MIN_TARGET_SECONDS = 0.05


class RoundTrips:
    """The measured round trips of one link; the caller serialises the calls."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT_SAMPLES)
        # The shortest round trip of each of the last minutes.
        self._minima: deque[tuple[int, float]] = deque(maxlen=MINIMUM_BUCKETS)

    @property
    def recent(self) -> float:
        """The recent round trip in seconds; 0 if unknown."""
        return median(self._recent) if self._recent else 0.0

    @property
    def minimum(self) -> float:
        """The shortest round trip of the last minutes in seconds; 0 if unknown."""
        return min((seconds for _, seconds in self._minima), default=0.0)

    @property
    def queueing(self) -> float:
        """The recent delay above the minimum in seconds."""
        return self.recent - self.minimum

    @property
    def target(self) -> float:
        """The tolerated delay above the minimum in seconds."""
        return max(MIN_TARGET_SECONDS, self.minimum)

    def add(self, now: float, seconds: float) -> None:
        """Add a measurement."""
        self._recent.append(seconds)
        minute = int(now // MINIMUM_BUCKET_SECONDS)
        if self._minima and self._minima[-1][0] == minute:
            self._minima[-1] = (minute, min(seconds, self._minima[-1][1]))
        else:
            self._minima.append((minute, seconds))
