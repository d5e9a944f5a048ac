"""The WSGI application that forwards callers' requests byte for byte.

The status of each answer that the entry itself generates states whether the request
ran: 429 and 503 guarantee that it did not and never will, 502 and 504 guarantee
nothing. The ``RequestFormat`` that the daemon passes in defines the wire format of
requests and answers.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.failures import (
    DeadlinePassed,
    EntryBroken,
    EntryLeaving,
    NoConfiguration,
    QueueFull,
)
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.base.outcomes import Failed, Failure, Refused, Unknown
from boragestream.base.route_metrics import RouteMetrics
from boragestream.caller.caller_memory import read_body
from boragestream.caller.connections import (
    ARRIVED,
    NOTE_DEADLINE,
    RAW_HEADERS,
    STOP_WAITING,
)
from boragestream.caller.failures import BodyTooLong
from boragestream.caller.forwarded_stream import (
    ForwardedBody,
    ForwardedStream,
    StreamTiming,
)
from boragestream.caller.replies import StartResponse
from boragestream.document.calls import ForwardedRequest, RequestMalformed
from boragestream.entry.delegation import DelegatedBy
from boragestream.policy.account_shares import Surplus
from boragestream.policy.fingerprints import request_fingerprint
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.route_table import (
    KeyUnknown,
    RoutesInForce,
    RouteUnknown,
    choose_service,
)
from boragestream.policy.thread_shares import ThreadShares
from boragestream.serving.forwarded_answer import StreamedAnswer, WholeAnswer
from boragestream.serving.forwarded_run import ForwardedRun, outcome_of
from boragestream.serving.forwarder import Forwarder
from boragestream.serving.request import SentRecord
from boragestream.serving.surplus import THREADS, refuse_surplus
from boragestream.serving.unserved import unserved_cause

__all__ = ["ForwardingApplication", "RequestCounter", "RequestFormat"]

Environ = dict[str, Any]
Reply = Iterable[bytes]

REFUSED_STATUS: dict[type[Failure], HTTPStatus] = {
    RouteUnknown: HTTPStatus.NOT_FOUND,
    KeyUnknown: HTTPStatus.UNAUTHORIZED,
    RequestMalformed: HTTPStatus.BAD_REQUEST,
    BodyTooLong: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
# If the entry itself is the reason, another entry can serve the caller at once.
OTHER_ENTRY_RETRY_SECONDS = 0.05


class RequestFormat(Protocol):
    """The wire format of callers' requests and of the entry's own answers."""

    def read_request(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> ForwardedRequest | RequestMalformed:
        """Decode a request."""

    def refusal_headers(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that the entry generates."""

    def runs_headers(self, runs: int) -> list[tuple[str, str]]:
        """Return the headers that state the attempts to an entry that delegates."""


class RequestCounter:
    """Counts the requests that are being served."""

    def __init__(self) -> None:
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """The number of requests being served."""
        return self._count

    def begin(self) -> None:
        """Count a request that begins."""
        with self._lock:
            self._count += 1

    def end(self) -> None:
        """Count a request that has ended."""
        with self._lock:
            self._count -= 1


@dataclass(frozen=True, slots=True)
class ForwardingApplication:
    """The application; waitress calls it in a thread for each request.

    :ivar first: holds requests until the platform has first answered.
    :ivar refusing: returns whether new requests are refused because the entry stops.
    :ivar in_hand: counts the requests that are being served.
    :ivar limit: the number of requests in service at which further ones are refused.
    :ivar used: called for each request, because published values determine its
        handling.
    :ivar delegated_by: returns which entry delegated a request, if any did.
    :ivar shares: divides the threads between client accounts; None to treat all
        requests alike.
    :ivar memory: grants the bytes of answers; None for no limit.
    """

    routes: RoutesInForce
    first: StartupReadiness
    forwarder: Forwarder
    format: RequestFormat
    watchdog: Watchdog
    clock: Clock
    metrics: RouteMetrics
    refusing: Callable[[], bool]
    in_hand: RequestCounter
    limit: int
    used: Callable[[], None]
    delegated_by: Callable[[ForwardedRequest], DelegatedBy] = lambda r: DelegatedBy()
    shares: ThreadShares | None = None
    memory: MemoryBudget | None = None

    def __call__(self, environ: Environ, start_response: StartResponse) -> Reply:
        """Answer one HTTP request."""
        try:
            return self._answer(environ, start_response)
        except Exception as error:
            emit(Event.REQUEST_BROKEN, request="", error=describe_error(error))
            # The request may have run before the error.
            return self._error_reply(start_response, "", Unknown(EntryBroken(), ""))

    def _answer(self, environ: Environ, start_response: StartResponse) -> Reply:
        arrived = environ.get(ARRIVED, self.clock.now())
        self.used()
        self.first.wait_for_first_answers()
        table = self.routes.current
        if table is None:
            refused = Refused(NoConfiguration(), self.first.retry_delay_seconds())
            return self._error_reply(start_response, "", refused)
        request = self._read(environ, table.document.limits.body_bytes)
        if isinstance(request, Failure):
            return self._error_reply(start_response, "", Refused(request))
        if self.refusing():
            refused = Refused(EntryLeaving(), OTHER_ENTRY_RETRY_SECONDS)
            return self._error_reply(start_response, request.request_id, refused)
        if self.in_hand.count >= self.limit:
            refused = Refused(QueueFull(self.in_hand.count), OTHER_ENTRY_RETRY_SECONDS)
            return self._error_reply(start_response, request.request_id, refused)
        route = table.route(request.host, request.path)
        if isinstance(route, Failure):
            refused = Refused(route)
            return self._error_reply(start_response, request.request_id, refused)
        account = table.account(route, request.key)
        if isinstance(account, Failure):
            refused = Refused(account)
            return self._error_reply(start_response, request.request_id, refused)
        wait = route.timeout_seconds
        if request.wait_seconds is not None:
            wait = min(wait, request.wait_seconds)
        gone = environ.get("waitress.client_disconnected")
        held = MemoryCharge(self.memory, MemoryKind.ANSWER) if self.memory else None
        scope = CancelScope(arrived + wait, gone, environ.get(STOP_WAITING), held)
        name = account.name if account is not None else ""
        if NOTE_DEADLINE in environ:
            environ[NOTE_DEADLINE](request.request_id, scope.deadline, name)
        delegated = self.delegated_by(request)
        if delegated.entry:
            self.metrics.delegation_taken()
            emit(
                Event.REQUEST_TAKEN_OVER,
                request=request.request_id,
                entry=delegated.entry,
            )
        run = ForwardedRun(
            request=request,
            route=route,
            table=table.service_table,
            account=name,
            priority=table.urgency(route, account),
            service=choose_service(route, self.forwarder.parts.rng),
            scope=scope,
            arrived=arrived,
            sent=SentRecord(),
            fingerprint=request_fingerprint(name, request),
            account_regions=account.regions if account is not None else frozenset(),
            delegated_by=delegated.entry,
            earlier_runs=delegated.earlier_runs,
        )
        if self.shares is not None:
            surplus = self.shares.begin(name)
            if surplus is not None:
                return self._refuse_surplus(start_response, run, surplus)
        return self._forward(start_response, run)

    def _refuse_surplus(
        self, start_response: StartResponse, run: ForwardedRun, surplus: Surplus
    ) -> Reply:
        request_id = run.request.request_id
        failure = refuse_surplus(self.metrics, THREADS, request_id, surplus)
        outcome = outcome_of(run, failure)
        self.log_end(run, "refused", int(_error_status(outcome)), failure)
        return self._error_reply(start_response, request_id, outcome)

    def _read(
        self, environ: Environ, body_bytes: int
    ) -> ForwardedRequest | RequestMalformed | BodyTooLong:
        body = read_body(environ["wsgi.input"])
        if len(body) > body_bytes:
            return BodyTooLong(body_bytes)
        headers = [
            (name.replace("_", "-").title(), value)
            for name, value in environ[RAW_HEADERS].items()
        ]
        method, target = environ["REQUEST_METHOD"], environ["REQUEST_URI"]
        return self.format.read_request(method, target, headers, body)

    def _forward(self, start_response: StartResponse, run: ForwardedRun) -> Reply:
        answer = self._serve(run)
        request_id = run.request.request_id
        if isinstance(answer, StreamedAnswer | WholeAnswer):
            head = answer.head
            headers = [*head.headers, *self._runs_headers(run)]
            if isinstance(answer, StreamedAnswer):
                reply = ForwardedStream(self, run, answer.events)
            else:
                self.log_end(run, "answered", head.status, None)
                headers.append(("Content-Length", str(answer.length)))
                reply = ForwardedBody(answer.blocks, run.scope.held)
            try:
                start_response(_status(head.status, head.reason), headers)
            except Exception:
                reply.close()
                raise
            return reply
        outcome = outcome_of(run, answer)
        name, status = type(outcome).__name__.lower(), _error_status(outcome)
        self.log_end(run, name, int(status), answer)
        more = self._runs_headers(run)
        return self._error_reply(start_response, request_id, outcome, more)

    def _runs_headers(self, run: ForwardedRun) -> list[tuple[str, str]]:
        return self.format.runs_headers(run.sent.runs) if run.delegated_by else []

    def _error_reply(
        self,
        start_response: StartResponse,
        request_id: str,
        outcome: Refused | Failed | Unknown,
        more: Iterable[tuple[str, str]] = (),
    ) -> Reply:
        status = _error_status(outcome)
        wait = getattr(outcome, "retry_after", None)
        promised = status in (
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS,
        )
        headers = self.format.refusal_headers(request_id, wait if promised else None)
        body = f"{outcome.failure.code}\n".encode()
        headers += [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
            *more,
        ]
        start_response(_status(status.value, status.phrase), headers)
        return [body]

    def _serve(self, run: ForwardedRun) -> WholeAnswer | StreamedAnswer | Failure:
        """Return the answer; the bytes of a whole one stay charged."""
        self.watchdog.open(run.scope)
        self.in_hand.begin()
        answer = None
        try:
            answer = self.forwarder.run(run)
        finally:
            if not isinstance(answer, StreamedAnswer):
                self._end_service(run)
            delivered = isinstance(answer, StreamedAnswer | WholeAnswer)
            if not delivered and run.scope.held is not None:
                run.scope.held.release()
        return answer

    def _end_service(self, run: ForwardedRun) -> None:
        self.watchdog.close(run.scope)
        self.in_hand.end()
        if self.shares is not None:
            self.shares.end(run.account, self.clock.now() - run.arrived)

    def release(self, run: ForwardedRun) -> None:
        """Release a stream that is no longer being served."""
        self._end_service(run)
        if run.scope.held is not None:
            run.scope.held.release()

    def log_end(
        self,
        run: ForwardedRun,
        outcome: str,
        status: int,
        failure: Failure | None,
        timing: StreamTiming | None = None,
    ) -> None:
        """Log and count how a request ended.

        :param timing: when its events were sent; None if it was not a stream.
        """
        seconds = self.clock.now() - run.arrived
        wait = run.request.wait_seconds
        account = run.account or "none"
        reason = failure.code if failure is not None else ""
        route = run.route.name
        self.metrics.request_ended(account, route, outcome, reason, seconds)
        cause = unserved_cause(status, failure)
        if cause:
            self.metrics.request_unserved(route, cause)
        emit(
            Event.REQUEST_ENDED,
            request=run.request.request_id,
            fingerprint=run.fingerprint.hex(),
            account=account,
            pipeline=route,
            service=run.service,
            version=run.table.version,
            outcome=outcome,
            status=status,
            milliseconds=int(seconds * 1000),
            wait_ms=int(wait * 1000) if wait is not None else None,
            first_ms=timing.first_ms(run.arrived) if timing is not None else None,
            pause_ms=int(timing.longest_pause * 1000) if timing is not None else None,
            failure=failure.describe() if failure is not None else None,
        )


def _error_status(outcome: Refused | Failed | Unknown) -> HTTPStatus:
    failure = outcome.failure
    if isinstance(outcome, Refused):
        status = REFUSED_STATUS.get(type(failure))
        return status or HTTPStatus.SERVICE_UNAVAILABLE
    if isinstance(failure, DeadlinePassed):
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _status(code: int, reason: str) -> str:
    return f"{code} {reason or 'Status'}"
