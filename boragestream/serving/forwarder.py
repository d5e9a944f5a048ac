"""Forwards a request to a backend server and retries it at another where that is safe.

A call that may run at most once is sent on a new connection, and is sent again only
if the server states that it did not run it. A resumable stream continues at another
server when its connection breaks; any other stream is cut off before the mark of its
end, which shows the caller that it is incomplete.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from boragestream.backend.failures import (
    AnswerCut,
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    Ran,
)
from boragestream.backend.forwarded_call import OpenForwardedAnswer
from boragestream.base.events import Event, emit
from boragestream.base.failures import (
    EntryCutOff,
    NoLiveServer,
    ServersBackedOff,
    ServersFull,
    ServersLimited,
)
from boragestream.base.outcomes import Failure
from boragestream.document.calls import RunClaim
from boragestream.document.routes import CallKind
from boragestream.policy.load import CallEnd
from boragestream.policy.servers import Server
from boragestream.serving.crash_checks import CrashChecks, make_guard
from boragestream.serving.delegation import DelegatedAttempt, Delegation
from boragestream.serving.event_stream import EventSplitter, StreamOversized
from boragestream.serving.forward_attempt import ForwardAttempt, ForwardParts
from boragestream.serving.forwarded_answer import StreamedAnswer, WholeAnswer
from boragestream.serving.forwarded_choice import ForwardedChoice
from boragestream.serving.forwarded_run import (
    ForwardedRun,
    InputsGone,
    ServerDidNotRun,
)
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.run_reports import encode_run_report
from boragestream.serving.stage_inputs import StageInputs
from boragestream.serving.stream_origin import locate_stream, note_stream_began

__all__ = ["Forwarder"]

SERVER_ERROR = 500
INPUTS_GONE = 409
# The request fails after more attempts than this that certainly did not run, such as
# refusals by servers and failed connections.
MAX_REFUSALS = 4

# An attempt whose stream can be relayed.
OpenAttempt = ForwardAttempt | DelegatedAttempt


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Forwards requests of callers to the servers of their service."""

    parts: ForwardParts

    def run(self, run: ForwardedRun) -> WholeAnswer | StreamedAnswer | Failure:
        """Run the request's stages, then forward it to a server."""
        located = locate_stream(self.parts, run)
        if isinstance(located, Failure):
            return located
        run = located
        reach = self.parts.line.reach
        if reach is None or run.delegated_by or not reach.is_cut_off(run.service):
            # The entry that serves a delegated request counts it.
            self.parts.retries.note_request(run.service)
        return _Forwarding(self.parts, run).answer()


class _Forwarding:
    """The state of one request while it is forwarded."""

    def __init__(self, parts: ForwardParts, run: ForwardedRun) -> None:
        self._parts = parts
        self._run = run
        self._guard = make_guard(parts, run)
        self._crashes = CrashChecks(parts, run, self._guard)
        self._delegation = Delegation(
            parts.delegation, parts.line.reach, run, parts.retries
        )
        # Whether a server could not be reached at all.
        self._unreached = False
        self._stream = run.route.kind is CallKind.STREAM
        self._inputs = StageInputs(parts.stages, run)
        self._choice = ForwardedChoice(parts, run)
        # Attempts that certainly did not run.
        self._refusals = 0
        self._splitter = EventSplitter(run.request.last_event, run.scope.held)
        self._failure: Failure | None = None
        self._error: WholeAnswer | None = None

    @property
    def _possible_runs(self) -> int:
        """The number of servers that may have run the request, at any entry."""
        run = self._run
        return run.earlier_runs + run.sent.runs + self._delegation.possible_runs

    def answer(self) -> WholeAnswer | StreamedAnswer | Failure:
        """Return the answer or the failure."""
        for opened in self._attempts():
            if isinstance(opened, WholeAnswer):
                return opened
            first = self._first_events(opened)
            if first is not None:
                self._note_began(opened)
                return StreamedAnswer(opened.head, self._events(opened, first))
        return self._error or self._failure or NoLiveServer(self._run.service)

    def _attempts(self) -> Iterator[WholeAnswer | OpenAttempt]:
        """Yield the outcome of each attempt until no other one may follow."""
        while True:
            quarantined = self._guard.refusal()
            if quarantined is not None:
                self._failure = quarantined
                self._inputs.release()
                return
            reason = self._delegation_reason()
            if reason:
                yield from self._delegate(reason)
                return
            chosen = self._choose()
            if isinstance(chosen, Failure):
                has_retry_time = isinstance(
                    chosen, ServersBackedOff | ServersFull | ServersLimited
                )
                if self._failure is None or has_retry_time:
                    self._failure = chosen
                self._inputs.release()
                return
            server = chosen.server
            attempt = ForwardAttempt(self._parts, self._run, self._guard, chosen)
            result = attempt.open(
                self._inputs.handles, self._splitter.last, self._possible_runs > 0
            )
            if isinstance(result, AttemptFailure):
                self._crashes.check(server, result)
                if not self._may_retry_after(result):
                    self._inputs.release()
                    return
                continue
            outcome = self._handle_answer(attempt, result)
            if outcome is not None:
                yield outcome
            if not self._may_retry():
                self._inputs.release()
                return

    def _delegation_reason(self) -> str:
        fresh = not self._run.route.repeatable or self._possible_runs > 0
        # A stream that its caller has in part would break otherwise.
        resumable = (
            self._splitter.last is not None
            and self._possible_runs < self._run.route.attempts
        )
        movable = not self._possible_runs or resumable
        return self._delegation.reason(fresh, self._unreached and movable)

    def _delegate(self, reason: str) -> Iterator[WholeAnswer | DelegatedAttempt]:
        """Yield the outcome at each entry to which the request is delegated."""
        self._inputs.release()
        delegation, earlier = self._delegation, self._run.sent.runs
        for outcome in delegation.outcomes(
            reason, earlier, lambda: self._splitter.last
        ):
            yield outcome
            if not self._may_retry():
                return
        if delegation.failure is not None:
            self._note_failure(delegation.failure)

    def _choose(self) -> PermittedServer | Failure:
        """Run the stages if necessary; return the server of the next attempt."""
        choice, inputs = self._choice, self._inputs
        failure = choice.refusal(inputs.ready)
        failure = failure or inputs.prepare(choice.engine_data_centre)
        if failure is not None:
            return failure
        number = self._possible_runs + self._refusals + 1
        chosen = choice.choose(inputs.results, number)
        return chosen or NoLiveServer(self._run.service)

    def _handle_answer(
        self, attempt: ForwardAttempt, answer: OpenForwardedAnswer
    ) -> WholeAnswer | ForwardAttempt | None:
        """Evaluate a server's answer to an attempt.

        :returns: the whole answer, or the attempt if its stream can be relayed; None if
            the answer is not to be delivered now.
        """
        head = answer.head
        if head.claim is not RunClaim.RAN:
            self._handle_refusal(attempt, answer)
            return None
        self._run.sent.note_run()
        self._choice.note_served()
        successful = head.status < SERVER_ERROR
        verified = head.sealed and not head.encoded
        if self._stream and 200 <= head.status < 300 and verified:
            return attempt
        body = attempt.read()
        whole = isinstance(body, list) and verified
        attempt.end(CallEnd.ANSWERED if whole and successful else CallEnd.CUT)
        if not whole:
            failed = body if isinstance(body, Failure) else _unverified(attempt.server)
            self._crashes.check(attempt.server, failed)
            self._note_failure(failed)
            return None
        self._guard.note_answered()
        self._inputs.release()
        if successful or not self._run.route.repeatable:
            return WholeAnswer(head, body)
        # ``answer`` returns the server's error answer if no later attempt succeeds.
        self._error = WholeAnswer(head, body)
        return None

    def _handle_refusal(
        self, attempt: ForwardAttempt, answer: OpenForwardedAnswer
    ) -> None:
        attempt.read()
        self._refusals += 1
        server, head = attempt.server, answer.head
        self._run.note_not_run(server)
        if head.claim is RunClaim.OTHER_SERVER:
            attempt.end(CallEnd.UNREACHED)
            self._parts.servers.note_leaving(server)
        else:
            attempt.end(CallEnd.REFUSED)
            if head.status != INPUTS_GONE:
                self._choice.note_full()
        if head.status == INPUTS_GONE:
            self._inputs.note_gone()
            self._note_failure(InputsGone(server.name))
            self._choice.allow_again(server)
            return
        self._note_failure(ServerDidNotRun(server.name, head.status))

    def _note_failure(self, failure: Failure) -> None:
        if isinstance(failure, AttemptCancelled):
            failure = failure.reason
        self._failure = failure
        emit(
            Event.ATTEMPT_FAILED,
            request=self._run.request.request_id,
            fingerprint=self._run.fingerprint.hex(),
            failure=failure.describe(),
        )

    def _may_retry_after(self, failure: AttemptFailure) -> bool:
        """Record an attempt without an answer; return whether another may follow."""
        self._note_failure(failure)
        cancelled = isinstance(failure, AttemptCancelled)
        if cancelled and not isinstance(failure.reason, EntryCutOff):
            return False
        self._unreached = self._unreached or isinstance(failure, ConnectFailed)
        if failure.ran is not Ran.MAY_HAVE_RUN:
            # The request was not run, so the next attempt is not a repeat.
            self._refusals += 1
            return self._refusals <= MAX_REFUSALS
        self._run.sent.note_run()
        return self._may_retry()

    def _may_retry(self) -> bool:
        run = self._run
        if run.scope.reason is not None or self._refusals > MAX_REFUSALS:
            return False
        repeatable = run.route.repeatable and self._splitter.resumable
        if self._possible_runs and not repeatable:
            return False
        counted = self._possible_runs
        if self._delegation_reason():
            # Runs at servers that were cut off meanwhile don't count.
            counted = self._delegation.possible_runs
        if counted >= run.route.attempts:
            return False
        if self._parts.clock.now() >= run.scope.deadline:
            return False
        return self._parts.retries.spend(run.service)

    def _first_events(self, attempt: OpenAttempt) -> list[bytes] | None:
        """Return the first complete events; None if the stream breaks before them."""
        for chunk in attempt.chunks():
            events = self._feed(attempt, chunk)
            if isinstance(events, Failure):
                self._handle_broken_stream(attempt, events)
                return None
            if events:
                attempt.note_first_event()
                self._guard.note_events()
                self._inputs.release()
                return events
        unfinished = self._splitter.finish(attempt.framed)
        if unfinished is not None:
            self._handle_broken_stream(attempt, unfinished)
            return None
        # A caller that resumes a stream may have all of its events.
        attempt.note_first_event()
        self._inputs.release()
        return []

    def _feed(
        self, attempt: OpenAttempt, chunk: bytes | Failure
    ) -> list[bytes] | Failure:
        """Return the events that are complete with a chunk, or why there are none."""
        events = chunk if isinstance(chunk, Failure) else self._splitter.feed(chunk)
        if isinstance(attempt, DelegatedAttempt) and not isinstance(events, Failure):
            events = attempt.without_reports(events)
        return events

    def _note_began(self, attempt: OpenAttempt) -> None:
        """Keep the stream at the version of the server whose events come first."""
        if isinstance(attempt, ForwardAttempt):
            self._choice.require_version(attempt.server.version)
            note_stream_began(self._parts, self._run, attempt.server)

    def _handle_broken_stream(self, attempt: OpenAttempt, failure: Failure) -> None:
        attempt.end(CallEnd.CUT)
        # Closing the connection stops the server's work on this request before another
        # server resumes the stream.
        attempt.close()
        if isinstance(failure, StreamOversized):
            self._parts.line.note_oversized(attempt.server, failure.limit)
        if isinstance(attempt, ForwardAttempt):
            self._crashes.check(attempt.server, failure)
        self._splitter.discard_partial()
        self._note_failure(failure)

    def _events(
        self, attempt: OpenAttempt, first: list[bytes]
    ) -> Iterator[bytes | Failure]:
        """Yield a stream's events, resuming it at other servers where possible."""
        current: OpenAttempt | None = attempt
        try:
            if first:
                yield b"".join(first)
                self._splitter.note_passed_on()
            while current is not None:
                broken = yield from self._relay(current)
                if not broken:
                    return
                current = self._resume() if self._may_retry() else None
                if self._run.delegated_by:
                    yield encode_run_report(self._run.sent.runs)
            yield self._failure
        finally:
            if current is not None:
                current.close()
            self._inputs.release()

    def _resume(self) -> OpenAttempt | None:
        """Return an attempt that resumes the stream; None if there is none."""
        if self._choice.version is None:
            # Another entry began the stream.
            last = self._splitter.last
            located = locate_stream(self._parts, self._run, True, last)
            if isinstance(located, Failure):
                self._note_failure(located)
                return None
            if located.version is not None:
                self._choice.require_version(located.version)
        for opened in self._attempts():
            if not isinstance(opened, WholeAnswer):
                return opened
        return None

    def _relay(self, attempt: OpenAttempt) -> Iterator[bytes]:
        """Yield the events of one server's stream; return whether the stream broke."""
        for chunk in attempt.chunks():
            events = self._feed(attempt, chunk)
            if isinstance(events, Failure):
                self._handle_broken_stream(attempt, events)
                return True
            if events:
                attempt.note_first_event()
                self._guard.note_events()
                self._inputs.release()
                yield b"".join(events)
                self._splitter.note_passed_on()
        unfinished = self._splitter.finish(attempt.framed)
        if unfinished is not None:
            self._handle_broken_stream(attempt, unfinished)
            return True
        attempt.end(CallEnd.ANSWERED)
        self._guard.note_answered()
        return False


def _unverified(server: Server) -> AttemptFailure:
    return AnswerCut(
        server.name, Ran.MAY_HAVE_RUN, "answer not verified as the server's own"
    )
