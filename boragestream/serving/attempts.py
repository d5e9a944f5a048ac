"""One attempt of a stage, from the chosen server to its end, with its accounts.

It sends the call, takes the server's report of its load and, at the end, tells the
load table, the waiting line and the costs. Whether another attempt follows is left to
``serving.stage``, attempts side by side to ``serving.race``.
"""

from dataclasses import dataclass
from typing import Any

from boragestream.backend.attempt import (
    AnswerCrossed,
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    OpenAnswer,
    Ran,
    ServerBackedOff,
    ServerErred,
    ServerLeft,
    ServerLimited,
    ServerRefused,
    open_attempt,
    says_leaving,
)
from boragestream.backend.calls import StageCall
from boragestream.backend.failures import AnswerCut
from boragestream.backend.load import read_load
from boragestream.base.events import Event, emit
from boragestream.base.failures import DeadlinePassed
from boragestream.base.identifiers import new_attempt_id
from boragestream.base.outcomes import Failure
from boragestream.document import Stage
from boragestream.entry.limits import note_limit_change
from boragestream.policy.costs import Purpose, Spent
from boragestream.policy.load import CallEnd
from boragestream.policy.servers import Server
from boragestream.serving.ejections import note_backoff
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.parts import ServingParts
from boragestream.serving.request import RequestRecord
from boragestream.serving.request_guard import RequestGuard

__all__ = ["AttemptRun", "HedgeLost", "StageRun"]


@dataclass(frozen=True, slots=True)
class HedgeLost(Failure):
    """Another attempt of the same call was answered first."""


@dataclass(frozen=True, slots=True)
class StageRun:
    """One stage of one request, the same for each of its attempts.

    :ivar guard: of the request at the servers of this stage.
    :ivar prefix: the key of the prompt's prefix; None for services without a cache.
    """

    request: RequestRecord
    stage: Stage
    call: StageCall
    guard: RequestGuard
    prefix: int | None = None

    @property
    def name(self) -> str:
        """``pipeline.stage``."""
        return f"{self.request.pipeline.name}.{self.stage.name}"

    @property
    def kind(self) -> str:
        """Under which name its times are kept; a stream's end when its head comes."""
        return f"{self.name} stream" if self.call.stream else self.name


class AttemptRun:
    """One attempt; its load is counted from here to its end.

    :param run: the stage and its call.
    :param chosen: the server, with the permit to call it.
    :param purpose: why it is made.
    """

    def __init__(
        self,
        parts: ServingParts,
        run: StageRun,
        chosen: PermittedServer,
        purpose: Purpose,
    ) -> None:
        self._parts = parts
        self._run = run
        self._server = server = chosen.server
        self._permit = chosen.permit
        self._purpose = purpose
        self._began = parts.clock.now()
        self._call = parts.loads.begin(server)
        self._lost = False
        self._closed = False
        self._id = new_attempt_id()
        self._scope = run.request.scope.child()

    @property
    def server(self) -> Server:
        """The server that it runs on."""
        return self._server

    def send(self) -> Any | AttemptFailure:
        """Make the attempt; return the result, an open stream, or why there is none."""
        try:
            return self._send()
        except BaseException:
            # A call that is never counted out would keep its server from others.
            self._close(CallEnd.CANCELLED)
            raise

    def _send(self) -> Any | AttemptFailure:
        run = self._run
        answer = open_attempt(
            run.call,
            self._server.name,
            self._server.host,
            self._id,
            self._parts.connections,
            self._scope,
            self._parts.clock,
            sending=self._sending,
            note_limit=self._note_limit,
        )
        if isinstance(answer, AttemptFailure):
            self._note_failure(answer)
            self._close(_end_of(answer))
            if answer.ran is Ran.NOT_SENT and self._permit is not None:
                self._parts.limited.permits.give_back(self._permit)
            if isinstance(answer, AnswerCut):
                run.guard.note_cut(self._server)
            return answer
        self._take_report(answer)
        if says_leaving(answer.headers):
            self._parts.servers.note_leaving(self._server)
        answer.when_ended(self._answer_ended)
        if run.call.stream:
            self._parts.times.add(run.kind, self._parts.clock.now() - self._began)
            return answer
        result = answer.read()
        if isinstance(result, AttemptFailure):
            self._note_failure(result)
        return result

    def _sending(self) -> AttemptFailure | None:
        # The choice has aged by a connect, and by whatever this process waited for.
        if not self._parts.servers.takes_work(self._server):
            return ServerLeft(self._server.name, Ran.NOT_SENT)
        if not self._parts.backoffs.takes_calls(self._server):
            return ServerBackedOff(self._server.name, Ran.NOT_SENT)
        if not self._parts.limited.permits.is_valid(self._server, self._permit):
            return ServerLimited(self._server.name, Ran.NOT_SENT)
        quarantined = self._run.guard.sending()
        if quarantined is not None:
            return AttemptCancelled(self._server.name, Ran.NOT_SENT, quarantined)
        self._run.request.sent.note_sending(self._id, self._run.call.repeatable)
        return None

    def _note_limit(self, limit: float | None, sent_at: float, whole: bool) -> None:
        limits = self._parts.limited.limits
        note_limit_change(limits.note_answer(self._server, limit, sent_at, whole))

    def lose(self) -> None:
        """Cancel the attempt, since another one was answered first."""
        self._lost = True
        self._scope.cancel(HedgeLost())

    def _take_report(self, answer: OpenAnswer) -> None:
        report = read_load(answer.headers)
        if report is not None:
            self._parts.loads.note_report(self._server, report)

    def _answer_ended(self, whole: bool) -> None:
        if whole:
            self._close(CallEnd.ANSWERED)
            self._run.guard.note_answered()
            return
        if self._is_cancelled():
            self._close(CallEnd.CANCELLED)
            return
        self._close(CallEnd.CUT)
        self._run.guard.note_cut(self._server)

    def _is_cancelled(self) -> bool:
        late = self._parts.clock.now() >= self._scope.deadline
        return late or self._scope.reason is not None

    def _close(self, end: CallEnd) -> None:
        if self._closed:
            return
        self._closed = True
        parts, run = self._parts, self._run
        seconds = parts.clock.now() - self._began
        parts.loads.end(self._server, self._call, end, seconds, run.kind)
        if end is CallEnd.ANSWERED and not run.call.stream:
            parts.times.add(run.kind, seconds)
        parts.observations.attempt_ended(
            run.request.pipeline.name,
            run.stage.name,
            end is CallEnd.ANSWERED,
            seconds,
        )
        account = run.request.account.name
        parts.costs.add(account, run.name, self._purpose, self._spent(end), seconds)
        run.request.scope.close_child(self._scope)
        parts.lines.of(run.stage.service).note_end()

    def _spent(self, end: CallEnd) -> Spent:
        if self._lost:
            return Spent.HEDGED
        if end is CallEnd.ANSWERED:
            return Spent.USED
        if end is not CallEnd.CANCELLED:
            return Spent.FAILED
        late = isinstance(self._scope.reason, DeadlinePassed | None)
        return Spent.LATE if late else Spent.CANCELLED

    def _note_failure(self, failure: AttemptFailure) -> None:
        request = self._run.request
        if not self._run.call.repeatable and failure.ran is not Ran.MAY_HAVE_RUN:
            request.sent.note_not_run(self._id)
        if self._lost:
            return
        if isinstance(failure, ServerErred | ServerRefused) and failure.leaving:
            self._parts.servers.note_leaving(self._server)
        if isinstance(failure, ServerRefused) and failure.backoff_seconds is not None:
            self._parts.backoffs.note(self._server, failure.backoff_seconds)
            note_backoff(self._server, failure.backoff_seconds)
        crossed = isinstance(failure, AnswerCrossed)
        event = Event.ANSWER_DISCARDED if crossed else Event.ATTEMPT_FAILED
        emit(
            event,
            request=request.request_id,
            fingerprint=request.fingerprint.hex(),
            failure=failure.describe(),
        )


def _end_of(failure: AttemptFailure) -> CallEnd:
    unsent = AttemptCancelled | ServerBackedOff | ServerLeft | ServerLimited
    if isinstance(failure, unsent):
        return CallEnd.CANCELLED
    if isinstance(failure, ConnectFailed):
        return CallEnd.UNREACHED
    if isinstance(failure, ServerRefused):
        return CallEnd.REFUSED
    return CallEnd.CUT
