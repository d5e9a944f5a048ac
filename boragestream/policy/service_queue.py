"""The state of a stage service's queue: orders, calls in progress, room at the servers.

A stage is a step of a request that runs on the servers of a stage service. An order is
the work of one stage for one request; its pieces can run in different calls. The owner
is the entry (instance that takes requests of callers) that keeps the queue of a
service. The queue is not thread-safe: calls of its methods must be serialized by a
lock. Points in time are in the clock's seconds.
``policy.piece_queue`` chooses the pieces of each batch, ``serving.piece_batches`` sends
the calls.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from functools import partial

from boragestream.document.calls import Piece, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.account_shares import Surplus
from boragestream.policy.late_service import LateOrder, LateService, refuse_late
from boragestream.policy.piece_queue import (
    BEHIND_ALL,
    PieceBooking,
    QueuedOrder,
    ServerRoom,
    SortKey,
    choose_batch,
    expected_wait,
    is_abandoned,
    is_admitted,
    is_bookable,
    longest_booked_wait,
    longest_wait,
    order_sort_key,
    pieces_per_second,
)
from boragestream.policy.queue_admission import (
    QueueAdmission,
    QueueClaim,
    QueueRefusal,
)
from boragestream.policy.queue_bookings import BookedOrder, start_before_booked
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.return_times import ReturnTimes
from boragestream.policy.returning_callers import ReturningCallers
from boragestream.policy.servers import Server
from boragestream.policy.stage_servers import (
    UNLIMITED_CALLS,
    Batch,
    CallRoom,
    StageServers,
)

__all__ = ["Batch", "CallRoom", "QueueRefusal", "ServiceQueue"]

MEGABYTE = 1_000_000.0


class ServiceQueue:
    """The queue of one service.

    :param room: returns the rate at which a server may be called.
    :param late: see ``policy.queue_admission``, like the other parameters.
    """

    def __init__(
        self,
        room: Callable[[Server], CallRoom] = lambda server: UNLIMITED_CALLS,
        late: LateService = refuse_late,
        shares: QueueShares | None = None,
        returns: ReturnTimes | None = None,
    ) -> None:
        self._admission = QueueAdmission(late, shares, returns)
        self._orders: dict[str, QueuedOrder] = {}
        self._bookings: dict[str, BookedOrder] = {}
        self._servers = StageServers(room)
        self._callers = ReturningCallers()

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
    ) -> QueueRefusal | None:
        """Add an order; return the expected wait in seconds if it is refused.

        :returns: when its caller should return, if that was planned; the surplus if it
            is refused as surplus of its account; None if it is accepted.
        """
        order = queued.order
        if order.order_id in self._orders:
            return None
        booked = self._bookings.pop(order.order_id, None)
        first = order.pieces[0]
        queued.arrived_at = now
        waited = self.waited(first.key, first.request_id, queued.expires, now)
        queued.returning = max(waited, order.waited_seconds) > 0
        queued.start_by -= max(0.0, waited - order.waited_seconds)
        eligible = _in_regions(usable, order.regions)
        server_count = partial(self._servers.count, limits, eligible)
        queued.start_by = start_before_booked(
            queued, self._bookings.values(), limits, server_count
        )
        sort_key = queued.sort_key(now)
        if order.needs_spare_capacity:
            sort_key = BEHIND_ALL
        left = queued.start_by - now
        claim = QueueClaim(
            order.account,
            len(order.pieces),
            order.priority,
            queued.as_late,
            queued.expires,
            self._wait(first.request_id, sort_key, limits, eligible, now),
            longest_wait(order.priority, left),
            order.needs_spare_capacity,
        )
        if booked is not None:
            # Its booking has been counted and admitted already.
            queued.surplus = booked.surplus
        elif not order.invested:
            surplus = self._judge_share(claim, limits, usable, now)
            if isinstance(surplus, Surplus):
                return surplus
            queued.surplus = surplus
            self._admission.record_demand(claim, now)
        per_second = pieces_per_second(limits, len(eligible))
        kept = self._keeps_late(claim, per_second, now)
        if not (kept or is_admitted(queued.order, claim.wait, left)):
            return self._admission.refuse(claim, per_second, now)
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
    ) -> QueueRefusal | None:
        """Book a later order; return the expected wait in seconds if it is refused.

        :param start_by: the latest start of the order.
        :param expires: when its caller stops waiting.
        :returns: see ``submit``.
        """
        if booking.order_id in self._bookings or booking.order_id in self._orders:
            return None
        waited = self.waited(booking.key, booking.request_id, expires, now)
        returning = max(waited, booking.waited_seconds) > 0
        start_by -= max(0.0, waited - booking.waited_seconds)
        sort_key = order_sort_key(start_by, booking.priority, now)
        if booking.borrowed:
            sort_key = BEHIND_ALL
        eligible = _in_regions(usable, booking.regions)
        left = start_by - now
        claim = QueueClaim(
            booking.account,
            booking.count,
            booking.priority,
            LateOrder(expires - booking.lead_seconds, returning),
            expires,
            self._wait(booking.request_id, sort_key, limits, eligible, now),
            longest_booked_wait(booking.priority, left),
            booking.borrowed,
        )
        surplus = self._judge_share(claim, limits, usable, now)
        if isinstance(surplus, Surplus):
            return surplus
        self._admission.record_demand(claim, now)
        per_second = pieces_per_second(limits, len(eligible))
        kept = self._keeps_late(claim, per_second, now)
        if not (kept or is_bookable(booking, claim.wait, left)):
            return self._admission.refuse(claim, per_second, now)
        booked = BookedOrder.accept(booking, start_by, surplus, now)
        self._bookings[booking.order_id] = booked
        return None

    def waited(self, key: str, request_id: str, expires: float, now: float) -> float:
        """Return the seconds from a caller's first attempt to the present one.

        :param key: the key that all attempts of a caller share; empty for none.
        :param expires: when its caller stops waiting.
        """
        return self._callers.waited(key, request_id, expires, now)

    def is_booked_surplus(self, order_id: str) -> bool:
        """Return whether an order is booked as surplus of its account."""
        return order_id in self._bookings and self._bookings[order_id].surplus

    def drop(self, order_id: str) -> None:
        """Drop an order or a booking; results of pieces in progress are discarded."""
        self._orders.pop(order_id, None)
        self._bookings.pop(order_id, None)

    def drop_all(self) -> None:
        """Drop all orders and bookings; results of pieces in progress are discarded."""
        self._orders.clear()
        self._bookings.clear()

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
        late = [
            queued
            for queued in orders
            if is_abandoned(queued, now, self._admission.late.rule)
        ]
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
        self._admission.late.begin(now)
        free_at = self._servers.free_at(usable, now)
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
        self._servers.state(batch.server).end(batch, results, taken, now)

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
        self._servers.state(server).held.pop(handle, None)

    def drop_stale_servers(self, listed: Iterable[Server], now: float) -> None:
        """Drop the state of servers that have left or restarted."""
        self._servers.drop_stale(listed, now)

    def holds(self, server: Server, handle: str) -> bool:
        """Return whether a server still stores a result."""
        return handle in self._servers.state(server).held

    def _wait(
        self,
        request_id: str,
        sort_key: SortKey,
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> float:
        """Return the expected wait in seconds of an order or booking of a request."""
        ahead = sum(
            len(queued.left)
            for queued in self._orders.values()
            if queued.sort_key(now) <= sort_key
        )
        ahead += sum(
            booked.count
            for booked in self._bookings.values()
            if booked.sort_key(now) <= sort_key and booked.request_id != request_id
        )
        idle = 0 if ahead else self._servers.idle_count(limits, usable)
        return expected_wait(ahead, idle, self._servers.count(limits, usable), limits)

    def _judge_share(
        self,
        claim: QueueClaim,
        limits: PieceLimits,
        usable: Sequence[Server],
        now: float,
    ) -> Surplus | bool:
        """Return whether a claim is beyond its account's share, or its refusal."""
        capacity = partial(self._servers.capacity, limits, usable)
        return self._admission.judge_share(claim, capacity, self._pieces_queued, now)

    def _pieces_queued(self) -> int:
        """Return the number of pieces that are queued or booked."""
        queued = sum(len(waiting.left) for waiting in self._orders.values())
        return queued + sum(booked.count for booked in self._bookings.values())

    def _keeps_late(self, claim: QueueClaim, per_second: float, now: float) -> bool:
        """Return whether a claim is accepted even if it will be late."""

        def late_pieces() -> int:
            orders = self._orders.values()
            return claim.count + sum(len(q.left) for q in orders if q.start_by < now)

        return self._admission.keeps_late(claim, late_pieces, per_second, now)

    def _next_batch(
        self,
        server: Server,
        limits: PieceLimits,
        free_at: Mapping[str, float],
        now: float,
    ) -> Batch | None:
        state = self._servers.state(server)
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
        self._admission.late.note_started(in_time, now)
        state.calls += 1
        state.pending_bytes += batch.result_bytes
        state.free_at = now + batch.seconds
        return batch


def _in_regions(servers: Sequence[Server], regions: frozenset[str]) -> Sequence[Server]:
    return [s for s in servers if s.region in regions] if regions else servers
