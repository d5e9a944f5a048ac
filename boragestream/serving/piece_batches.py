"""Sends the queued pieces of stage services in batches: the work of a queue's owner.

A batch leaves when a server is free, never on a timer. Pieces whose call failed go back
into the queue while the bound on repeats allows it. Which pieces go together is decided
by ``policy.piece_queue``, which entry owns a queue by ``serving.piece_orders``; the
calls are made by ``serving.piece_calls``.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import replace

from boragestream.backend.failures import (
    AnswerCut,
    AttemptFailure,
    ConnectFailed,
    Ran,
    ServerBackedOff,
    ServerCold,
    ServerLeft,
    ServerLimited,
)
from boragestream.base.events import Event, emit
from boragestream.document.calls import PieceFault, PieceResult
from boragestream.entry.server_permits import PermitRefused
from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.load import CallEnd
from boragestream.policy.piece_queue import PieceBooking, PieceOrder, QueuedOrder
from boragestream.policy.quarantine import CrashRecord
from boragestream.policy.server_choice import WITHOUT
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import Batch, CallRoom, ServiceQueue
from boragestream.serving.ejections import note_ejection
from boragestream.serving.piece_calls import BatchParts, PieceCalls, no_results
from boragestream.serving.request_guard import count_crash, has_crashed

__all__ = ["PieceBatches", "PieceDone"]

# Queues are looked at again so often, and no permit is missed in between.
PERMIT_WAIT_SECONDS = 0.25
# How a call ends that was not made after all.
NOT_CALLED = ServerBackedOff | ServerCold | ServerLeft | ServerLimited

# Told the results of pieces of one order, by piece number.
PieceDone = Callable[[str, Sequence[tuple[int, PieceResult]]], None]


class PieceBatches:
    """The queues that this entry owns, and the calls made for them.

    :param done: told the results of each order's pieces.
    """

    def __init__(self, parts: BatchParts, done: PieceDone) -> None:
        self._parts = parts
        self._done = done
        self._queues: dict[str, ServiceQueue] = {}
        self._lock = threading.Lock()
        self._calls = PieceCalls(parts)
        # Who made each result, and of which service it is.
        self._makers: dict[str, tuple[str, Server]] = {}

    def submit(
        self, order: PieceOrder, start_seconds: float, left_seconds: float
    ) -> float | None:
        """Take an order into its queue.

        Taking one that is there already changes nothing.

        :param start_seconds: until its latest start.
        :param left_seconds: until nobody waits for it any more.
        :returns: the expected wait in seconds where it is refused, None if it is taken.
        """
        self._parts.used()
        limits = self._parts.limits(order.service)
        if limits is None:
            return 0.0
        left = self._backed_off_seconds(order.service)
        if left is not None and not self.knows_order(order.order_id):
            return left
        now = self._parts.clock.now()
        queued = QueuedOrder(
            order, now + start_seconds, now + left_seconds, list(order.pieces)
        )
        queued.suspected = self._parts.quarantine.known(order.fingerprint).crashes > 0
        usable = self._usable(order.service)
        with self._lock:
            queue = self._queue(order.service)
            known = order.order_id in queue.orders
            wait = queue.submit(queued, limits, usable, now)
        if wait is None:
            if not known:
                self._parts.retries.note_request(order.service, len(order.pieces))
            self._pump(order.service)
        return wait

    def book(
        self, booking: PieceBooking, start_seconds: float, left_seconds: float
    ) -> float | None:
        """Book an order that comes once the stages before it are done.

        :param start_seconds: until its latest start.
        :param left_seconds: until nobody waits for it any more.
        :returns: the expected wait in seconds where it is refused, None if it is taken.
        """
        self._parts.used()
        limits = self._parts.limits(booking.service)
        if limits is None:
            return 0.0
        left = self._backed_off_seconds(booking.service)
        if left is not None:
            return left
        now = self._parts.clock.now()
        usable = self._usable(booking.service)
        with self._lock:
            queue = self._queue(booking.service)
            start_by, expires = now + start_seconds, now + left_seconds
            return queue.book(booking, start_by, expires, limits, usable, now)

    def cancel(self, service: str, order_id: str) -> None:
        """Drop an order or a booking; what is under way is made in vain."""
        with self._lock:
            queue = self._queues.get(service)
            if queue is not None:
                queue.drop(order_id)

    def knows_order(self, order_id: str) -> bool:
        """Tell whether an order is in a queue or under way here."""
        return any(order_id in queue.orders for queue in list(self._queues.values()))

    def release(self, handles: Sequence[str]) -> None:
        """Give results up, so that their servers have room again."""
        by_server: dict[tuple[str, str, str], tuple[str, Server, list[str]]] = {}
        with self._lock:
            for handle in handles:
                service, server = self._makers.get(handle, ("", None))
                # Where nothing is sent, results take up room until they expire.
                if server is None or not self._calls.takes_messages(server):
                    continue
                del self._makers[handle]
                self._queues[service].release(server, handle)
                freed = by_server.setdefault(server.identity, (service, server, []))
                freed[2].append(handle)
        for service, server, freed in by_server.values():
            self._calls.submit(self._calls.release, server, tuple(freed))
            self._pump(service)

    def look_again(self) -> None:
        """Drop orders that expired or are late, and use servers that have come."""
        now = self._parts.clock.now()
        late: list[QueuedOrder] = []
        unserved: list[QueuedOrder] = []
        listed = self._parts.servers.all
        with self._lock:
            services = list(self._queues)
            for service in services:
                queue = self._queues[service]
                queue.drop_expired(now)
                queue.forget(listed, now)
                late += queue.drop_late(now)
                left = self._backed_off_seconds(service)
                if left is not None:
                    late += queue.drop_starting_before(now + left)
                if not self._parts.servers.live(service):
                    unserved += queue.drop_unserved()
            for handle, (service, server) in list(self._makers.items()):
                if not self._queues[service].holds(server, handle):
                    del self._makers[handle]
        self._give_up(late, PieceFault.LATE)
        self._give_up(unserved, PieceFault.NO_SERVER)
        for service in services:
            self._pump(service)
        self._calls.look_again()

    def _give_up(self, orders: Sequence[QueuedOrder], fault: PieceFault) -> None:
        given_up = PieceResult("", fault)
        for queued in orders:
            order = queued.order
            self._done(order.order_id, [(p.number, given_up) for p in order.pieces])

    def _queue(self, service: str) -> ServiceQueue:
        if service not in self._queues:
            self._queues[service] = ServiceQueue(self._room)
            emit(Event.QUEUE_OWNED, service=service)
        return self._queues[service]

    def _usable(self, service: str) -> list[Server]:
        parts = self._parts
        called = parts.backoffs.usable(parts.servers.live(service))
        live = parts.cold.usable(called)
        need = RoutingNeed(without=WITHOUT)
        return usable_servers(live, self._parts.loads, need, self._parts.clock.now())

    def _room(self, server: Server) -> CallRoom:
        limits = self._parts.limited.limits
        return CallRoom(limits.rate(server), limits.seconds_left(server))

    def _callable(self, service: str) -> list[Server]:
        """Return the servers that may be sent a batch, those without a limit first."""
        limits = self._parts.limited.limits
        free, held = limits.split(self._usable(service))
        soon = [s for s in held if limits.seconds_left(s) <= PERMIT_WAIT_SECONDS]
        return [*free, *soon]

    def _backed_off_seconds(self, service: str) -> float | None:
        """Return until when all servers want no calls; None where one takes some."""
        return self._parts.backoffs.seconds_left(self._parts.servers.live(service))

    def _pump(self, service: str) -> None:
        """Send a batch to each server that is free."""
        limits = self._parts.limits(service)
        if limits is None:
            return
        usable = self._callable(service)
        with self._lock:
            queue = self._queues[service]
            batches = queue.next_batches(limits, usable, self._parts.clock.now())
        for batch in batches:
            self._calls.submit(self._call, service, batch)

    def _call(self, service: str, batch: Batch) -> None:
        parts = self._parts
        began = parts.clock.now()
        number = parts.loads.begin(batch.server)
        sent_with = self._known_crashes(batch)
        result: list[PieceResult] | AttemptFailure = no_results(batch.server)
        try:
            result = self._make(batch)
        finally:
            end = CallEnd.ANSWERED if isinstance(result, list) else CallEnd.CUT
            if isinstance(result, ConnectFailed):
                end = CallEnd.UNREACHED
            if isinstance(result, NOT_CALLED):
                end = CallEnd.CANCELLED
            seconds = parts.clock.now() - began
            kind = str(len(batch.pieces))
            parts.loads.end(batch.server, number, end, seconds, kind)
            name = end.name.lower()
            parts.metrics.batch_ended(service, name, len(batch.pieces))
            if end not in (CallEnd.ANSWERED, CallEnd.CANCELLED):
                note_ejection(parts.loads, batch.server, parts.clock.now())
            if isinstance(result, AnswerCut):
                self._note_cut(batch.server, sent_with)
            self._end(service, batch, result)
        self._pump(service)

    def _make(self, batch: Batch) -> list[PieceResult] | AttemptFailure:
        """Make a batch's call, with a permit where its server has a limit."""
        limited, server = self._parts.limited, batch.server
        if limited.limits.limit(server) is None:
            return self._calls.make(batch)
        permit = limited.permits.acquire(server, PERMIT_WAIT_SECONDS)
        if isinstance(permit, PermitRefused):
            return ServerLimited(server.name, Ran.NOT_SENT)
        limited.wait(permit, lambda: False)
        result = self._calls.make(batch, permit)
        if isinstance(result, AttemptFailure) and result.ran is Ran.NOT_SENT:
            limited.permits.give_back(permit)
        return result

    def _known_crashes(self, batch: Batch) -> list[CrashRecord]:
        """Return what is known of each request that a batch has pieces of."""
        wanted = {queued.order.fingerprint for queued, _ in batch.pieces}
        return [self._parts.quarantine.known(of) for of in wanted if of]

    def _note_cut(self, server: Server, sent_with: list[CrashRecord]) -> None:
        """Count a crash against each request of a batch that its server cut."""
        if not sent_with or not has_crashed(self._parts.line.connections, server):
            return
        for known in sent_with:
            count_crash(self._parts.quarantine, known, server, request_id="")

    def _note_answered(self, batch: Batch, results: list[PieceResult] | None) -> None:
        """Take that a server made pieces of requests, and lives."""
        quarantine = self._parts.quarantine
        if quarantine.empty or results is None:
            return
        made = zip(batch.pieces, results, strict=True)
        for of in {q.order.fingerprint for (q, _), done in made if done.handle}:
            quarantine.note_answered(of)

    def _end(
        self,
        service: str,
        batch: Batch,
        result: list[PieceResult] | AttemptFailure,
    ) -> None:
        """Take the results, put back what failed, and tell whoever waits."""
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
            queue = self._queues[service]
            queue.end(batch, results, ran, self._parts.clock.now())
            for index, (queued, piece) in enumerate(batch.pieces):
                order_id = queued.order.order_id
                done = results[index] if results is not None else None
                if done is not None and done.handle:
                    self._makers[done.handle] = (service, batch.server)
                if order_id not in queue.orders:
                    if done is not None and done.handle:
                        unwanted.append(done.handle)
                elif self._goes_back(queued, done, ran):
                    queue.put_back(order_id, piece)
                else:
                    outcome = done or PieceResult("", PieceFault.ERROR)
                    placed = replace(outcome, data_centre=batch.server.data_centre)
                    reported.setdefault(order_id, []).append((piece.number, placed))
            for order_id, numbered in reported.items():
                queue.note_reported(order_id, {number for number, _ in numbered})
        self._note_answered(batch, results)
        for order_id, numbered in reported.items():
            self._done(order_id, numbered)
        if unwanted:
            self.release(unwanted)

    def _goes_back(
        self, queued: QueuedOrder, done: PieceResult | None, ran: bool
    ) -> bool:
        service = queued.order.service
        crashes = self._parts.quarantine.known(queued.order.fingerprint)
        queued.suspected = crashes.crashes > 0
        if crashes.quarantined:
            return False
        if done is None:
            return not ran or self._parts.retries.spend(service)
        if done.fault is PieceFault.NO_ROOM:
            # Nothing was made, so that it is no repeat.
            return True
        return done.fault is PieceFault.ERROR and self._parts.retries.spend(service)
