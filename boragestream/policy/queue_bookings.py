"""The bookings in a stage service's queue: places of orders that are expected later."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Self

from boragestream.document.routes import PieceLimits
from boragestream.policy.piece_queue import (
    PieceBooking,
    QueuedOrder,
    SortKey,
    order_sort_key,
    surplus_sort_key,
)

__all__ = ["BookedOrder", "start_before_booked"]

# A booking is dropped if its order has not arrived this long after its latest start.
BOOKING_GRACE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class BookedOrder:
    """A booking: pieces whose order is expected.

    :ivar request_id: the request of its chain.
    :ivar start_by: the latest start of the order.
    :ivar until: when the booking is dropped.
    :ivar surplus: whether it is beyond its client account's share.
    """

    request_id: str
    count: int
    priority: int
    start_by: float
    until: float
    surplus: bool = False

    @classmethod
    def accept(
        cls, booking: PieceBooking, start_by: float, surplus: bool, now: float
    ) -> Self:
        """Return the booked order of a booking that is accepted now."""
        until = max(start_by, now) + BOOKING_GRACE_SECONDS
        request_id, count = booking.request_id, booking.count
        return cls(request_id, count, booking.priority, start_by, until, surplus)

    def sort_key(self, now: float) -> SortKey:
        """Return the sort key that its order would have now."""
        key = order_sort_key(self.start_by, self.priority, now)
        return surplus_sort_key(key) if self.surplus else key


def start_before_booked(
    first: QueuedOrder,
    booked: Iterable[BookedOrder],
    limits: PieceLimits,
    server_count: Callable[[], float],
) -> float:
    """Return the latest start of a chain's first order.

    Its latest start leaves the usual time of a call for each later stage. The calls of
    limited servers can be further apart. A chain that is booked in the same queue then
    has to begin earlier, or its booked order is late after the first stage has run.

    :param booked: the bookings of the queue.
    :param server_count: returns the number of servers; one whose calls are limited is a
        fraction. It is called only for chains with a booking in the same queue.
    """
    if first.order.invested:
        return first.start_by
    request_id = first.order.pieces[0].request_id
    starts = [other.start_by for other in booked if other.request_id == request_id]
    servers = server_count() if starts else 0.0
    if not 0 < servers < 1:
        return first.start_by
    return min(first.start_by, min(starts) - limits.full_call_seconds / servers)
