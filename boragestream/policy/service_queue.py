"""The state of one stage service's queue: orders, calls under way, room at the servers.

Not safe without its owner's lock. Which pieces go together is decided by
``policy.piece_queue``; sending the calls is left to ``serving.piece_batches``.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from boragestream.document.calls import Piece, PieceFault, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.piece_queue import (
    PieceBooking,
    QueuedOrder,
    ServerRoom,
    choose_batch,
    expected_wait,
    is_admitted,
    is_bookable,
    is_hopeless,
    place_of,
)
from boragestream.policy.returning_callers import ReturningCallers
from boragestream.policy.servers import Server

__all__ = ["Batch", "CallRoom", "ServiceQueue"]

MEGABYTE = 1_000_000.0
# A server that did not take a call is full or out of reach. Asked again at once it says
# the same, a thousand times a second where it is the only one left.
REFUSED_PAUSE_SECONDS = 0.1
# An order that has not come so long after its latest start will not come any more.
BOOKING_SECONDS = 0.5
# A result is given up as soon as the next call has read it, mostly within this time.
NO_ROOM_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Batch:
    """The pieces of one call.

    :ivar pieces: each with the order that it belongs to.
    """

    server: Server
    limits: PieceLimits
    pieces: tuple[tuple[QueuedOrder, Piece], ...]

    @property
    def result_bytes(self) -> float:
        """The approximate size of all results."""
        return sum(queued.order.result_bytes for queued, _ in self.pieces)

    @property
    def seconds(self) -> float:
        """How long the call usually takes."""
        return self.limits.call_seconds + len(self.pieces) * self.limits.piece_seconds


@dataclass(frozen=True, slots=True)
class CallRoom:
    """How many calls a server may be sent, beside what it can make.

    :ivar per_second: infinite for any number.
    :ivar wait_seconds: until the next one may be sent.
    """

    per_second: float = math.inf
    wait_seconds: float = 0.0


ANY_CALLS = CallRoom()


@dataclass(frozen=True, slots=True)
class _Booked:
    """Pieces that will be ordered.

    :ivar start_by: the latest start of the order, in the clock's seconds.
    :ivar until: the clock's seconds after which the order is not awaited any more.
    """

    count: int
    priority: int
    start_by: float
    until: float


@dataclass(slots=True)
class _ServerState:
    """What a server has in hand.

    :ivar calls: calls under way.
    :ivar free_at: when they are expected to end, in the clock's seconds.
    :ivar paused_until: it gets no call before then, in the clock's seconds.
    :ivar coming: bytes of results that are being made.
    :ivar held: results by handle: their size, and until when they are kept.
    """

    calls: int = 0
    free_at: float = 0.0
    paused_until: float = 0.0
    coming: float = 0.0
    held: dict[str, tuple[float, float]] = field(default_factory=dict)

    def used_bytes(self, now: float) -> float:
        gone = [handle for handle, (_, until) in self.held.items() if now >= until]
        for handle in gone:
            del self.held[handle]
        return self.coming + sum(size for size, _ in self.held.values())


class ServiceQueue:
    """The queue of one service.

    :param room: returns how many calls a server may be sent.
    """

    def __init__(
        self, room: Callable[[Server], CallRoom] = lambda server: ANY_CALLS
    ) -> None:
        self._room = room
        self._orders: dict[str, QueuedOrder] = {}
        self._bookings: dict[str, _Booked] = {}
        # By the server's identity: one that starts again holds nothing of before.
        self._servers: dict[tuple[str, str, str], _ServerState] = {}
        self._callers = ReturningCallers()

    @property
    def orders(self) -> Mapping[str, QueuedOrder]:
        """The orders that are not done, by their ids."""
        return self._orders

    def submit(
        self,
        queued: QueuedOrder,
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float | None:
        """Take an order; return the expected wait in seconds where it is refused."""
        order = queued.order
        if order.order_id in self._orders:
            return None
        self._bookings.pop(order.order_id, None)
        first = order.pieces[0]
        queued.came = now
        queued.start_by -= self._callers.waited(
            first.key, first.request_id, queued.expires, now
        )
        fit = _in_regions(usable, order.regions)
        wait = self._wait(queued.place(now), limits, fit, now)
        if not is_admitted(queued.order, wait, queued.start_by - now):
            return wait
        self._orders[order.order_id] = queued
        return None

    def book(
        self,
        booking: PieceBooking,
        start_by: float,
        expires: float,
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float | None:
        """Book an order to come; return the expected wait where it is refused.

        :param start_by: the clock's seconds at which it must start at the latest.
        :param expires: the clock's seconds at which its caller stops waiting.
        """
        if booking.order_id in self._bookings or booking.order_id in self._orders:
            return None
        start_by -= self._callers.waited(booking.key, booking.request_id, expires, now)
        place = place_of(start_by, booking.priority, now)
        fit = _in_regions(usable, booking.regions)
        wait = self._wait(place, limits, fit, now)
        if not is_bookable(booking, wait, start_by - now):
            return wait
        until = max(start_by, now) + BOOKING_SECONDS
        booked = _Booked(booking.count, booking.priority, start_by, until)
        self._bookings[booking.order_id] = booked
        return None

    def drop(self, order_id: str) -> None:
        """Drop an order or a booking; what is under way for it is made in vain."""
        self._orders.pop(order_id, None)
        self._bookings.pop(order_id, None)

    def drop_expired(self, now: float) -> None:
        """Drop the orders and bookings that nobody awaits any more."""
        for order_id in [k for k, b in self._bookings.items() if now >= b.until]:
            del self._bookings[order_id]
        for order_id in [k for k, q in self._orders.items() if now >= q.expires]:
            del self._orders[order_id]

    def drop_late(self, now: float) -> list[QueuedOrder]:
        """Drop and return the orders that are late and have found no place since.

        A caller that is told now can come back in time, and is not kept waiting for an
        answer that is worth a fraction.
        """
        late = [queued for queued in self._orders.values() if is_hopeless(queued, now)]
        for queued in late:
            del self._orders[queued.order.order_id]
        return late

    def drop_starting_before(self, moment: float) -> list[QueuedOrder]:
        """Drop and return the orders with pieces that must start before a moment."""
        waiting = self._orders.values()
        early = [q for q in waiting if q.left and q.start_by < moment]
        for queued in early:
            del self._orders[queued.order.order_id]
        return early

    def drop_unserved(self) -> list[QueuedOrder]:
        """Drop and return the orders with pieces that no server is left to make."""
        unserved = [queued for queued in self._orders.values() if queued.left]
        for queued in unserved:
            del self._orders[queued.order.order_id]
        return unserved

    def next_batches(
        self, limits: PieceLimits, usable: Sequence[Server], now: float
    ) -> list[Batch]:
        """Return a batch for each server that is free, and count them as under way."""
        free_at: dict[str, float] = {}
        for server in usable:
            known = free_at.get(server.data_centre, math.inf)
            free = max(now, self._state(server).free_at)
            free_at[server.data_centre] = min(known, free)
        batches = []
        for server in usable:
            batch = self._next_batch(server, limits, free_at, now)
            if batch is not None:
                batches.append(batch)
        return batches

    def end(
        self,
        batch: Batch,
        results: Sequence[PieceResult] | None,
        taken: bool,
        now: float,
    ) -> None:
        """Count a call as ended, and its results as held by the server.

        :param results: in the order of the pieces; None where there are none.
        :param taken: whether the server took the call; else it is left alone a while.
        """
        state = self._state(batch.server)
        state.calls -= 1
        state.free_at = 0.0
        if not taken:
            state.paused_until = now + REFUSED_PAUSE_SECONDS
        state.coming = max(0.0, state.coming - batch.result_bytes)
        until = now + batch.limits.result_seconds
        for (queued, piece), result in zip(batch.pieces, results or (), strict=False):
            size = queued.order.result_bytes
            if result.handle:
                state.held[result.handle] = (size, until)
            elif result.fault is PieceFault.NO_ROOM:
                # Results of which this queue knows nothing, such as those of an
                # earlier owner, take up the place.
                unknown = f"{piece.request_id}/{piece.stage}/{piece.number}"
                state.held[unknown] = (size, now + NO_ROOM_SECONDS)
                state.paused_until = now + REFUSED_PAUSE_SECONDS

    def put_back(self, order_id: str, piece: Piece) -> bool:
        """Have a piece made once more; False where nobody awaits its order."""
        queued = self._orders.get(order_id)
        if queued is not None:
            queued.left.append(piece)
        return queued is not None

    def note_reported(self, order_id: str, numbers: set[int]) -> None:
        """Take that results were reported; an order with no other pieces is done."""
        queued = self._orders.get(order_id)
        if queued is None:
            return
        rest = tuple(p for p in queued.order.pieces if p.number not in numbers)
        if rest:
            queued.order = replace(queued.order, pieces=rest)
        else:
            del self._orders[order_id]

    def release(self, server: Server, handle: str) -> None:
        """Take that a result is given up."""
        self._state(server).held.pop(handle, None)

    def forget(self, listed: Iterable[Server], now: float) -> None:
        """Forget servers that are gone, and at once the earlier lives of others.

        A server that has left may still serve the results that it holds; one that has
        started again under its name holds none of them.
        """
        latest = {server.name: server.identity for server in listed}
        for identity, state in list(self._servers.items()):
            replaced = latest.get(identity[0], identity) != identity
            gone = identity[0] not in latest and not state.used_bytes(now)
            if not state.calls and (replaced or gone):
                del self._servers[identity]

    def holds(self, server: Server, handle: str) -> bool:
        """Tell whether a server still holds a result."""
        return handle in self._state(server).held

    def _wait(
        self,
        place: tuple[bool, float],
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float:
        """Return the expected wait in seconds of an order at a place in the queue."""
        ahead = sum(
            len(queued.left)
            for queued in self._orders.values()
            if queued.place(now) <= place
        )
        ahead += sum(
            booked.count
            for booked in self._bookings.values()
            if place_of(booked.start_by, booked.priority, now) <= place
        )
        whole_call = limits.call_seconds + limits.batch * limits.piece_seconds
        free, servers = 0, 0.0
        for server in usable:
            room = self._room(server)
            idle = self._state(server).calls < limits.concurrent_calls
            free += idle and room.wait_seconds <= 0
            # One that may be sent few calls counts as a part of a server.
            servers += min(1.0, room.per_second * whole_call)
        return expected_wait(ahead, 0 if ahead else free, servers, limits)

    def _next_batch(
        self,
        server: Server,
        limits: PieceLimits,
        free_at: Mapping[str, float],
        now: float,
    ) -> Batch | None:
        state = self._state(server)
        waiting = [queued for queued in self._orders.values() if queued.left]
        busy = state.calls >= limits.concurrent_calls or now < state.paused_until
        if busy or not waiting:
            return None
        free_bytes = limits.memory_mb * MEGABYTE - state.used_bytes(now)
        room = ServerRoom(free_bytes, server.data_centre, free_at, server.region)
        chosen = choose_batch(waiting, limits, room, now)
        if not chosen:
            return None
        pieces = tuple((queued, piece) for queued, taken in chosen for piece in taken)
        batch = Batch(server, limits, pieces)
        for queued, taken in chosen:
            numbers = {piece.number for piece in taken}
            queued.left = [p for p in queued.left if p.number not in numbers]
        state.calls += 1
        state.coming += batch.result_bytes
        state.free_at = now + batch.seconds
        return batch

    def _state(self, server: Server) -> _ServerState:
        return self._servers.setdefault(server.identity, _ServerState())


def _in_regions(servers: Sequence[Server], regions: frozenset[str]) -> Sequence[Server]:
    return [s for s in servers if s.region in regions] if regions else servers
