"""Scheduling rules of a stage service's queue: admission, order and batching of pieces.

One entry at a time owns the queue of a service, so that pieces of all entries can share
a batch: the fixed time of a call is longer than the time of most pieces. Orders are
sent by their latest start. Orders that would be late in any case are sent last, because
a late answer is worth a fraction. An order that is not expected to start in time is
refused on arrival, so that its caller gets the refusal at once. ``serving`` sends the
batches.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from boragestream.document.calls import Piece
from boragestream.document.routes import PieceLimits
from boragestream.policy.chain_orders import PieceBooking, PieceOrder
from boragestream.policy.late_service import LateOrder, LateService, refuse_late

__all__ = [
    "PieceBooking",
    "BEHIND_ALL",
    "PieceOrder",
    "QueuedOrder",
    "ServerRoom",
    "SortKey",
    "choose_batch",
    "expected_wait",
    "is_abandoned",
    "is_admitted",
    "is_bookable",
    "longest_booked_wait",
    "longest_wait",
    "order_sort_key",
    "pieces_per_second",
    "surplus_sort_key",
]

# A rank (in time, late, and both beyond the share), then a time.
SortKey = tuple[int, float]
SURPLUS_RANK = 2

# The maximum expected wait of an order, by priority, as a share of the time until its
# latest start. Less urgent orders are refused earlier.
ADMITTED_SHARE = (1.0, 0.9, 0.8)
# The same for a booked stage of a chain that has not begun. The remaining share is a
# margin for the earlier stages; an answer that is late without it is worth a seventh.
BOOKED_SHARE = (0.85, 0.75, 0.65)
# The maximum expected wait of a borrowed order, as a share of the wait that an order of
# the queue's own region and of the same urgency may have. The rest of that wait remains
# for orders of the own region that arrive before the borrowed one begins.
BORROWED_SHARE = 0.5
# A wait of this length is always accepted, even by an order that seems to be late: it
# delays no caller noticeably, and the time reserved for the engine exceeds most needs.
SHORT_WAIT_SECONDS = 0.25
# An order precedes one that is a priority level more urgent only if its latest start is
# earlier by this time. With a lower value, chains of several stages, which have little
# slack, are served less often than less urgent requests of one stage. With a higher
# value, orders two levels below are hardly served in bursts.
PRIORITY_SECONDS = 0.25


# The sort key behind all orders. A borrowed order is expected to wait for all that the
# queue holds, also for less urgent orders that it would in fact precede.
BEHIND_ALL = (True, math.inf)
# An order that is late on arrival is accepted if it is expected to wait no longer than
# this for spare places in a batch.
LATE_WAIT_SECONDS = 0.5
# A late order takes spare places in batches, and is abandoned if it gets none for this
# time. The time is longer after earlier stages, since a late answer is worth more than
# the loss of their results.
LATE_GRACE_SECONDS = 0.5
INVESTED_LATE_GRACE_SECONDS = 1.5


@dataclass(slots=True)
class QueuedOrder:
    """An order in the queue.

    :ivar start_by: the clock's seconds by which it must start to meet the objective.
    :ivar expires: the clock's seconds at which its caller stops waiting.
    :ivar left: its pieces that are in no call.
    :ivar arrived_at: the clock's seconds at which it arrived.
    :ivar suspected: whether a server has crashed while it ran the request.
    :ivar returning: whether its caller was refused before.
    :ivar surplus: whether it is beyond its client account's share.
    """

    order: PieceOrder
    start_by: float
    expires: float
    left: list[Piece] = field(default_factory=list)
    arrived_at: float = -math.inf
    suspected: bool = False
    returning: bool = False
    surplus: bool = False

    @property
    def as_late(self) -> LateOrder:
        """What decides whether it is kept although it is late."""
        last_start = self.expires - self.order.lead_seconds
        return LateOrder(last_start, self.returning)

    def sort_key(self, now: float) -> SortKey:
        """Return its sort key in the queue; the smallest is first."""
        key = order_sort_key(self.start_by, self.order.priority, now)
        return surplus_sort_key(key) if self.surplus else key


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """The room of one server, and when other servers are expected to be free.

    :ivar free_bytes: free memory for results.
    :ivar data_centre: the server's data centre.
    :ivar free_at: by data centre, the clock's seconds at which a server of the service
        is expected to be free there.
    :ivar region: the server's region.
    """

    free_bytes: float
    data_centre: str = ""
    free_at: Mapping[str, float] = field(default_factory=dict)
    region: str = ""


def order_sort_key(start_by: float, priority: int, now: float) -> SortKey:
    """Return the sort key of an order; late orders are behind all others."""
    return start_by < now, start_by + PRIORITY_SECONDS * priority


def surplus_sort_key(key: SortKey) -> SortKey:
    """Return the sort key of an order beyond its account's share, behind all others."""
    return SURPLUS_RANK + key[0], key[1]


def choose_batch(
    queue: Iterable[QueuedOrder], limits: PieceLimits, room: ServerRoom, now: float
) -> list[tuple[QueuedOrder, list[Piece]]]:
    """Return the pieces of the next call, by order.

    An order that fits is not divided, since its results are then read from one server.
    An order larger than a whole batch is divided. A call contains at most one order
    under which a server has crashed, since orders that were cut off together would
    otherwise be cut off together again.
    """
    chosen: list[tuple[QueuedOrder, list[Piece]]] = []
    places = limits.batch
    free = room.free_bytes
    for queued in sorted(queue, key=lambda q: q.sort_key(now)):
        if places <= 0:
            break
        if _is_region_excluded(queued, room) or _waits_for_near_server(queued, room):
            continue
        if queued.suspected and any(other.suspected for other, _ in chosen):
            continue
        size = queued.order.result_bytes
        fitting = min(places, int(free // size) if size > 0 else places)
        count = min(len(queued.left), fitting)
        divided = count < len(queued.left)
        if count <= 0 or (divided and chosen and len(queued.left) <= limits.batch):
            continue
        chosen.append((queued, queued.left[:count]))
        places -= count
        free -= count * size
    return chosen


def expected_wait(
    pieces_ahead: int, free_servers: int, servers: float, limits: PieceLimits
) -> float:
    """Return the seconds until a new order in the queue is expected to begin.

    :param pieces_ahead: the number of pieces ahead of it in the queue.
    :param free_servers: the number of idle servers.
    :param servers: the number of servers; one whose calls are limited is a fraction.
    """
    if free_servers > 0:
        return 0.0
    if servers == 0:
        return float("inf")
    calls_ahead = pieces_ahead // limits.batch
    # The ends of the servers' calls are assumed to be evenly spread.
    return limits.full_call_seconds * (calls_ahead + 1) / servers


def pieces_per_second(limits: PieceLimits, servers: int) -> float:
    """Return how many pieces some servers do in a second with full batches."""
    pieces = servers * limits.concurrent_calls * limits.batch
    return pieces / limits.full_call_seconds


def is_admitted(order: PieceOrder, wait: float, left: float) -> bool:
    """Return whether an order is accepted.

    :param wait: the expected wait in seconds.
    :param left: the seconds until its latest start.
    """
    if math.isinf(wait):
        # There is no server, and waiting for one only delays the refusal.
        return False
    if order.invested or wait <= 0:
        return True
    if order.borrowed:
        share = BORROWED_SHARE * _share_for_priority(ADMITTED_SHARE, order.priority)
        return wait <= share * left
    return wait <= longest_wait(order.priority, left)


def longest_wait(priority: int, left: float) -> float:
    """Return the longest expected wait in seconds with which a request is accepted.

    :param priority: 0 is the most urgent.
    :param left: the seconds until its latest start.
    """
    if left < 0:
        return LATE_WAIT_SECONDS
    share = _share_for_priority(ADMITTED_SHARE, priority)
    return max(SHORT_WAIT_SECONDS, share * left)


def is_bookable(booking: PieceBooking, wait: float, left: float) -> bool:
    """Return whether a later stage of a chain is likely to start in time.

    A chain that meets a full queue at its last stage has wasted the server time of all
    earlier stages.

    :param wait: the expected wait in seconds if the stage were ordered now.
    :param left: the seconds until its latest start.
    """
    if booking.borrowed:
        share = _share_for_priority(BOOKED_SHARE, booking.priority)
        return wait <= max(0.0, BORROWED_SHARE * share * left)
    return wait <= longest_booked_wait(booking.priority, left)


def longest_booked_wait(priority: int, left: float) -> float:
    """Return the longest expected wait in seconds with which a booking is accepted.

    :param priority: 0 is the most urgent.
    :param left: the seconds until its latest start.
    """
    if left < 0:
        return LATE_WAIT_SECONDS
    share = _share_for_priority(BOOKED_SHARE, priority)
    return max(SHORT_WAIT_SECONDS, share * left)


def is_abandoned(
    queued: QueuedOrder, now: float, late: LateService = refuse_late
) -> bool:
    """Return whether an order has been late long enough to be abandoned.

    :param late: decides which late orders are kept longer.
    """
    order = queued.order
    if len(queued.left) < len(order.pieces):
        return False
    grace_seconds = (
        INVESTED_LATE_GRACE_SECONDS if order.invested else LATE_GRACE_SECONDS
    )
    grace_ends = max(queued.start_by, queued.arrived_at) + grace_seconds
    return now > max(grace_ends, late(queued.as_late) or grace_ends)


def _share_for_priority(shares: tuple[float, ...], priority: int) -> float:
    return shares[min(priority, len(shares) - 1)]


def _is_region_excluded(queued: QueuedOrder, room: ServerRoom) -> bool:
    """Return whether an order may not run in the server's region."""
    regions = queued.order.regions
    return bool(regions) and room.region not in regions


def _waits_for_near_server(queued: QueuedOrder, room: ServerRoom) -> bool:
    """Return whether an order should wait for a server in its inputs' data centre.

    Each piece reads all inputs of the order, so that running it elsewhere transfers
    many times their size between data centres. The order waits if a server near its
    inputs is expected to be free in time.
    """
    near = queued.order.near
    if not near or near == room.data_centre:
        return False
    return room.free_at.get(near, math.inf) <= queued.start_by
