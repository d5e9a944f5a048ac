"""Sends the queued pieces of stage services in batches: the work of a queue's owner.

A batch leaves when a server is free, never on a timer. Pieces whose call failed go back
into the queue while the bound on repeats allows it. Which pieces go together is decided
by ``policy.piece_queue``; which entry owns a queue, by ``serving.piece_orders``.
"""

import math
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Protocol

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.failures import AttemptFailure, ConnectFailed, Ran
from boragestream.backend.forwarded_call import (
    CallLine,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.document.calls import Piece, PieceFault, PieceResult, RunClaim
from boragestream.document.routes import PieceLimits
from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.piece_queue import (
    PieceOrder,
    QueuedOrder,
    ServerRoom,
    choose_batch,
    expected_wait,
    is_admitted,
)
from boragestream.policy.retry_window import RetryWindows
from boragestream.policy.server_choice import WITHOUT
from boragestream.policy.servers import Server, ServerTable

__all__ = ["BatchParts", "PieceBatches", "PieceDone", "PieceFormat"]

CALL_THREADS = 64
# A call may take this many times its usual time, and so many seconds more, before its
# server is taken for one that hangs.
CALL_TIME_FACTOR = 4.0
CALL_TIME_SLACK_SECONDS = 1.0
RELEASE_SECONDS = 1.0
MEGABYTE = 1_000_000.0

# Told the results of pieces of one order, by piece number.
PieceDone = Callable[[str, Sequence[tuple[int, PieceResult]]], None]


class PieceFormat(Protocol):
    """How calls of stage servers are put on the wire."""

    def encode_piece_call(
        self, server: Server, pieces: list[tuple[Piece, float]]
    ) -> bytes:
        """Return the bytes of a call; each piece with the seconds left for it."""

    def encode_release(self, server: Server, handles: tuple[str, ...]) -> bytes:
        """Return the bytes of a call that gives results up."""

    def read_piece_results(self, body: bytes) -> list[PieceResult] | None:
        """Decode an answer in the order of its pieces; None if unreadable."""


@dataclass(frozen=True, slots=True)
class BatchParts:
    """What the batches need of the entry.

    :ivar limits: returns the limits of a service's servers; None if unknown.
    """

    line: CallLine
    format: PieceFormat
    servers: ServerTable
    loads: LoadTable
    retries: RetryWindows
    watchdog: Watchdog
    clock: Clock
    limits: Callable[[str], PieceLimits | None]


@dataclass(slots=True)
class _Held:
    """Results at a server that take up its room, by handle, until when."""

    by_handle: dict[str, tuple[float, float]] = field(default_factory=dict)
    under_way: float = 0.0

    def used(self, now: float) -> float:
        gone = [h for h, (_, until) in self.by_handle.items() if now >= until]
        for handle in gone:
            del self.by_handle[handle]
        return self.under_way + sum(size for size, _ in self.by_handle.values())


@dataclass(slots=True)
class _Queue:
    """The queue of one service.

    :ivar busy: calls under way by server.
    :ivar free_at: when the calls under way are expected to end, by server.
    :ivar held: the room that is taken at each server.
    """

    orders: dict[str, QueuedOrder] = field(default_factory=dict)
    busy: dict[str, int] = field(default_factory=dict)
    free_at: dict[str, float] = field(default_factory=dict)
    held: dict[str, _Held] = field(default_factory=dict)


class PieceBatches:
    """The queues that this entry owns, and the calls made for them.

    :param done: told the results of each order's pieces.
    """

    def __init__(self, parts: BatchParts, done: PieceDone) -> None:
        self._parts = parts
        self._done = done
        self._queues: dict[str, _Queue] = {}
        self._lock = threading.Lock()
        self._calls = ThreadPoolExecutor(CALL_THREADS, "pieces")
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
        now = self._parts.clock.now()
        limits = self._parts.limits(order.service)
        if limits is None:
            return 0.0
        with self._lock:
            queue = self._queues.setdefault(order.service, _Queue())
            if order.order_id in queue.orders:
                return None
            wait = self._wait(queue, order, limits, now + start_seconds)
            if not is_admitted(order, wait, start_seconds):
                return wait
            queue.orders[order.order_id] = QueuedOrder(
                order, now + start_seconds, now + left_seconds, list(order.pieces)
            )
        self._pump(order.service)
        return None

    def cancel(self, service: str, order_id: str) -> None:
        """Drop an order; what is under way is made in vain."""
        with self._lock:
            queue = self._queues.get(service)
            if queue is not None:
                queue.orders.pop(order_id, None)

    def knows_order(self, order_id: str) -> bool:
        """Tell whether an order is in a queue or under way here."""
        return any(order_id in queue.orders for queue in list(self._queues.values()))

    def release(self, handles: Sequence[str]) -> None:
        """Give results up, so that their servers have room again."""
        by_server: dict[str, tuple[str, Server, list[str]]] = {}
        with self._lock:
            for handle in handles:
                service, server = self._makers.pop(handle, ("", None))
                if server is None:
                    continue
                held = self._queues[service].held.get(server.name)
                if held is not None:
                    held.by_handle.pop(handle, None)
                entry = by_server.setdefault(server.name, (service, server, []))
                entry[2].append(handle)
        for service, server, freed in by_server.values():
            self._calls.submit(_logged, self._release, server, tuple(freed))
            self._pump(service)

    def look_again(self) -> None:
        """Drop orders that expired, and use servers that have come."""
        now = self._parts.clock.now()
        with self._lock:
            services = list(self._queues)
            for service in services:
                self._expire(self._queues[service], now)
            for handle in list(self._makers):
                service, server = self._makers[handle]
                held = self._queues[service].held.get(server.name)
                if held is None or handle not in held.by_handle:
                    del self._makers[handle]
        for service in services:
            self._pump(service)

    def _expire(self, queue: _Queue, now: float) -> None:
        expired = [k for k, q in queue.orders.items() if now >= q.expires]
        for key in expired:
            del queue.orders[key]

    def _wait(
        self, queue: _Queue, order: PieceOrder, limits: PieceLimits, start_by: float
    ) -> float:
        live = self._usable(order.service)
        free = sum(queue.busy.get(s.name, 0) < limits.concurrent_calls for s in live)
        ahead = sum(
            len(q.left) for q in queue.orders.values() if q.start_by <= start_by
        )
        return expected_wait(ahead, free if not ahead else 0, len(live), limits)

    def _usable(self, service: str) -> list[Server]:
        live = self._parts.servers.live(service)
        need = RoutingNeed(without=WITHOUT)
        return usable_servers(live, self._parts.loads, need, self._parts.clock.now())

    def _pump(self, service: str) -> None:
        """Send a batch to each server that is free."""
        limits = self._parts.limits(service)
        if limits is None:
            return
        with self._lock:
            queue = self._queues[service]
            now = self._parts.clock.now()
            usable = self._usable(service)
            free_at: dict[str, float] = {}
            for server in usable:
                known = free_at.get(server.data_centre, math.inf)
                free = max(now, queue.free_at.get(server.name, now))
                free_at[server.data_centre] = min(known, free)
            for server in usable:
                if queue.busy.get(server.name, 0) >= limits.concurrent_calls:
                    continue
                waiting = [q for q in queue.orders.values() if q.left]
                if not waiting:
                    return
                held = queue.held.setdefault(server.name, _Held())
                free = limits.memory_mb * MEGABYTE - held.used(now)
                room = ServerRoom(free, server.data_centre, free_at)
                batch = choose_batch(waiting, limits, room, now)
                if batch:
                    self._begin(queue, server, limits, batch)

    def _begin(
        self,
        queue: _Queue,
        server: Server,
        limits: PieceLimits,
        batch: list[tuple[QueuedOrder, list[Piece]]],
    ) -> None:
        for queued, pieces in batch:
            taken = {piece.number for piece in pieces}
            queued.left = [p for p in queued.left if p.number not in taken]
        size = sum(q.order.result_bytes * len(pieces) for q, pieces in batch)
        queue.held[server.name].under_way += size
        queue.busy[server.name] = queue.busy.get(server.name, 0) + 1
        count = sum(len(pieces) for _, pieces in batch)
        seconds = limits.call_seconds + count * limits.piece_seconds
        queue.free_at[server.name] = self._parts.clock.now() + seconds
        self._calls.submit(_logged, self._call, server, limits, batch, size)

    def _call(
        self,
        server: Server,
        limits: PieceLimits,
        batch: list[tuple[QueuedOrder, list[Piece]]],
        size: float,
    ) -> None:
        parts = self._parts
        began = parts.clock.now()
        number = parts.loads.begin(server)
        flat = [(queued, piece) for queued, pieces in batch for piece in pieces]
        usual = limits.call_seconds + len(flat) * limits.piece_seconds
        result: list[PieceResult] | AttemptFailure | None = None
        try:
            longest = usual * CALL_TIME_FACTOR + CALL_TIME_SLACK_SECONDS
            result = self._exchange(server, flat, began + longest)
        finally:
            end = CallEnd.ANSWERED
            if isinstance(result, ConnectFailed):
                end = CallEnd.UNREACHED
            elif not isinstance(result, list):
                end = CallEnd.CUT
            seconds = parts.clock.now() - began
            parts.loads.end(server, number, end, seconds, str(len(flat)))
            self._end(server, limits, flat, size, result)
        self._pump(batch[0][0].order.service)

    def _exchange(
        self, server: Server, flat: list[tuple[QueuedOrder, Piece]], deadline: float
    ) -> list[PieceResult] | AttemptFailure | None:
        parts = self._parts
        scope = CancelScope(deadline)

        def encode(left: float) -> bytes:
            now = parts.clock.now()
            pieces = [(piece, queued.expires - now) for queued, piece in flat]
            return parts.format.encode_piece_call(server, pieces)

        parts.watchdog.open(scope)
        try:
            call = OutgoingCall("POST", "", encode)
            answer = open_forwarded_call(parts.line, server, call, scope)
            if isinstance(answer, AttemptFailure):
                return answer
            body = answer.read()
        finally:
            parts.watchdog.close(scope)
        if isinstance(body, AttemptFailure):
            return body
        if answer.head.claim is RunClaim.OTHER_SERVER:
            parts.servers.note_leaving(server)
        if answer.head.claim is not RunClaim.RAN:
            return ConnectFailed(server.name, Ran.NOT_RUN, f"{answer.head.status}")
        if answer.head.status != 200:
            return None
        results = parts.format.read_piece_results(body)
        return results if results and len(results) == len(flat) else None

    def _end(
        self,
        server: Server,
        limits: PieceLimits,
        flat: list[tuple[QueuedOrder, Piece]],
        size: float,
        result: list[PieceResult] | AttemptFailure | None,
    ) -> None:
        """Take the results, put back what failed, and tell whoever waits."""
        service = flat[0][0].order.service
        told: dict[str, list[tuple[int, PieceResult]]] = {}
        unwanted: list[str] = []
        ran = not (
            isinstance(result, AttemptFailure) and result.ran is not Ran.MAY_HAVE_RUN
        )
        if not isinstance(result, list):
            described = result.describe() if result is not None else "no results"
            emit(
                Event.BATCH_FAILED,
                server=server.name,
                pieces=len(flat),
                failure=described,
            )
        with self._lock:
            queue = self._queues[service]
            queue.busy[server.name] -= 1
            queue.free_at.pop(server.name, None)
            held = queue.held[server.name]
            held.under_way -= size
            until = self._parts.clock.now() + limits.result_seconds
            for index, (queued, piece) in enumerate(flat):
                order = queued.order
                wanted = order.order_id in queue.orders
                done = result[index] if isinstance(result, list) else None
                if done is not None and done.handle:
                    held.by_handle[done.handle] = (order.result_bytes, until)
                    self._makers[done.handle] = (service, server)
                    if not wanted:
                        unwanted.append(done.handle)
                if not wanted:
                    continue
                if self._goes_back(service, done, ran):
                    queued.left.append(piece)
                    continue
                outcome = done or PieceResult("", PieceFault.ERROR)
                outcome = replace(outcome, data_centre=server.data_centre)
                told.setdefault(order.order_id, []).append((piece.number, outcome))
            finished = [flat_order for flat_order in told if flat_order in queue.orders]
            for order_id in finished:
                self._note_told(queue, order_id, told[order_id])
        for order_id, results in told.items():
            self._done(order_id, results)
        if unwanted:
            self.release(unwanted)

    def _note_told(
        self, queue: _Queue, order_id: str, results: list[tuple[int, PieceResult]]
    ) -> None:
        queued = queue.orders[order_id]
        numbers = {number for number, _ in results}
        rest = tuple(p for p in queued.order.pieces if p.number not in numbers)
        order = queued.order
        if not rest:
            del queue.orders[order_id]
            return
        queued.order = replace(order, pieces=rest)

    def _goes_back(self, service: str, done: PieceResult | None, ran: bool) -> bool:
        if done is None:
            return not ran or self._parts.retries.spend(service)
        if done.fault in (PieceFault.NO_ROOM, PieceFault.ERROR):
            return self._parts.retries.spend(service)
        return False

    def _release(self, server: Server, handles: tuple[str, ...]) -> None:
        parts = self._parts
        scope = CancelScope(parts.clock.now() + RELEASE_SECONDS)
        data = parts.format.encode_release(server, handles)
        parts.watchdog.open(scope)
        try:
            call = OutgoingCall("POST", "", lambda left: data)
            answer = open_forwarded_call(parts.line, server, call, scope)
            failed = answer if isinstance(answer, AttemptFailure) else answer.read()
        finally:
            parts.watchdog.close(scope)
        if isinstance(failed, AttemptFailure):
            # The server forgets the results by itself after their time.
            emit(Event.RELEASE_FAILED, server=server.name, failure=failed.describe())


def _logged(work: Callable[..., None], *arguments: object) -> None:
    try:
        work(*arguments)
    except Exception as error:
        emit(Event.TASK_FAILED, task=work.__name__, error=describe_error(error))
