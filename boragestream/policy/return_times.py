"""Decides when a refused caller should return to a stage service's queue.

Load pattern: for several seconds, a burst asks a stage service for two or three times
what its servers do. A refused caller retries once, after its Retry-After if that is at
most a third of the time that it has left. With the wait that the queue expects, mostly
less than a second, it retries in the same burst and is refused for good, although the
servers have capacity to spare a few seconds later.

The queue expects to serve its next caller once the callers that are due to return have
been served, from the capacity that the demand leaves. While the demand exceeds the
capacity, that time is unknown. The caller should then return as late as it can, since
the burst has most likely ended by then.

This module leaves out how callers are recognized (``policy.returning_callers``) and
which of them are refused (``policy.piece_queue``).
"""

import heapq
import math
from dataclasses import dataclass

from boragestream.policy.demand_rate import DemandRate

__all__ = ["RefusedOrder", "ReturnTime", "ReturnTimes"]

# Shorter windows mistake the few requests of one client for a burst.
DEMAND_SECONDS = 1.0
# Callers honour a Retry-After of up to a third of the time that they have left. The
# rest of the third covers the way of the refusal to the caller.
HONOURED_SHARE = 0.32


@dataclass(frozen=True, slots=True)
class ReturnTime:
    """When a refused caller should return.

    :ivar wait_seconds: seconds from now.
    """

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class RefusedOrder:
    """An order or a booking that a queue refuses for lack of capacity.

    :ivar count: the number of its pieces.
    :ivar wait: its expected wait in seconds.
    :ivar expires: the clock's seconds at which its caller stops waiting.
    :ivar returning: whether its caller was refused before, and won't retry.
    """

    count: int
    wait: float
    expires: float
    returning: bool


class ReturnTimes:
    """The callers of one queue that are due to return; the owner must hold a lock."""

    def __init__(self) -> None:
        self._demand = DemandRate(DEMAND_SECONDS)
        # The clock's seconds at which callers return, with the number of their pieces.
        self._due: list[tuple[float, int]] = []
        self._pieces_due = 0

    def record(self, count: int, now: float) -> None:
        """Record the pieces of a caller's first attempt."""
        self._demand.record(count, now)

    def plan(
        self, refused: RefusedOrder, capacity: float, now: float
    ) -> ReturnTime | None:
        """Return when a refused caller should return.

        :param capacity: the pieces a second that the servers can do.
        :returns: None if the demand is not known yet, or if there is no server.
        """
        demand = self._demand.per_second(now)
        if demand is None or math.isinf(refused.wait):
            return None
        self._drop_returned(now)
        spare = capacity - demand
        seconds = refused.wait + self._pieces_due / spare if spare > 0 else math.inf
        seconds = min(seconds, HONOURED_SHARE * (refused.expires - now))
        if not refused.returning:
            heapq.heappush(self._due, (now + seconds, refused.count))
            self._pieces_due += refused.count
        return ReturnTime(max(0.0, seconds))

    def _drop_returned(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, count = heapq.heappop(self._due)
            self._pieces_due -= count
