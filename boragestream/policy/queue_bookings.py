"""The bookings in a stage service's queue: places of orders that are expected later."""

from dataclasses import dataclass

from boragestream.policy.piece_queue import SortKey, order_sort_key, surplus_sort_key

__all__ = ["BOOKING_GRACE_SECONDS", "BookedOrder"]

# A booking is dropped if its order has not arrived this long after its latest start.
BOOKING_GRACE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class BookedOrder:
    """A booking: pieces whose order is expected.

    :ivar start_by: the latest start of the order.
    :ivar until: when the booking is dropped.
    :ivar surplus: whether it is beyond its client account's share.
    """

    count: int
    priority: int
    start_by: float
    until: float
    surplus: bool = False

    def sort_key(self, now: float) -> SortKey:
        """Return the sort key that its order would have now."""
        key = order_sort_key(self.start_by, self.priority, now)
        return surplus_sort_key(key) if self.surplus else key
