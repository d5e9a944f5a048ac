"""Runs one stage: chooses a server, makes an attempt, tries again where that is safe.

A call that may not be repeated is tried again only where it certainly was not run. The
order of the stages is left to ``serving.pipeline``.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from boragestream.backend.attempt import (
    AnswerCrossed,
    AttemptCancelled,
    AttemptFailure,
    OpenAnswer,
    Ran,
    ServerRefused,
    open_attempt,
)
from boragestream.backend.calls import StageCall, StageInput, stage_body, stage_path
from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import NoLiveServer
from boragestream.base.identifiers import new_attempt_id
from boragestream.base.observations import Observations
from boragestream.base.outcomes import Failure
from boragestream.document import Stage
from boragestream.policy.load import LoadTable
from boragestream.policy.routing import RoutingPolicy
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.request import RequestRecord

__all__ = ["StageRunner"]

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class StageRunner:
    """What running stages needs, shared by all requests of an entry.

    :ivar attempts: runs attempts beside the request's own thread.
    """

    servers: ServerTable
    loads: LoadTable
    routing: dict[str, RoutingPolicy]
    connections: ConnectionKeeper
    attempts: ThreadPoolExecutor
    clock: Clock
    observations: Observations

    def run(
        self, request: RequestRecord, stage: Stage, stage_input: StageInput
    ) -> Any | Failure:
        """Run a stage and return its result, JSON data, or why there is none."""
        call = self._call(request, stage, stage_input, stream=False)
        return self._try(request, stage, call, _read)

    def open_stream(
        self, request: RequestRecord, stage: Stage, stage_input: StageInput
    ) -> OpenAnswer | Failure:
        """Run a generating stage up to the headers of its streamed answer."""
        call = self._call(request, stage, stage_input, stream=True)
        return self._try(request, stage, call, lambda answer: answer)

    def _call(
        self,
        request: RequestRecord,
        stage: Stage,
        stage_input: StageInput,
        stream: bool,
    ) -> StageCall:
        kind = request.in_force.services[stage.service].kind
        priority = max(request.pipeline.priority, request.account.priority)
        return StageCall(
            request_id=request.request_id,
            path=stage_path(kind),
            body=stage_body(kind, stage, stage_input, stream),
            repeatable=stage.repeatable,
            priority=priority,
            stream=stream,
        )

    def _try(
        self, request: RequestRecord, stage: Stage, call: StageCall, finish: Any
    ) -> Any | Failure:
        tried: set[str] = set()
        failure: Failure = NoLiveServer(stage.service)
        for _ in range(MAX_ATTEMPTS):
            server = self._choose(request, stage, tried)
            if server is None:
                return failure
            tried.add(server.name)
            result = self._attempt(request, stage, call, server, finish)
            if not isinstance(result, AttemptFailure):
                return result
            failure = result
            self._note_failure(request, server, result)
            if isinstance(result, AttemptCancelled):
                return result.reason
            if not call.repeatable and result.ran is Ran.MAY_HAVE_RUN:
                return result
        return failure

    def _choose(
        self, request: RequestRecord, stage: Stage, tried: set[str]
    ) -> Server | None:
        live = self.servers.live(stage.service)
        fresh = [server for server in live if server.name not in tried]
        if not fresh:
            return None
        policy = self.routing[request.in_force.document.policies.routing]
        return policy.choose(fresh)

    def _attempt(
        self,
        request: RequestRecord,
        stage: Stage,
        call: StageCall,
        server: Server,
        finish: Any,
    ) -> Any | AttemptFailure:
        scope = request.scope.child()
        attempt_id = new_attempt_id()
        began = self.clock.now()
        self.loads.begin(server.name)

        def ended(whole: bool) -> None:
            seconds = self.clock.now() - began
            self.loads.end(server.name, seconds if whole else None)
            pipeline = request.pipeline.name
            self.observations.attempt_ended(pipeline, stage.name, whole, seconds)
            request.scope.close_child(scope)

        answer = open_attempt(
            call,
            server.name,
            server.host,
            attempt_id,
            self.connections,
            scope,
            self.clock,
            sending=lambda: request.sent.note_sending(attempt_id, call.repeatable),
        )
        if isinstance(answer, OpenAnswer):
            answer.when_ended(ended)
            return finish(answer)
        ended(whole=False)
        if not call.repeatable and answer.ran is not Ran.MAY_HAVE_RUN:
            request.sent.note_not_run(attempt_id)
        return answer

    def _note_failure(
        self, request: RequestRecord, server: Server, failure: AttemptFailure
    ) -> None:
        if isinstance(failure, ServerRefused) and failure.leaving:
            self.servers.note_leaving(server)
        crossed = isinstance(failure, AnswerCrossed)
        event = Event.ANSWER_DISCARDED if crossed else Event.ATTEMPT_FAILED
        emit(event, request=request.request_id, failure=failure.describe())


def _read(answer: OpenAnswer) -> Any | AttemptFailure:
    return answer.read()
