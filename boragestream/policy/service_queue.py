"""The state of a stage service's queue: orders, calls in progress, room at the servers.

A stage is a step of a request that runs on the servers of a stage service. An order is
the work of one stage for one request; its pieces can run in different calls. The owner
is the entry (instance that takes requests of callers) that keeps the queue of a
service. The queue is not thread-safe: calls of its methods must be serialized by a
lock. Points in time are in the clock's seconds.
``policy.piece_queue`` chooses the pieces of each batch, ``serving.piece_batches`` sends
the calls.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from boragestream.document.calls import Piece, PieceFault, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.late_service import (
    LateOrder,
    LateService,
    SpareCapacity,
    refuse_late,
)
from boragestream.policy.piece_queue import (
    BEHIND_ALL,
    PieceBooking,
    QueuedOrder,
    ServerRoom,
    choose_batch,
    expected_wait,
    is_abandoned,
    is_admitted,
    is_bookable,
    order_sort_key,
    pieces_per_second,
)
from boragestream.policy.returning_callers import ReturningCallers
from boragestream.policy.servers import Server

__all__ = ["Batch", "CallRoom", "ServiceQueue"]

MEGABYTE = 1_000_000.0
# A server that did not take a call or had no room for a result is full or unreachable.
# Without a pause it would be called again at once, a thousand times a second if it is
# the only server left.
REFUSED_PAUSE_SECONDS = 0.1
# A booking is dropped if its order has not arrived this long after its latest start.
BOOKING_GRACE_SECONDS = 0.5
# After a NO_ROOM fault, results that are not recorded here are assumed to occupy the
# server's memory for this time. Most results are read and released sooner.
NO_ROOM_HOLD_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Batch:
    """The pieces of one call.

    :ivar pieces: each piece with its order.
    """

    server: Server
    limits: PieceLimits
    pieces: tuple[tuple[QueuedOrder, Piece], ...]

    @property
    def result_bytes(self) -> float:
        """The approximate size of all results in bytes."""
        return sum(queued.order.result_bytes for queued, _ in self.pieces)

    @property
    def seconds(self) -> float:
        """The usual duration of the call in seconds."""
        return self.limits.call_seconds + len(self.pieces) * self.limits.piece_seconds


@dataclass(frozen=True, slots=True)
class CallRoom:
    """The rate at which a server may be called, apart from its own capacity.

    :ivar per_second: calls per second; infinite if not limited.
    :ivar wait_seconds: seconds until the next call may be sent.
    """

    per_second: float = math.inf
    wait_seconds: float = 0.0


UNLIMITED_CALLS = CallRoom()


@dataclass(frozen=True, slots=True)
class _Booked:
    """A booking: pieces whose order is expected.

    :ivar start_by: the latest start of the order.
    :ivar until: when the booking is dropped.
    """

    count: int
    priority: int
    start_by: float
    until: float


@dataclass(slots=True)
class _ServerState:
    """The calls and results of one server.

    :ivar calls: the number of calls in progress.
    :ivar free_at: when the call that was sent last is expected to end; 0 after any call
        has ended.
    :ivar paused_until: no call is sent before this time.
    :ivar pending_bytes: the expected bytes of the results of calls in progress.
    :ivar held: stored results by handle: size in bytes, and the time until which the
        server keeps them. Assumed results, recorded after a NO_ROOM fault, have a label
        of their piece instead of a handle.
    """

    calls: int = 0
    free_at: float = 0.0
    paused_until: float = 0.0
    pending_bytes: float = 0.0
    held: dict[str, tuple[float, float]] = field(default_factory=dict)

    def used_bytes(self, now: float) -> float:
        expired = [handle for handle, (_, until) in self.held.items() if now >= until]
        for handle in expired:
            del self.held[handle]
        return self.pending_bytes + sum(size for size, _ in self.held.values())


class ServiceQueue:
    """The queue of one service.

    :param room: returns the rate at which a server may be called.
    :param late: decides which orders are kept although they are late.
    """

    def __init__(
        self,
        room: Callable[[Server], CallRoom] = lambda server: UNLIMITED_CALLS,
        late: LateService = refuse_late,
    ) -> None:
        self._room = room
        self._late = late
        self._orders: dict[str, QueuedOrder] = {}
        self._bookings: dict[str, _Booked] = {}
        # By identity, since a server that has restarted has lost its earlier results.
        self._servers: dict[tuple[str, str, str], _ServerState] = {}
        self._callers = ReturningCallers()
        # Set with the first batches, when the queue begins to have servers.
        self._spare: SpareCapacity | None = None

    @property
    def orders(self) -> Mapping[str, QueuedOrder]:
        """The orders that are not complete, by id."""
        return self._orders

    def submit(
        self,
        queued: QueuedOrder,
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float | None:
        """Add an order; return the expected wait in seconds if it is refused."""
        order = queued.order
        if order.order_id in self._orders:
            return None
        self._bookings.pop(order.order_id, None)
        first = order.pieces[0]
        queued.arrived_at = now
        waited = self.waited(first.key, first.request_id, queued.expires, now)
        queued.returning = max(waited, order.waited_seconds) > 0
        queued.start_by -= max(0.0, waited - order.waited_seconds)
        eligible = _in_regions(usable, order.regions)
        spare = order.needs_spare_capacity
        sort_key = BEHIND_ALL if spare else queued.sort_key(now)
        wait = self._wait(sort_key, limits, eligible, now)
        per_second = pieces_per_second(limits, len(eligible))
        count = len(order.pieces)
        kept = not spare and self._is_kept(queued.as_late, count, wait, per_second, now)
        if not (kept or is_admitted(queued.order, wait, queued.start_by - now)):
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
        """Book a later order; return the expected wait in seconds if it is refused.

        :param start_by: the latest start of the order.
        :param expires: when its caller stops waiting.
        """
        if booking.order_id in self._bookings or booking.order_id in self._orders:
            return None
        waited = self.waited(booking.key, booking.request_id, expires, now)
        returning = max(waited, booking.waited_seconds) > 0
        start_by -= max(0.0, waited - booking.waited_seconds)
        sort_key = order_sort_key(start_by, booking.priority, now)
        sort_key = BEHIND_ALL if booking.borrowed else sort_key
        eligible = _in_regions(usable, booking.regions)
        wait = self._wait(sort_key, limits, eligible, now)
        last_start = expires - booking.lead_seconds
        late = LateOrder(last_start, returning)
        per_second = pieces_per_second(limits, len(eligible))
        kept = not booking.borrowed and self._is_kept(
            late, booking.count, wait, per_second, now
        )
        if not (kept or is_bookable(booking, wait, start_by - now)):
            return wait
        until = max(start_by, now) + BOOKING_GRACE_SECONDS
        booked = _Booked(booking.count, booking.priority, start_by, until)
        self._bookings[booking.order_id] = booked
        return None

    def waited(self, key: str, request_id: str, expires: float, now: float) -> float:
        """Return the seconds from a caller's first attempt to the present one.

        :param key: the key that all attempts of a caller share; empty for none.
        :param expires: when its caller stops waiting.
        """
        return self._callers.waited(key, request_id, expires, now)

    def _is_kept(
        self,
        order: LateOrder,
        pieces: int,
        wait: float,
        per_second: float,
        now: float,
    ) -> bool:
        """Return whether an order is accepted even if it will be late.

        :param per_second: the pieces that its servers do in a second.
        """
        keep_until = self._late(order)
        if keep_until is None or now + wait > keep_until or self._spare is None:
            return False
        late = sum(len(q.left) for q in self._orders.values() if q.start_by < now)
        seconds = keep_until - now
        return self._spare.accepts(late + pieces, seconds, per_second, now)

    def drop(self, order_id: str) -> None:
        """Drop an order or a booking; results of pieces in progress are discarded."""
        self._orders.pop(order_id, None)
        self._bookings.pop(order_id, None)

    def drop_expired(self, now: float) -> None:
        """Drop the orders and bookings that have expired."""
        for order_id in [k for k, b in self._bookings.items() if now >= b.until]:
            del self._bookings[order_id]
        for order_id in [k for k, q in self._orders.items() if now >= q.expires]:
            del self._orders[order_id]

    def drop_late(self, now: float) -> list[QueuedOrder]:
        """Drop and return the late orders of which no piece has been sent.

        A caller that is refused now can retry in time. Otherwise it would wait for a
        late answer, which is worth only a fraction of one in time.
        """
        orders = self._orders.values()
        late = [queued for queued in orders if is_abandoned(queued, now, self._late)]
        for queued in late:
            del self._orders[queued.order.order_id]
        return late

    def drop_due_before(self, moment: float) -> list[QueuedOrder]:
        """Drop and return orders with pieces that must start before a given time."""
        waiting = self._orders.values()
        due = [q for q in waiting if q.left and q.start_by < moment]
        for queued in due:
            del self._orders[queued.order.order_id]
        return due

    def drop_unserved(self) -> list[QueuedOrder]:
        """Drop and return the orders with unsent pieces, when no server is left."""
        unserved = [queued for queued in self._orders.values() if queued.left]
        for queued in unserved:
            del self._orders[queued.order.order_id]
        return unserved

    def next_batches(
        self, limits: PieceLimits, usable: Sequence[Server], now: float
    ) -> list[Batch]:
        """Return a batch for each free server, and record it as in progress."""
        self._spare = self._spare or SpareCapacity(now)
        free_at: dict[str, float] = {}
        for server in usable:
            earliest = free_at.get(server.data_centre, math.inf)
            free = max(now, self._state(server).free_at)
            free_at[server.data_centre] = min(earliest, free)
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
        """Record that a call has ended and that the server holds its results.

        :param results: in the order of the pieces; None if there are none.
        :param taken: whether the server took the call; if not, it gets a pause.
        """
        state = self._state(batch.server)
        state.calls -= 1
        state.free_at = 0.0
        if not taken:
            state.paused_until = now + REFUSED_PAUSE_SECONDS
        state.pending_bytes = max(0.0, state.pending_bytes - batch.result_bytes)
        until = now + batch.limits.result_seconds
        for (queued, piece), result in zip(batch.pieces, results or (), strict=False):
            size = queued.order.result_bytes
            if result.handle:
                state.held[result.handle] = (size, until)
            elif result.fault is PieceFault.NO_ROOM:
                # Results that are not recorded here, such as those of an earlier
                # owner, occupy the server's memory.
                label = f"{piece.request_id}/{piece.stage}/{piece.number}"
                state.held[label] = (size, now + NO_ROOM_HOLD_SECONDS)
                state.paused_until = now + REFUSED_PAUSE_SECONDS

    def requeue(self, order_id: str, piece: Piece) -> bool:
        """Requeue a piece; return False if its order has been dropped."""
        queued = self._orders.get(order_id)
        if queued is not None:
            queued.left.append(piece)
        return queued is not None

    def record_reported(self, order_id: str, numbers: set[int]) -> None:
        """Record reported results; an order without further pieces is complete."""
        queued = self._orders.get(order_id)
        if queued is None:
            return
        rest = tuple(p for p in queued.order.pieces if p.number not in numbers)
        if rest:
            queued.order = replace(queued.order, pieces=rest)
        else:
            del self._orders[order_id]

    def release(self, server: Server, handle: str) -> None:
        """Record that a server no longer stores a result."""
        self._state(server).held.pop(handle, None)

    def drop_stale_servers(self, listed: Iterable[Server], now: float) -> None:
        """Drop the state of servers that have left or restarted.

        A server that has left may still serve its stored results, so its state is kept
        until they expire. A server that has restarted under the same name has lost
        them, so its earlier state is dropped without that delay. State with calls in
        progress is kept until they end.
        """
        latest = {server.name: server.identity for server in listed}
        for identity, state in list(self._servers.items()):
            replaced = latest.get(identity[0], identity) != identity
            gone = identity[0] not in latest and not state.used_bytes(now)
            if not state.calls and (replaced or gone):
                del self._servers[identity]

    def holds(self, server: Server, handle: str) -> bool:
        """Return whether a server still stores a result."""
        return handle in self._state(server).held

    def _wait(
        self,
        sort_key: tuple[bool, float],
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float:
        """Return the expected wait in seconds of an order with a sort key."""
        ahead = sum(
            len(queued.left)
            for queued in self._orders.values()
            if queued.sort_key(now) <= sort_key
        )
        ahead += sum(
            booked.count
            for booked in self._bookings.values()
            if order_sort_key(booked.start_by, booked.priority, now) <= sort_key
        )
        whole_call = limits.call_seconds + limits.batch * limits.piece_seconds
        free, servers = 0, 0.0
        for server in usable:
            room = self._room(server)
            idle = self._state(server).calls < limits.concurrent_calls
            free += idle and room.wait_seconds <= 0
            # A server whose calls are limited counts as a fraction.
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
        in_time = sum(len(taken) for queued, taken in chosen if queued.start_by >= now)
        self._spare.note_started(in_time, now)
        state.calls += 1
        state.pending_bytes += batch.result_bytes
        state.free_at = now + batch.seconds
        return batch

    def _state(self, server: Server) -> _ServerState:
        return self._servers.setdefault(server.identity, _ServerState())


def _in_regions(servers: Sequence[Server], regions: frozenset[str]) -> Sequence[Server]:
    return [s for s in servers if s.region in regions] if regions else servers
