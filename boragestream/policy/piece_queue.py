"""The queue of pieces for one stage service, and which of them go out together.

One entry at a time keeps the queue of a service, so that the pieces of all entries meet
in one batch: a call has a fixed time that is longer than that of most of its pieces.
Orders go out by their latest start; those that would be late anyway go last, because a
late answer is worth a fraction. Whether an order can still be met is told when it
comes, so that its caller hears a refusal at once. Sending the batches is left to
``serving``.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from boragestream.document.calls import Piece
from boragestream.document.routes import PieceLimits

__all__ = [
    "PieceBooking",
    "PieceOrder",
    "QueuedOrder",
    "ServerRoom",
    "choose_batch",
    "expected_wait",
    "is_admitted",
    "is_bookable",
    "is_hopeless",
    "longest_wait",
    "place_of",
]

# How much of the time until its latest start an order may be expected to wait before it
# is refused, by priority; what is less urgent is refused earlier.
ADMITTED_SHARE = (1.0, 0.9, 0.8)
# The same for a later stage of a chain that has not begun. The rest is kept back: the
# stages before it take their time, and an answer that is late for want of a margin is
# worth a seventh.
BOOKED_SHARE = (0.85, 0.75, 0.65)
# A short queue is joined also by what seems to be late already: nobody is kept waiting,
# and what is kept back for the engine is more than most need.
SHORT_WAIT_SECONDS = 0.25
# An order goes before one that is more urgent by a level of priority only where its
# latest start is so much earlier. Less, and a chain of several stages, which has little
# time to spare, is served less often than less urgent requests of one stage; more, and
# what is two levels below is hardly served in bursts.
PRIORITY_SECONDS = 0.25


# An order that is late when it comes is taken where it need not wait longer than this
# for places that are left over.
LATE_WAIT_SECONDS = 0.5
# An order that is late takes places that are left over. One that finds none for so long
# is given up; where earlier stages were done for it, a late answer is still worth more
# than theirs thrown away.
LATE_SECONDS = 0.5
INVESTED_LATE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class PieceOrder:
    """Pieces of one stage that one request needs.

    :ivar order_id: names the order on all entries.
    :ivar result_bytes: the approximate size of one result.
    :ivar priority: 0 is the most urgent.
    :ivar invested: whether results of earlier stages would be lost with it.
    :ivar near: the data centre where much that it reads lies; empty for none.
    :ivar regions: where alone its pieces may be made; empty for anywhere.
    :ivar fingerprint: tells the request from others over all its returns; empty where
        that is not known.
    """

    order_id: str
    service: str
    pieces: tuple[Piece, ...]
    result_bytes: float
    priority: int
    invested: bool
    near: str = ""
    regions: frozenset[str] = frozenset()
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True)
class PieceBooking:
    """Pieces of a later stage that a chain will order once its earlier stages are done.

    :ivar order_id: of the order to come.
    :ivar key: the request's piece key, the same in each try of its caller.
    :ivar regions: where alone its pieces may be made; empty for anywhere.
    """

    order_id: str
    service: str
    request_id: str
    key: str
    count: int
    priority: int
    regions: frozenset[str] = frozenset()


@dataclass(slots=True)
class QueuedOrder:
    """An order in the queue.

    :ivar start_by: the clock's seconds at which it must start to meet the objective.
    :ivar expires: the clock's seconds at which nobody waits for it any more.
    :ivar left: its pieces that are not under way.
    :ivar came: when it came, in the clock's seconds.
    :ivar suspected: whether a server has crashed while it ran the request.
    """

    order: PieceOrder
    start_by: float
    expires: float
    left: list[Piece] = field(default_factory=list)
    came: float = -math.inf
    suspected: bool = False

    def place(self, now: float) -> tuple[bool, float]:
        """Return its place in the queue; the smaller goes first."""
        return place_of(self.start_by, self.order.priority, now)


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """What a server can take now.

    :ivar free_bytes: room for results.
    :ivar data_centre: where it is.
    :ivar free_at: by data centre, when a server of the service is expected to be free
        there, in the clock's seconds.
    """

    free_bytes: float
    data_centre: str = ""
    free_at: Mapping[str, float] = field(default_factory=dict)
    region: str = ""


def place_of(start_by: float, priority: int, now: float) -> tuple[bool, float]:
    """Return the place in the queue, with what is late behind all that is not."""
    return start_by < now, start_by + PRIORITY_SECONDS * priority


def choose_batch(
    queue: Iterable[QueuedOrder], limits: PieceLimits, room: ServerRoom, now: float
) -> list[tuple[QueuedOrder, list[Piece]]]:
    """Return the pieces of the next call, by order.

    An order is kept together where it fits, since its results are then read from one
    place; a larger one than a whole batch is divided. A call takes one order at the
    most under which a server has crashed: all that was cut together would be cut
    together again.
    """
    chosen: list[tuple[QueuedOrder, list[Piece]]] = []
    places = limits.batch
    free = room.free_bytes
    for queued in sorted(queue, key=lambda q: q.place(now)):
        if places <= 0:
            break
        if _is_barred(queued, room) or _waits_for_near(queued, room):
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
    """Return the seconds until an order that joins the queue begins.

    :param pieces_ahead: pieces in the queue that go before it.
    :param free_servers: how many servers have nothing to do.
    :param servers: how many there are; one that takes few calls is a part of one.
    """
    if free_servers > 0:
        return 0.0
    if servers == 0:
        return float("inf")
    call = limits.call_seconds + limits.batch * limits.piece_seconds
    calls_ahead = pieces_ahead // limits.batch
    # The servers end their calls one after the other, evenly spread.
    return call * (calls_ahead + 1) / servers


def is_admitted(order: PieceOrder, wait: float, left: float) -> bool:
    """Tell whether an order is taken.

    :param wait: the expected wait in seconds.
    :param left: the seconds until its latest start.
    """
    if math.isinf(wait):
        # There is no server: waiting for one only delays the refusal.
        return False
    if order.invested or wait <= 0:
        return True
    return wait <= longest_wait(order.priority, left)


def longest_wait(priority: int, left: float) -> float:
    """Return how long a request may be expected to wait before it is refused.

    :param priority: 0 is the most urgent.
    :param left: the seconds until its latest start.
    """
    if left < 0:
        return LATE_WAIT_SECONDS
    share = _of_priority(ADMITTED_SHARE, priority)
    return max(SHORT_WAIT_SECONDS, share * left)


def is_bookable(booking: PieceBooking, wait: float, left: float) -> bool:
    """Tell whether a later stage of a chain is likely to be met.

    A chain that meets a full queue at its last stage has used up the servers of all
    stages before it.

    :param wait: the expected wait in seconds, if it were ordered now.
    :param left: the seconds until its latest start.
    """
    if left < 0:
        return wait <= LATE_WAIT_SECONDS
    share = _of_priority(BOOKED_SHARE, booking.priority)
    return wait <= max(SHORT_WAIT_SECONDS, share * left)


def is_hopeless(queued: QueuedOrder, now: float) -> bool:
    """Tell whether an order has been late for so long that it is given up."""
    order = queued.order
    if len(queued.left) < len(order.pieces):
        return False
    patience = INVESTED_LATE_SECONDS if order.invested else LATE_SECONDS
    return now > max(queued.start_by, queued.came) + patience


def _of_priority(shares: tuple[float, ...], priority: int) -> float:
    return shares[min(priority, len(shares) - 1)]


def _is_barred(queued: QueuedOrder, room: ServerRoom) -> bool:
    """Tell whether an order may not be made in a server's region."""
    regions = queued.order.regions
    return bool(regions) and room.region not in regions


def _waits_for_near(queued: QueuedOrder, room: ServerRoom) -> bool:
    """Tell whether an order should wait for a server beside its inputs.

    Each of its pieces reads all of its inputs, so that going elsewhere costs many times
    their size on the links between data centres. It waits while a server there will be
    free in time.
    """
    near = queued.order.near
    if not near or near == room.data_centre:
        return False
    return room.free_at.get(near, math.inf) <= queued.start_by
