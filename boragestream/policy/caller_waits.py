"""How long a caller has waited before it sent this request, through tries that failed.

An objective counts from a caller's first try, and a caller tells with each try how long
it still waits. What is missing from the wait that callers of its route usually have is
the time that has passed. Planned as if it were new, a request that came back takes a
place from one that can still be in time.
"""

import statistics
import threading
from collections import deque

__all__ = ["CallerWaits"]

SAMPLE_SIZE = 64
MIN_SAMPLE = 6
# Waits this close are the same; callers count from before they connect.
SAME_SHARE = 0.03
# A wait that so many callers have is usual itself. Tries that come back are spread.
USUAL_SHARE = 0.2


class CallerWaits:
    """The waits of each route's latest requests; any thread may ask."""

    def __init__(self) -> None:
        self._waits: dict[str, deque[float]] = {}
        self._lock = threading.Lock()

    def waited(self, route: str, wait: float) -> float:
        """Take a request's wait; return how long its caller has waited before.

        :param wait: the seconds that the caller still waits.
        :returns: seconds; 0 where it seems to be the first try.
        """
        with self._lock:
            known = self._waits.setdefault(route, deque(maxlen=SAMPLE_SIZE))
            waits = list(known)
            known.append(wait)
        if len(waits) < MIN_SAMPLE:
            return 0.0
        longer = [w for w in waits if w > wait * (1 + SAME_SHARE)]
        same = [w for w in waits if abs(w - wait) <= wait * SAME_SHARE]
        if not longer or len(same) >= USUAL_SHARE * len(waits):
            return 0.0
        return statistics.median(longer) - wait
