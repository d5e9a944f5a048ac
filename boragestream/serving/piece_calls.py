"""Makes the calls to stage servers: batches, releases of results, reports.

``serving.piece_batches`` decides which pieces form a batch and handles their results.
``policy.overdue_calls`` decides when an answer counts as lost.
"""

import itertools
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.failures import (
    AnswerCut,
    AttemptFailure,
    ConnectFailed,
    Ran,
    ServerErred,
)
from boragestream.backend.forwarded_call import (
    CallLine,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece, PieceResult, RunClaim, StageReport
from boragestream.document.routes import PieceLimits
from boragestream.entry.server_permits import Permit
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.late_service import LateService, refuse_late
from boragestream.policy.load import LoadTable
from boragestream.policy.overdue_calls import (
    QUERY_INTERVAL_SECONDS,
    answer_is_lost,
    query_delay_seconds,
)
from boragestream.policy.prompt_parts import PartCrashes
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.retry_window import RetryWindows
from boragestream.policy.return_times import ReturnTimes
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.service_queue import Batch
from boragestream.serving.call_gate import (
    question_refusal,
    release_refusal,
    work_refusal,
)
from boragestream.serving.limited_servers import LimitedServers
from boragestream.serving.piece_failures import AnswerLost
from boragestream.serving.server_questions import ask_server, call_without_id

__all__ = ["BatchParts", "PieceCalls", "PieceFormat", "unreadable_results"]

CALL_THREADS = 64
# A call times out after this factor of its usual time plus the slack; its server then
# counts as hanging.
CALL_TIME_FACTOR = 4.0
CALL_TIME_SLACK_SECONDS = 1.0
RELEASE_SECONDS = 1.0
# Servers answer with a report at once; one that arrives later is of no use.
REPORT_SECONDS = 0.4


class PieceFormat(Protocol):
    """Encodes calls to stage servers and decodes their answers."""

    def encode_piece_call(
        self, server: Server, pieces: list[tuple[Piece, float]]
    ) -> bytes:
        """Return the bytes of a call; each piece is given with its seconds left."""

    def encode_release(self, server: Server, handles: tuple[str, ...]) -> bytes:
        """Return the bytes of a call that releases results."""

    def encode_report_call(self, server: Server) -> bytes:
        """Return the bytes of a call that asks for a server's report."""

    def read_piece_results(self, body: bytes) -> list[PieceResult] | None:
        """Decode an answer in the order of its pieces; None if unreadable."""

    def read_stage_report(self, body: bytes) -> StageReport | None:
        """Decode a server's report; None if unreadable."""


@dataclass(frozen=True, slots=True)
class BatchParts:
    """The parts of the entry that batches and their calls use.

    :ivar cold: which servers have just started.
    :ivar backoffs: which servers have asked not to be called for some time.
    :ivar limited: the servers that have a limit, and the permits to call them.
    :ivar quarantine: which requests crash servers.
    :ivar part_crashes: which piece keys crash servers; None to count none.
    :ivar limits: returns the limits of a service's servers; None if unknown.
    :ivar used: called for each order and booking, because published values decide
        whether it is accepted.
    :ivar list_age: returns the seconds since the server list was last confirmed.
    :ivar late: decides which orders are kept although they are late.
    :ivar note_server_answer: called with each server that answered a call.
    :ivar shares: returns what divides a new queue between client accounts; None to
        treat all orders alike.
    :ivar other_servers: returns some servers other than the one given, in other data
        centres if possible.
    :ivar is_cut_off: returns whether this entry reaches no server of a service.
    :ivar is_brittle: returns whether servers of a service fall over under rejections.
    :ivar returns: returns what plans the returns of a new queue's refused callers; None
        to state expected waits.
    """

    line: CallLine
    format: PieceFormat
    servers: ServerTable
    cold: ColdServers
    backoffs: ServerBackoffs
    limited: LimitedServers
    quarantine: Quarantine
    loads: LoadTable
    retries: RetryWindows
    watchdog: Watchdog
    clock: Clock
    metrics: RouteMetrics
    piece_limits: Callable[[str], PieceLimits | None]
    note_use: Callable[[], None]
    list_age: Callable[[], float] = lambda: 0.0
    late: LateService = refuse_late
    note_server_answer: Callable[[Server], None] = lambda server: None
    shares: Callable[[], QueueShares | None] = lambda: None
    returns: Callable[[], ReturnTimes | None] = lambda: None
    other_servers: Callable[[Server], Sequence[Server]] = lambda server: ()
    is_cut_off: Callable[[str], bool] = lambda service: False
    is_brittle: Callable[[str], bool] = lambda service: False
    part_crashes: PartCrashes | None = None


@dataclass(slots=True)
class _OpenCall:
    """A batch whose call is in progress.

    :ivar check_at: when its server is next asked for a report, in seconds of the clock.
    """

    server: Server
    scope: CancelScope
    check_at: float


class PieceCalls:
    """Makes the calls of this entry to stage servers; each call blocks its thread."""

    def __init__(self, parts: BatchParts) -> None:
        self._parts = parts
        self._threads = ThreadPoolExecutor(CALL_THREADS, "pieces")
        self._numbers = itertools.count()
        self._open: dict[int, _OpenCall] = {}
        self._lock = threading.Lock()

    def submit(self, work: Callable[..., None], *arguments: object) -> None:
        """Run a function that makes calls in the next free thread."""
        self._threads.submit(_run_logged, work, *arguments)

    def make(
        self, batch: Batch, permit: Permit | None = None
    ) -> list[PieceResult] | AttemptFailure:
        """Make a batch's call and return the results in the order of its pieces.

        :param permit: the permit to call the server; None if it has no limit.
        """
        parts = self._parts
        began = parts.clock.now()
        timeout = batch.seconds * CALL_TIME_FACTOR + CALL_TIME_SLACK_SECONDS
        scope = CancelScope(began + timeout)
        number = next(self._numbers)
        check_at = began + query_delay_seconds(batch.seconds)
        with self._lock:
            self._open[number] = _OpenCall(batch.server, scope, check_at)
        try:
            results = self._exchange(batch, permit, scope)
            if isinstance(results, list):
                parts.note_server_answer(batch.server)
            return results
        finally:
            with self._lock:
                del self._open[number]

    def check_overdue_calls(self) -> None:
        """Ask the servers of overdue calls for reports."""
        now = self._parts.clock.now()
        with self._lock:
            overdue = [call for call in self._open.values() if now >= call.check_at]
            for call in overdue:
                call.check_at = now + QUERY_INTERVAL_SECONDS
        for call in overdue:
            self.submit(self._ask, call)

    def release(self, server: Server, handles: tuple[str, ...]) -> None:
        """Tell a server that results are no longer needed.

        Servers that leave, are drained, are in backoff or have a limit are sent
        nothing: they delete the results themselves when these expire.
        """
        if not self.takes_releases(server):
            return

        def encode(left: float) -> bytes | AttemptFailure:
            refusal = release_refusal(self._parts, server)
            return refusal or self._parts.format.encode_release(server, handles)

        # Kept connections are safe here: all releases have the same answer.
        call = OutgoingCall("POST", "", encode)
        failed = self._call(server, call, RELEASE_SECONDS)
        if isinstance(failed, AttemptFailure):
            # The server deletes the results itself when they expire.
            emit(Event.RELEASE_FAILED, server=server.name, failure=failed.describe())

    def _ask(self, call: _OpenCall) -> None:
        server, wire = call.server, self._parts.format
        if question_refusal(self._parts, server) is not None:
            return

        def encode(left: float) -> bytes | AttemptFailure:
            refusal = question_refusal(self._parts, server)
            return refusal or wire.encode_report_call(server)

        question = call_without_id("GET", encode)
        body = self._call(server, question, REPORT_SECONDS)
        report = wire.read_stage_report(body) if isinstance(body, bytes) else None
        # Without a report the call goes on until it times out.
        if report is not None and answer_is_lost(report):
            call.scope.cancel(AnswerLost(server.name))

    def takes_releases(self, server: Server) -> bool:
        """Return whether a server may be sent releases of results."""
        return release_refusal(self._parts, server) is None

    def _call(
        self, server: Server, call: OutgoingCall, seconds: float
    ) -> bytes | AttemptFailure:
        parts = self._parts
        line, watchdog = parts.line, parts.watchdog
        return ask_server(line, watchdog, parts.clock, server, call, seconds)

    def _exchange(
        self, batch: Batch, permit: Permit | None, scope: CancelScope
    ) -> list[PieceResult] | AttemptFailure:
        parts, server = self._parts, batch.server

        def encode(left: float) -> bytes | AttemptFailure:
            refusal = work_refusal(parts, server, permit, parts.cold)
            if refusal is not None:
                return refusal
            self._log_batch(server, len(batch.pieces))
            now = parts.clock.now()
            pieces = [(piece, q.expires - now) for q, piece in batch.pieces]
            return parts.format.encode_piece_call(server, pieces)

        parts.watchdog.open(scope)
        try:
            call = call_without_id("POST", encode)
            answer = open_forwarded_call(parts.line, server, call, scope)
            if isinstance(answer, AttemptFailure):
                return answer
            body = answer.read()
        finally:
            parts.watchdog.close(scope)
        if isinstance(body, AttemptFailure):
            return body
        head = answer.head
        if head.claim is RunClaim.OTHER_SERVER:
            parts.servers.note_leaving(server)
        if head.claim is not RunClaim.RAN:
            return ConnectFailed(server.name, Ran.NOT_RUN, f"status {head.status}")
        if head.status != HTTPStatus.OK:
            return ServerErred(server.name, Ran.MAY_HAVE_RUN, head.status)
        results = parts.format.read_piece_results(body)
        if results is None or len(results) != len(batch.pieces):
            return unreadable_results(server)
        return results

    def _log_batch(self, server: Server, pieces: int) -> None:
        origin = self._parts.servers.list_origin
        emit(
            Event.BATCH_SENT,
            server=server.name,
            service=server.service,
            pieces=pieces,
            list_revision=origin.revision,
            list_source=origin.source,
            list_age_ms=int(self._parts.list_age() * 1000),
        )


def unreadable_results(server: Server) -> AttemptFailure:
    """Return the failure for an answer without a readable list of results."""
    return AnswerCut(server.name, Ran.MAY_HAVE_RUN, "no results that can be read")


def _run_logged(work: Callable[..., None], *arguments: object) -> None:
    """Run a function and log the exception that it raises, if any."""
    try:
        work(*arguments)
    except Exception as error:
        emit(Event.TASK_FAILED, task=work.__name__, error=describe_error(error))
