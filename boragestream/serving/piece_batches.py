"""Sends the queued pieces of stage services in batches, as the owner of their queues.

A stage service runs steps (stages) of requests. An order is the work of one stage for
one request and consists of pieces. A batch is sent when a server is free, never on a
timer. Pieces whose call failed return to the queue as long as the bound on repeats
allows it.
``policy.piece_queue`` decides which pieces form a batch, ``serving.piece_orders`` which
entry (instance that takes requests of callers) owns a queue,
``serving.queue_servers`` which servers a batch may be sent to, ``serving.piece_calls``
makes the calls, and ``serving.batch_records`` records how they end.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import replace

from boragestream.backend.failures import AttemptFailure, Ran, ServerLimited
from boragestream.base.events import Event, emit
from boragestream.document.calls import PieceFault, PieceResult
from boragestream.entry.server_permits import PermitRefused
from boragestream.policy.piece_queue import PieceBooking, PieceOrder, QueuedOrder
from boragestream.policy.queue_owners import StageQueue
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import Batch, QueueRefusal, ServiceQueue
from boragestream.serving.batch_records import BatchRecords, BegunCall
from boragestream.serving.piece_calls import BatchParts, PieceCalls, unreadable_results
from boragestream.serving.queue_servers import PERMIT_WAIT_SECONDS, QueueServers
from boragestream.serving.surplus import reported

__all__ = ["PieceBatches", "ResultsCallback"]

# Receives the id of an order and results of its pieces, by piece number.
ResultsCallback = Callable[[str, Sequence[tuple[int, PieceResult]]], None]


class PieceBatches:
    """The queues that this entry owns, and the calls made for them.

    :param on_results: receives the results of each order's pieces.
    """

    def __init__(self, parts: BatchParts, on_results: ResultsCallback) -> None:
        self._parts = parts
        self._on_results = on_results
        self._queues: dict[StageQueue, ServiceQueue] = {}
        self._lock = threading.Lock()
        self._calls = PieceCalls(parts)
        self._records = BatchRecords(parts)
        self._servers = QueueServers(parts)
        # The queue and the server of each result, by its handle.
        self._result_servers: dict[str, tuple[StageQueue, Server]] = {}

    def submit(
        self, order: PieceOrder, start_seconds: float, left_seconds: float
    ) -> QueueRefusal | None:
        """Add an order to its queue.

        Adding an order that is already in the queue changes nothing.

        :param start_seconds: the time until its latest start.
        :param left_seconds: the time until its request stops waiting for it.
        :returns: the refusal, 0.0 if the limits of the service are unknown; None if it
            is accepted.
        """
        self._parts.note_use()
        limits = self._parts.piece_limits(order.service)
        if limits is None:
            return 0.0
        left = self._servers.backed_off_seconds(order.queue)
        if left is not None and not self.has_order(order.order_id):
            return left
        now = self._parts.clock.now()
        queued = QueuedOrder(
            order, now + start_seconds, now + left_seconds, list(order.pieces)
        )
        queued.suspected = self._records.crashes(order) > 0
        usable = self._servers.planned(order.queue)
        with self._lock:
            queue = self._queue(order.queue)
            already_queued = order.order_id in queue.orders
            wait = queue.submit(queued, limits, usable, now)
        if wait is None:
            if not already_queued:
                self._parts.retries.note_request(order.service, len(order.pieces))
            self._send_batches(order.queue)
        request_id = order.pieces[0].request_id
        return reported(self._parts.metrics, order.service, request_id, wait)

    def book(
        self, booking: PieceBooking, start_seconds: float, left_seconds: float
    ) -> QueueRefusal | None:
        """Book an order that will be sent once the stages before it are done.

        :param start_seconds: the time until its latest start.
        :param left_seconds: the time until its request stops waiting for it.
        :returns: see ``submit``.
        """
        self._parts.note_use()
        limits = self._parts.piece_limits(booking.service)
        if limits is None:
            return 0.0
        left = self._servers.backed_off_seconds(booking.queue)
        if left is not None:
            return left
        now = self._parts.clock.now()
        usable = self._servers.planned(booking.queue)
        with self._lock:
            queue = self._queue(booking.queue)
            start_by, expires = now + start_seconds, now + left_seconds
            wait = queue.book(booking, start_by, expires, limits, usable, now)
        request_id = booking.request_id
        return reported(self._parts.metrics, booking.service, request_id, wait)

    def waited(self, booking: PieceBooking, left_seconds: float) -> float:
        """Return the seconds from the first attempt of a booking's caller to this one.

        :param left_seconds: the time until its request stops waiting for it.
        """
        now = self._parts.clock.now()
        with self._lock:
            queue = self._queue(booking.queue)
            expires = now + left_seconds
            return queue.waited(booking.key, booking.request_id, expires, now)

    def is_surplus(self, booking: PieceBooking) -> bool:
        """Return whether a booking was accepted as surplus of its account."""
        with self._lock:
            return self._queue(booking.queue).is_booked_surplus(booking.order_id)

    def cancel(self, queue_id: StageQueue, order_id: str) -> None:
        """Drop an order or a booking.

        Calls in progress are not cancelled; their results are released.
        """
        with self._lock:
            queue = self._queues.get(queue_id)
            if queue is not None:
                queue.drop(order_id)

    def has_order(self, order_id: str) -> bool:
        """Return whether an order is in a queue of this entry or in progress."""
        return any(order_id in queue.orders for queue in list(self._queues.values()))

    def release(self, handles: Sequence[str]) -> None:
        """Release results, which frees their room on the servers."""
        by_server: dict[tuple[str, str, str], tuple[StageQueue, Server, list[str]]] = {}
        with self._lock:
            for handle in handles:
                queue_id, server = self._result_servers.get(handle, (None, None))
                # A server that leaves, or is drained, limited or backed off is sent no
                # releases; its results take up room until they expire.
                if server is None or not self._calls.takes_releases(server):
                    continue
                del self._result_servers[handle]
                self._queues[queue_id].release(server, handle)
                freed = by_server.setdefault(server.identity, (queue_id, server, []))
                freed[2].append(handle)
        for queue_id, server, freed in by_server.values():
            self._calls.submit(self._calls.release, server, tuple(freed))
            self._send_batches(queue_id)

    def update_queues(self) -> None:
        """Check all queues, results and calls; call this periodically.

        Drops orders and bookings that have expired, and forgets results that are no
        longer stored. Fails orders that are late, that must start before a server may
        be called again, or that have no live server. Sends batches to free servers and
        checks for overdue calls.
        """
        now = self._parts.clock.now()
        late: list[QueuedOrder] = []
        unserved: list[QueuedOrder] = []
        listed = self._parts.servers.all
        with self._lock:
            queue_ids = list(self._queues)
            for queue_id in queue_ids:
                queue = self._queues[queue_id]
                queue.drop_expired(now)
                queue.drop_stale_servers(listed, now)
                if self._parts.is_cut_off(queue_id.service):
                    # The entries that sent the orders give them to another owner.
                    queue.drop_all()
                    continue
                late += queue.drop_late(now)
                left = self._servers.backed_off_seconds(queue_id)
                if left is not None:
                    late += queue.drop_due_before(now + left)
                if not self._servers.live(queue_id):
                    unserved += queue.drop_unserved()
            for handle, (queue_id, server) in list(self._result_servers.items()):
                if not self._queues[queue_id].holds(server, handle):
                    del self._result_servers[handle]
        self._fail_orders(late, PieceFault.LATE)
        self._fail_orders(unserved, PieceFault.NO_SERVER)
        for queue_id in queue_ids:
            self._send_batches(queue_id)
        self._calls.check_overdue_calls()

    def _fail_orders(self, orders: Sequence[QueuedOrder], fault: PieceFault) -> None:
        for queued in orders:
            order = queued.order
            # Only entries that know the regions of queues know this fault. Their chain
            # may then be offered to another region.
            unsent = order.region and len(queued.left) == len(order.pieces)
            # No region lends its capacity to a surplus.
            whole = unsent and not order.invested and not queued.surplus
            failed = PieceResult("", PieceFault.NOT_SENT if whole else fault)
            self._on_results(order.order_id, [(p.number, failed) for p in order.pieces])

    def _queue(self, queue_id: StageQueue) -> ServiceQueue:
        if queue_id not in self._queues:
            parts = self._parts
            queue = ServiceQueue(
                self._servers.call_room, parts.late, parts.shares(), parts.returns()
            )
            self._queues[queue_id] = queue
            service, region = queue_id.service, queue_id.region
            emit(Event.QUEUE_OWNED, service=service, region=region)
        return self._queues[queue_id]

    def _send_batches(self, queue_id: StageQueue) -> None:
        """Send a batch to each free server."""
        limits = self._parts.piece_limits(queue_id.service)
        if limits is None or self._parts.is_cut_off(queue_id.service):
            return
        usable = self._servers.sendable(queue_id)
        with self._lock:
            queue = self._queues[queue_id]
            batches = queue.next_batches(limits, usable, self._parts.clock.now())
        for batch in batches:
            self._calls.submit(self._call, queue_id, batch)

    def _call(self, queue_id: StageQueue, batch: Batch) -> None:
        call = self._records.begin(batch)
        result: list[PieceResult] | AttemptFailure = unreadable_results(batch.server)
        try:
            result = self._make_call(batch)
        finally:
            self._records.end(call, queue_id.service, result)
            self._end_batch(queue_id, call, result)
        self._send_batches(queue_id)

    def _make_call(self, batch: Batch) -> list[PieceResult] | AttemptFailure:
        """Make a batch's call, with a permit if its server has a limit."""
        limited, server = self._parts.limited, batch.server
        if limited.limits.limit(server) is None:
            return self._calls.make(batch)
        permit = limited.permits.acquire(server, PERMIT_WAIT_SECONDS)
        if isinstance(permit, PermitRefused):
            return ServerLimited(server.name, Ran.NOT_SENT)
        limited.wait(permit, lambda: False)
        result = self._calls.make(batch, permit)
        if isinstance(result, AttemptFailure) and result.ran is Ran.NOT_SENT:
            limited.permits.release(permit)
        return result

    def _end_batch(
        self,
        queue_id: StageQueue,
        call: BegunCall,
        result: list[PieceResult] | AttemptFailure,
    ) -> None:
        """Record a batch's results, requeue failed pieces and report the others.

        Results of orders that were dropped during the call are released.
        """
        batch = call.batch
        results = result if isinstance(result, list) else None
        ran = True
        if isinstance(result, AttemptFailure):
            ran = result.ran is Ran.MAY_HAVE_RUN
            pieces, failure = len(batch.pieces), result.describe()
            server = batch.server.name
            emit(Event.BATCH_FAILED, server=server, pieces=pieces, failure=failure)
        reported: dict[str, list[tuple[int, PieceResult]]] = {}
        unwanted: list[str] = []
        with self._lock:
            queue = self._queues[queue_id]
            queue.end(batch, results, ran, self._parts.clock.now())
            for index, (queued, piece) in enumerate(batch.pieces):
                order_id = queued.order.order_id
                done = results[index] if results is not None else None
                if done is not None and done.handle:
                    self._result_servers[done.handle] = (queue_id, batch.server)
                if order_id not in queue.orders:
                    if done is not None and done.handle:
                        unwanted.append(done.handle)
                elif self._should_requeue(queued, done, ran):
                    queue.requeue(order_id, piece)
                else:
                    outcome = done or PieceResult("", PieceFault.ERROR)
                    placed = replace(outcome, data_centre=batch.server.data_centre)
                    reported.setdefault(order_id, []).append((piece.number, placed))
            for order_id, numbered in reported.items():
                queue.record_reported(order_id, {number for number, _ in numbered})
        self._records.note_answered(call, results)
        for order_id, numbered in reported.items():
            self._on_results(order_id, numbered)
        if unwanted:
            self.release(unwanted)

    def _should_requeue(
        self, queued: QueuedOrder, done: PieceResult | None, ran: bool
    ) -> bool:
        """Return whether a piece must go back into the queue after its call.

        :param done: the result of the piece; None if the whole call failed.
        :param ran: whether the call may have run.
        """
        service = queued.order.service
        queued.suspected = self._records.crashes(queued.order) > 0
        if self._records.is_blocked(queued.order):
            return False
        if done is None:
            return not ran or self._parts.retries.spend(service)
        if done.fault is PieceFault.NO_ROOM:
            # Nothing was made, so sending the piece again is not a repeat.
            return True
        return done.fault is PieceFault.ERROR and self._parts.retries.spend(service)
