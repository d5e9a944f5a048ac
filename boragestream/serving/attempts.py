"""One attempt of a stage on a chosen server, with its accounting.

The attempt sends the call and records the load that the server reports. At its end it
updates the load table, the waiting line and the costs. ``serving.stage`` decides
whether another attempt follows; ``serving.race`` runs concurrent attempts.
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
from boragestream.backend.failures import AnswerCut, AnswerTooLarge, PlacesTaken
from boragestream.backend.load import read_load
from boragestream.base.events import Event, emit
from boragestream.base.failures import DeadlinePassed, EntryCutOff
from boragestream.base.identifiers import new_attempt_id
from boragestream.base.outcomes import Failure
from boragestream.document import Stage
from boragestream.entry.brittle import log_brittle_change
from boragestream.entry.limits import log_limit_change
from boragestream.policy.costs import Purpose, TimeUse
from boragestream.policy.load import CallEnd
from boragestream.policy.servers import Server
from boragestream.serving.attempt_observer import ReachObserver
from boragestream.serving.call_gate import work_refusal
from boragestream.serving.ejections import log_backoff
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
    """One stage of one request, shared by all attempts of the stage.

    :ivar guard: checks the request's quarantine at the servers of this stage.
    :ivar prefix: the key of the prompt's prefix; None for services without a cache.
    """

    request: RequestRecord
    stage: Stage
    call: StageCall
    guard: RequestGuard
    prefix: int | None = None

    @property
    def name(self) -> str:
        """The stage's full name, ``pipeline.stage``."""
        return f"{self.request.pipeline.name}.{self.stage.name}"

    @property
    def kind(self) -> str:
        """The key of the stage's latencies; streams are timed to the answer's head."""
        return f"{self.name} stream" if self.call.stream else self.name


class AttemptRun:
    """One attempt; the load table counts it as open from construction to its end.

    :param run: the stage and its call.
    :param chosen: the server, with the permit to call it.
    :param purpose: why the attempt is made.
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
        self._permit, self._seat = chosen.permit, chosen.seat
        self._was_sent = False
        abandon = self._abandon if run.call.repeatable else None
        self._observer = ReachObserver(parts.reach, server, abandon)
        self._purpose = purpose
        self._started_at = parts.clock.now()
        self._load_call = parts.loads.begin(server)
        self._lost_race = False
        self._closed = False
        self._id = new_attempt_id()
        self._scope = run.request.scope.child()

    @property
    def server(self) -> Server:
        """The server to which the attempt is sent."""
        return self._server

    def send(self) -> Any | AttemptFailure:
        """Send the call; return the result, an open stream, or the failure."""
        try:
            return self._send()
        except BaseException:
            # A call left open in the load table would divert later calls from its
            # server for good.
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
            sending=self._check_before_send,
            note_limit=self._note_limit,
            note_brittle=self._note_brittle,
            observer=self._observer,
        )
        if isinstance(answer, AttemptFailure):
            self._note_failure(answer)
            self._close(_call_end(answer))
            if answer.ran is Ran.NOT_SENT and self._permit is not None:
                self._parts.limited.permits.release(self._permit)
            if isinstance(answer, AnswerCut) and not self._may_have_fallen():
                run.guard.check_for_crash(self._server)
            return answer
        self._record_load(answer)
        if says_leaving(answer.headers):
            self._parts.servers.note_leaving(self._server)
        answer.when_ended(self._on_answer_end)
        if run.call.stream:
            self._parts.times.add(run.kind, self._parts.clock.now() - self._started_at)
            return answer
        result = answer.read()
        if isinstance(result, AttemptFailure):
            self._note_failure(result)
        return result

    def _check_before_send(self) -> AttemptFailure | None:
        refusal = work_refusal(self._parts, self._server, self._permit)
        if refusal is not None:
            return refusal
        quarantined = self._run.guard.check_before_send()
        if quarantined is not None:
            return AttemptCancelled(self._server.name, Ran.NOT_SENT, quarantined)
        if self._seat is None and self._parts.seated.is_brittle(self._server.service):
            return PlacesTaken(self._server.name, Ran.NOT_SENT)
        self._was_sent = True
        self._run.request.sent.note_sending(self._id, self._run.call.repeatable)
        return None

    def _note_limit(self, limit: float | None, sent_at: float, whole: bool) -> None:
        limits = self._parts.limited.limits
        log_limit_change(limits.note_answer(self._server, limit, sent_at, whole))

    def _note_brittle(self, brittle: bool, sent_at: float, whole: bool) -> None:
        services = self._parts.seated.seats.services
        log_brittle_change(services.note_answer(self._server, brittle, sent_at, whole))

    def _abandon(self) -> None:
        """Cancel the call because this entry does not reach its server any more."""
        self._scope.cancel(EntryCutOff(self._server.service))

    def cancel(self) -> None:
        """Cancel the attempt because another one was answered first."""
        self._lost_race = True
        self._scope.cancel(HedgeLost())

    def _record_load(self, answer: OpenAnswer) -> None:
        report = read_load(answer.headers)
        if report is not None:
            lasting = self._run.call.stream
            self._parts.loads.note_report(self._server, report, lasting)

    def _on_answer_end(self, whole: bool) -> None:
        if whole:
            self._close(CallEnd.ANSWERED)
            self._run.guard.note_answered()
            return
        if self._is_cancelled():
            self._close(CallEnd.CANCELLED)
            return
        self._close(CallEnd.CUT)
        if not self._may_have_fallen():
            self._run.guard.check_for_crash(self._server)

    def _may_have_fallen(self) -> bool:
        """Return whether the server crashes under rejections of other calls."""
        return self._parts.seated.is_brittle(self._server.service)

    def _is_cancelled(self) -> bool:
        late = self._parts.clock.now() >= self._scope.deadline
        return late or self._scope.reason is not None

    def _close(self, end: CallEnd) -> None:
        if self._closed:
            return
        self._closed = True
        self._observer.ended(end is CallEnd.CUT and self._scope.reason is None)
        if self._seat is not None:
            rejected = end is CallEnd.REFUSED
            cut = end in (CallEnd.CUT, CallEnd.CANCELLED) and self._was_sent
            self._parts.seated.seats.release(self._seat, rejected, cut)
        parts, run = self._parts, self._run
        seconds = parts.clock.now() - self._started_at
        parts.loads.end(self._server, self._load_call, end, seconds, run.kind)
        if end is CallEnd.ANSWERED and not run.call.stream:
            parts.times.add(run.kind, seconds)
        parts.observations.attempt_ended(
            run.request.pipeline.name,
            run.stage.name,
            end is CallEnd.ANSWERED,
            seconds,
        )
        account = run.request.account.name
        parts.costs.add(
            account, run.name, self._purpose, self._cost_category(end), seconds
        )
        run.request.scope.close_child(self._scope)
        parts.call_queues.of(run.stage.service).record_end()

    def _cost_category(self, end: CallEnd) -> TimeUse:
        if self._lost_race:
            return TimeUse.HEDGED
        if end is CallEnd.ANSWERED:
            return TimeUse.USED
        if end is not CallEnd.CANCELLED:
            return TimeUse.FAILED
        late = isinstance(self._scope.reason, DeadlinePassed | None)
        return TimeUse.LATE if late else TimeUse.CANCELLED

    def _note_failure(self, failure: AttemptFailure) -> None:
        request = self._run.request
        if not self._run.call.repeatable and failure.ran is not Ran.MAY_HAVE_RUN:
            request.sent.note_not_run(self._id)
        if self._lost_race:
            return
        if isinstance(failure, AnswerTooLarge):
            self._parts.observations.answer_oversized()
            bound = failure.limit
            emit(Event.ANSWER_OVERSIZED, server=self._server.name, bound=bound)
        if isinstance(failure, ServerErred | ServerRefused) and failure.leaving:
            self._parts.servers.note_leaving(self._server)
        if isinstance(failure, ServerRefused) and failure.backoff_seconds is not None:
            self._parts.backoffs.note(self._server, failure.backoff_seconds)
            log_backoff(self._server, failure.backoff_seconds)
        mismatched = isinstance(failure, AnswerCrossed)
        event = Event.ANSWER_DISCARDED if mismatched else Event.ATTEMPT_FAILED
        emit(
            event,
            request=request.request_id,
            fingerprint=request.fingerprint.hex(),
            failure=failure.describe(),
        )


def _call_end(failure: AttemptFailure) -> CallEnd:
    unsent = (
        AttemptCancelled | PlacesTaken | ServerBackedOff | ServerLeft | ServerLimited
    )
    if isinstance(failure, unsent):
        return CallEnd.CANCELLED
    if isinstance(failure, ConnectFailed):
        return CallEnd.UNREACHED
    if isinstance(failure, ServerRefused):
        return CallEnd.REFUSED
    return CallEnd.CUT
