"""The WSGI application that callers talk to.

It reads a request, has it admitted and run, and answers with exactly one outcome. The
HTTP server itself is waitress, set up in ``caller.server``.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.failures import EntryBroken, NoConfiguration
from boragestream.base.identifiers import new_request_id
from boragestream.base.observations import Observations
from boragestream.base.outcomes import (
    Answered,
    Failed,
    Failure,
    Outcome,
    Refused,
    Unknown,
)
from boragestream.caller.connections import ARRIVED, STOP_WAITING
from boragestream.caller.failures import MethodNotAllowed
from boragestream.caller.pages import Pages
from boragestream.caller.reading import CallerRequest, read_request
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import StartResponse, outcome_reply
from boragestream.caller.streaming import StreamedReply
from boragestream.caller.ticket_runs import Ending
from boragestream.caller.tickets import REQUESTS_PATH, TICKETS_PATH, TicketCalls
from boragestream.policy.admission import Admission
from boragestream.policy.admitted import Candidate
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce
from boragestream.policy.fingerprints import fingerprint, stage_fingerprint
from boragestream.policy.quarantine import (
    Quarantine,
    RequestQuarantined,
    RequestSuspected,
)
from boragestream.serving.pipeline import PipelineRunner
from boragestream.serving.request import RequestRecord, SentRecord

__all__ = ["Application"]

PIPELINES = "/v1/pipelines/"

Environ = dict[str, Any]
Reply = Iterable[bytes]


@dataclass(frozen=True, slots=True)
class Application:
    """The application; waitress calls it in a thread for each request.

    :ivar quarantine: which requests crash servers.
    :ivar pages: answers what is neither a pipeline nor about tickets.
    """

    configuration: ConfigurationInForce
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

    def __call__(self, environ: Environ, start_response: StartResponse) -> Reply:
        """Answer one HTTP request."""
        request_id = new_request_id()
        try:
            return self._answer(environ, start_response, request_id)
        except Exception as error:
            emit(Event.REQUEST_BROKEN, request=request_id, error=describe_error(error))
            # What may have run is not known here.
            outcome = Unknown(EntryBroken(), self.tickets.ask_path(request_id))
            return outcome_reply(start_response, outcome, request_id)

    def _answer(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Reply:
        path = environ["PATH_INFO"]
        if path.startswith(PIPELINES):
            name = path.removeprefix(PIPELINES)
            return self._pipeline(environ, start_response, request_id, name)
        if path.startswith((TICKETS_PATH, REQUESTS_PATH)):
            in_force = self.configuration.current
            return self.tickets.answer(environ, start_response, request_id, in_force)
        return self.pages.answer(environ, start_response, request_id)

    def _pipeline(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        name: str,
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
                environ, start_response, request_id, name, in_force, self.run_ticketed
            )
        asked = read_request(environ, name, in_force, self.max_body_bytes)
        if isinstance(asked, Failure):
            return self.refusals.reply(start_response, request_id, asked)
        ask = self.tickets.ask_path(request_id)
        request = self._admit(request_id, asked, in_force, arrived, ask, environ)
        if isinstance(request, Refused | Failed):
            return outcome_reply(start_response, request, request_id)
        if asked.stream and request.is_streamable:
            return self._stream(start_response, request, asked, arrived)
        ending = self._run(request, asked, arrived)
        self.tickets.runs.remember(asked.account.name, request_id, ending)
        return outcome_reply(start_response, ending.reported, request_id)

    def run_ticketed(
        self,
        request_id: str,
        asked: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run_by: float,
        ask: str,
    ) -> Ending:
        """Run a request under a ticket; it goes on when its caller goes away.

        :param arrived: the clock's seconds at which the request came in.
        :param run_by: the ticket's expiry.
        :param ask: where to ask for the ticket.
        """
        request = self._admit(request_id, asked, in_force, arrived, ask, {}, run_by)
        if isinstance(request, Refused | Failed):
            return Ending(request, request)
        return self._run(request, asked, arrived)

    def _admit(
        self,
        request_id: str,
        asked: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        ask: str,
        watched: Environ,
        run_by: float = math.inf,
    ) -> RequestRecord | Refused | Failed:
        request_print = _fingerprint(asked)
        held = self._held(request_print, asked)
        if held is not None:
            # It has run where it is quarantined; a copy that waits its turn has not.
            ran = isinstance(held, RequestQuarantined)
            outcome = (Failed if ran else Refused)(held, held.left_seconds)
            self._log_end(request_id, asked, arrived, outcome)
            return outcome
        deadline = arrived + asked.deadline_ms / 1000
        caller_gone = watched.get("waitress.client_disconnected")
        policies = in_force.document.policies
        admitted = self.admission.enter(
            Candidate(asked.account, asked.pipeline, deadline, policies, caller_gone)
        )
        if isinstance(admitted, Refused):
            self._log_end(request_id, asked, arrived, admitted)
            return admitted
        scope = CancelScope(deadline, caller_gone, watched.get(STOP_WAITING))
        request = RequestRecord(
            request_id=request_id,
            account=asked.account,
            pipeline=asked.pipeline,
            in_force=in_force,
            body=asked.body,
            scope=scope,
            sent=SentRecord(),
            run_by=run_by,
            ask=ask,
            admitted=admitted,
            fingerprint=request_print,
        )
        self.watchdog.open(scope)
        return request

    def _held(
        self, request_print: bytes, asked: CallerRequest
    ) -> RequestQuarantined | RequestSuspected | None:
        """Return why the servers of one of its stages may not be sent a request."""
        if self.quarantine.empty:
            return None
        for stage in asked.pipeline.stages:
            of = stage_fingerprint(request_print, stage.service)
            held = self.quarantine.held(of)
            if held is not None:
                return held
        return None

    def _run(
        self, request: RequestRecord, asked: CallerRequest, arrived: float
    ) -> Ending:
        try:
            ending = self._conclude(request, self.pipelines.run(request))
        finally:
            self._release(request)
        self._log_end(request.request_id, asked, arrived, ending.reported)
        return ending

    def _stream(
        self,
        start_response: StartResponse,
        request: RequestRecord,
        asked: CallerRequest,
        arrived: float,
    ) -> Reply:
        last = request.pipeline.stages[-1].name

        def ended(outcome: Outcome) -> None:
            whole = isinstance(outcome, Answered)
            request.admitted.end_stage(last, whole, whole, streamed=True)
            self._release(request)
            ending = Ending(outcome, outcome)
            account = asked.account.name
            self.tickets.runs.remember(account, request.request_id, ending)
            self._log_end(request.request_id, asked, arrived, outcome)

        opened = False
        try:
            answer = self.pipelines.open_stream(request)
            opened = not isinstance(answer, Failure)
        finally:
            if not opened:
                self._release(request)
        if isinstance(answer, Failure):
            outcome = request.outcome_of(answer, self._retry_after(request))
            self._log_end(request.request_id, asked, arrived, outcome)
            return outcome_reply(start_response, outcome, request.request_id)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", request.request_id),
        ]
        start_response("200 OK", headers)
        return StreamedReply(answer, request, ended, self._retry_after)

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
        self, request_id: str, asked: CallerRequest, arrived: float, outcome: Outcome
    ) -> None:
        failure = getattr(outcome, "failure", None)
        name = type(outcome).__name__.lower()
        seconds = self.clock.now() - arrived
        account, pipeline = asked.account.name, asked.pipeline.name
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


def _fingerprint(asked: CallerRequest) -> bytes:
    body = msgspec.json.encode(asked.body, order="sorted")
    return fingerprint(asked.account.name, asked.pipeline.name, body)
