"""The WSGI application that serves callers.

It parses a request, admits it, runs its pipeline and replies with exactly one outcome.
``caller.server`` configures waitress, the HTTP server.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from boragestream.backend.attempt import OpenAnswer
from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.failures import EntryBroken, NoConfiguration
from boragestream.base.identifiers import new_request_id
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.base.observations import Observations
from boragestream.base.outcomes import (
    Answered,
    Failed,
    Failure,
    Outcome,
    Refused,
    Unknown,
)
from boragestream.caller.connections import ARRIVED, NOTE_DEADLINE, PACE, STOP_WAITING
from boragestream.caller.delegated_calls import (
    DelegatedCalls,
    DelegatedStream,
    read_delegation,
)
from boragestream.caller.failures import MethodNotAllowed
from boragestream.caller.pages import Pages
from boragestream.caller.reading import CallerRequest, read_request
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import StartResponse, outcome_reply
from boragestream.caller.streaming import ChargedReply, RelayedReply, StreamedReply
from boragestream.caller.ticket_runs import Ending
from boragestream.caller.tickets import REQUESTS_PATH, TICKETS_PATH, TicketCalls
from boragestream.policy.admission import Admission
from boragestream.policy.admitted import Candidate
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce
from boragestream.policy.fingerprints import fingerprint, stage_fingerprint
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.quarantine import (
    Quarantine,
    RequestQuarantined,
    RequestSuspected,
)
from boragestream.serving.pipeline import PipelineRunner
from boragestream.serving.request import RequestRecord, SentRecord

__all__ = ["Application"]

PIPELINES = "/v1/pipelines/"
# A stream is read from its server at most about this far ahead of its caller.
MOST_UNREAD_BYTES = 65_536
# The same while many requests are in progress.
MOST_UNREAD_BYTES_BUSY = 16_384

Environ = dict[str, Any]
Reply = Iterable[bytes]


@dataclass(frozen=True, slots=True)
class Application:
    """The application; waitress calls it in a thread for each request.

    :ivar first: whether the first document and instance list are pending.
    :ivar quarantine: records which requests have crashed servers.
    :ivar delegated: delegates requests to other entries.
    :ivar peer_keys: the keys with which other entries may delegate requests.
    :ivar pages: answers requests for anything but pipelines and tickets.
    :ivar memory: grants what requests make the entry hold.
    """

    configuration: ConfigurationInForce
    first: StartupReadiness
    quarantine: Quarantine
    admission: Admission
    pipelines: PipelineRunner
    watchdog: Watchdog
    clock: Clock
    max_body_bytes: int
    refusals: Refusals
    pages: Pages
    tickets: TicketCalls
    observations: Observations
    delegated: DelegatedCalls
    peer_keys: tuple[bytes, ...]
    memory: MemoryBudget

    def __call__(self, environ: Environ, start_response: StartResponse) -> Reply:
        """Answer one HTTP request."""
        request_id = new_request_id()
        held = MemoryCharge(self.memory, MemoryKind.ANSWER)
        try:
            reply = self._answer(environ, start_response, request_id, held)
        except Exception as error:
            emit(Event.REQUEST_BROKEN, request=request_id, error=describe_error(error))
            # The request may have run before the error.
            outcome = Unknown(EntryBroken(), self.tickets.ask_path(request_id))
            reply = outcome_reply(start_response, outcome, request_id)
        return ChargedReply(reply, held)

    def _answer(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        held: MemoryCharge,
    ) -> Reply:
        path = environ["PATH_INFO"]
        if path.startswith((PIPELINES, TICKETS_PATH, REQUESTS_PATH)):
            self.first.wait_for_first_answers()
        if path.startswith(PIPELINES):
            name = path.removeprefix(PIPELINES)
            return self._pipeline(environ, start_response, request_id, name, held)
        if path.startswith((TICKETS_PATH, REQUESTS_PATH)):
            in_force = self.configuration.current
            return self.tickets.answer(
                environ, start_response, request_id, in_force, held
            )
        return self.pages.answer(environ, start_response, request_id)

    def _pipeline(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        name: str,
        held: MemoryCharge,
    ) -> Reply:
        if environ["REQUEST_METHOD"] != "POST":
            wrong = MethodNotAllowed()
            return self.refusals.reply(start_response, request_id, wrong)
        arrived = environ.get(ARRIVED, self.clock.now())
        in_force = self.configuration.current
        if in_force is None:
            return self.refusals.reply(start_response, request_id, NoConfiguration())
        if "HTTP_IDEMPOTENCY_KEY" in environ:
            return self.tickets.post(
                environ,
                start_response,
                request_id,
                name,
                in_force,
                self.run_ticketed,
                held,
            )
        delegation = read_delegation(environ, self.peer_keys)
        by, account = "", ""
        if delegation is not None:
            by, account = delegation.entry, delegation.account
            request_id = delegation.request_id
            emit(Event.REQUEST_TAKEN_OVER, request=request_id, entry=by)
        parsed = read_request(
            environ, name, in_force, self.max_body_bytes, held, account
        )
        if isinstance(parsed, Failure):
            return self.refusals.reply(start_response, request_id, parsed)
        ask = self.tickets.ask_path(request_id)
        request = self._admit(
            request_id, parsed, in_force, arrived, ask, environ, delegated_by=by
        )
        if isinstance(request, Refused | Failed):
            return outcome_reply(start_response, request, request_id)
        if parsed.stream and request.is_streamable:
            self._pace(environ)
            return self._stream(start_response, request, parsed, arrived)
        ending = self._run(request, parsed, arrived)
        self.tickets.runs.remember(parsed.account.name, request_id, ending)
        return outcome_reply(start_response, ending.reported, request_id)

    def run_ticketed(
        self,
        request_id: str,
        parsed: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run_by: float,
        ask: str,
    ) -> Ending:
        """Run a request under a ticket; it continues if its caller disconnects.

        :param arrived: the clock's seconds at which the request arrived.
        :param run_by: the ticket's expiry.
        :param ask: the path that returns the ticket's state.
        """
        request = self._admit(request_id, parsed, in_force, arrived, ask, {}, run_by)
        if isinstance(request, Refused | Failed):
            return Ending(request, request)
        return self._run(request, parsed, arrived)

    def _admit(
        self,
        request_id: str,
        parsed: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        ask: str,
        watched: Environ,
        run_by: float = math.inf,
        delegated_by: str = "",
    ) -> RequestRecord | Refused | Failed:
        request_digest = _fingerprint(parsed)
        failure = self._quarantine_failure(request_digest, parsed)
        if failure is not None:
            # A quarantined request has run; a suspected copy that waits has not.
            ran = isinstance(failure, RequestQuarantined)
            outcome = (Failed if ran else Refused)(failure, failure.left_seconds)
            self._log_end(request_id, parsed, arrived, outcome)
            return outcome
        deadline = arrived + parsed.deadline_ms / 1000
        caller_gone = watched.get("waitress.client_disconnected")
        policies = in_force.document.policies
        admitted = self.admission.enter(
            Candidate(parsed.account, parsed.pipeline, deadline, policies, caller_gone)
        )
        if isinstance(admitted, Refused):
            self._log_end(request_id, parsed, arrived, admitted)
            return admitted
        scope = CancelScope(
            deadline, caller_gone, watched.get(STOP_WAITING), parsed.held
        )
        if NOTE_DEADLINE in watched:
            watched[NOTE_DEADLINE](request_id, deadline, parsed.account.name)
        request = RequestRecord(
            request_id=request_id,
            account=parsed.account,
            pipeline=parsed.pipeline,
            in_force=in_force,
            body=parsed.body,
            scope=scope,
            sent=SentRecord(),
            run_by=run_by,
            status_path=ask,
            admitted=admitted,
            fingerprint=request_digest,
            delegated_by=delegated_by,
        )
        self.watchdog.open(scope)
        return request

    def _quarantine_failure(
        self, request_digest: bytes, parsed: CallerRequest
    ) -> RequestQuarantined | RequestSuspected | None:
        """Return the failure that bars the request from one of its stages, if any."""
        if self.quarantine.empty:
            return None
        for stage in parsed.pipeline.stages:
            digest = stage_fingerprint(request_digest, stage.service)
            failure = self.quarantine.refusal_of(digest)
            if failure is not None:
                return failure
        return None

    def _run(
        self, request: RequestRecord, parsed: CallerRequest, arrived: float
    ) -> Ending:
        try:
            ending = self._conclude(request, self._serve(request))
        finally:
            self._release(request)
        self._log_end(request.request_id, parsed, arrived, ending.reported)
        return ending

    def _serve(self, request: RequestRecord) -> Any | Failure:
        """Return the result of a request, maybe from another entry."""
        reason = self.delegated.reason_before(request)
        if not reason:
            result = self.pipelines.run(request)
            reason = self.delegated.reason_after(request, result)
            if not reason:
                return result
        return self.delegated.run(request, reason)

    def _open_stream(
        self, request: RequestRecord
    ) -> OpenAnswer | DelegatedStream | Failure:
        """Open the stream of a request, maybe at another entry."""
        reason = self.delegated.reason_before(request)
        if not reason:
            answer = self.pipelines.open_stream(request)
            reason = self.delegated.reason_after(request, answer)
            if not reason:
                return answer
        return self.delegated.open_stream(request, reason)

    def _pace(self, environ: Environ) -> None:
        """Have a stream read from its server as fast as its caller reads it."""

        def most_unread() -> int:
            busy = self.admission.busy
            return MOST_UNREAD_BYTES_BUSY if busy else MOST_UNREAD_BYTES

        if PACE in environ:
            environ[PACE](most_unread)

    def _stream(
        self,
        start_response: StartResponse,
        request: RequestRecord,
        parsed: CallerRequest,
        arrived: float,
    ) -> Reply:
        last = request.pipeline.stages[-1].name

        def ended(outcome: Outcome) -> None:
            whole = isinstance(outcome, Answered)
            request.admitted.end_stage(last, whole, whole, streamed=True)
            self._release(request)
            ending = Ending(outcome, outcome)
            account = parsed.account.name
            self.tickets.runs.remember(account, request.request_id, ending)
            self._log_end(request.request_id, parsed, arrived, outcome)

        opened = False
        try:
            answer = self._open_stream(request)
            opened = not isinstance(answer, Failure)
        finally:
            if not opened:
                self._release(request)
        if isinstance(answer, Failure):
            outcome = request.outcome_of(answer, self._retry_after(request))
            self._log_end(request.request_id, parsed, arrived, outcome)
            return outcome_reply(start_response, outcome, request.request_id)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", request.request_id),
        ]
        start_response("200 OK", headers)
        reply = StreamedReply
        if isinstance(answer, DelegatedStream):
            reply = RelayedReply
        return reply(answer, request, ended, self._retry_after)

    def _conclude(self, request: RequestRecord, result: Any) -> Ending:
        if isinstance(result, Failure):
            failed = request.outcome_of(result, self._retry_after(request))
            return Ending(failed, failed)
        answered = Answered(result)
        if self.clock.now() < request.scope.deadline:
            return Ending(answered, answered)
        request.scope.check(self.clock.now())
        late = request.outcome_of(request.scope.reason, self._retry_after(request))
        return Ending(late, answered)

    def _release(self, request: RequestRecord) -> None:
        self.watchdog.close(request.scope)
        self.admission.leave(request.admitted)

    def _retry_after(self, request: RequestRecord) -> float:
        return self.admission.retry_after(request.pipeline)

    def _log_end(
        self, request_id: str, parsed: CallerRequest, arrived: float, outcome: Outcome
    ) -> None:
        failure = getattr(outcome, "failure", None)
        name = type(outcome).__name__.lower()
        seconds = self.clock.now() - arrived
        account, pipeline = parsed.account.name, parsed.pipeline.name
        self.observations.request_ended(account, pipeline, name, seconds)
        emit(
            Event.REQUEST_ENDED,
            request=request_id,
            account=account,
            pipeline=pipeline,
            outcome=name,
            milliseconds=int(seconds * 1000),
            failure=failure.describe() if failure else None,
        )


def _fingerprint(parsed: CallerRequest) -> bytes:
    body = msgspec.json.encode(parsed.body, order="sorted")
    return fingerprint(parsed.account.name, parsed.pipeline.name, body)
