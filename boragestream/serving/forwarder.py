"""Forwards a request to a backend server, and again to another where that is safe.

A call that runs at most once goes out on a fresh connection and is sent again only
where the server says that it did not run it. A stream that may be resumed goes on at
another server when its own breaks off; any other one ends without its end mark.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from boragestream.backend.failures import (
    AnswerCut,
    AttemptCancelled,
    AttemptFailure,
    Ran,
)
from boragestream.backend.forwarded_call import (
    OpenForwardedAnswer,
)
from boragestream.base.events import Event, emit
from boragestream.base.failures import (
    NoLiveServer,
    ServersBackedOff,
    ServersLimited,
)
from boragestream.base.outcomes import Failure
from boragestream.document.calls import (
    RunClaim,
    StageResult,
)
from boragestream.document.routes import CallKind
from boragestream.policy.load import CallEnd
from boragestream.policy.servers import Server
from boragestream.serving.event_stream import EventSplitter, StreamBroken
from boragestream.serving.forward_attempt import ForwardAttempt, ForwardParts
from boragestream.serving.forwarded_answer import StreamedAnswer, WholeAnswer
from boragestream.serving.forwarded_choice import ForwardedChoice
from boragestream.serving.forwarded_run import (
    ForwardedRun,
    InputsGone,
    ServerDidNotRun,
)
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.request_guard import RequestGuard

__all__ = ["Forwarder"]

SERVER_ERROR = 500
# Most servers that one request asks in vain before it is given up.
MOST_REFUSALS = 4


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Forwards requests."""

    parts: ForwardParts

    def run(self, run: ForwardedRun) -> WholeAnswer | StreamedAnswer | Failure:
        """Take a request through its stages and to a server."""
        self.parts.retries.note_request(run.service)
        return _Forwarding(self.parts, run).answer()


class _Forwarding:
    """One request under way."""

    def __init__(self, parts: ForwardParts, run: ForwardedRun) -> None:
        self._parts = parts
        self._run = run
        self._guard = RequestGuard(
            parts.quarantine,
            parts.line.connections,
            run.request.request_id,
            run.fingerprint,
        )
        self._stream = run.route.kind is CallKind.STREAM
        self._inputs: tuple[StageResult, ...] = ()
        self._inputs_made = False
        self._choice = ForwardedChoice(parts, run)
        # Attempts that may have run, and attempts that a server refused.
        self._runs = 0
        self._refusals = 0
        self._splitter = EventSplitter(run.request.last_event)
        self._failure: Failure | None = None
        self._error: WholeAnswer | None = None

    def answer(self) -> WholeAnswer | StreamedAnswer | Failure:
        """Return the answer, or why there is none."""
        for opened in self._attempts():
            if isinstance(opened, WholeAnswer):
                return opened
            first = self._first_events(opened)
            if first is not None:
                return StreamedAnswer(opened.head, self._events(opened, first))
        return self._error or self._failure or NoLiveServer(self._run.service)

    def _attempts(self) -> Iterator[WholeAnswer | ForwardAttempt]:
        """Yield the outcome of attempt after attempt, as long as one may follow."""
        while True:
            quarantined = self._guard.refusal()
            if quarantined is not None:
                self._failure = quarantined
                self._give_inputs_up()
                return
            chosen = self._choose()
            if isinstance(chosen, Failure):
                tells_return = isinstance(chosen, ServersBackedOff | ServersLimited)
                if self._failure is None or tells_return:
                    self._failure = chosen
                self._give_inputs_up()
                return
            server = chosen.server
            attempt = ForwardAttempt(self._parts, self._run, self._guard, chosen)
            handles = tuple(result.handle for result in self._inputs)
            result = attempt.open(handles, self._splitter.last, self._runs > 0)
            if isinstance(result, AttemptFailure):
                self._note_cut(server, result)
                if not self._may_go_on(result):
                    self._give_inputs_up()
                    return
                continue
            yielded = self._take_answer(attempt, result)
            if yielded is not None:
                yield yielded
            if not self._may_repeat():
                self._give_inputs_up()
                return

    def _choose(self) -> PermittedServer | Failure:
        """Return the server of the next attempt, once the stages are done."""
        failure = self._choice.refusal(self._inputs_made) or self._make_inputs()
        if failure is not None:
            return failure
        number = self._runs + self._refusals + 1
        chosen = self._choice.take(self._inputs, number)
        return chosen or NoLiveServer(self._run.service)

    def _take_answer(
        self, attempt: ForwardAttempt, answer: OpenForwardedAnswer
    ) -> WholeAnswer | ForwardAttempt | None:
        """Return what the caller gets of an answer; None where there is nothing yet."""
        head = answer.head
        if head.claim is not RunClaim.RAN:
            self._take_refusal(attempt, answer)
            return None
        self._runs += 1
        good = head.status < SERVER_ERROR
        proved = head.sealed and not head.encoded
        if self._stream and 200 <= head.status < 300 and proved:
            return attempt
        body = answer.read()
        whole = isinstance(body, bytes) and proved
        attempt.end(CallEnd.ANSWERED if whole and good else CallEnd.CUT)
        if not whole:
            failed = body if isinstance(body, Failure) else _unproved(attempt.server)
            self._note_cut(attempt.server, failed)
            self._note_failure(failed)
            return None
        self._guard.note_answered()
        self._give_inputs_up()
        if good or not self._run.route.repeatable:
            return WholeAnswer(head, body)
        # A failure of the server's own is delivered if nothing better comes.
        self._error = WholeAnswer(head, body)
        return None

    def _take_refusal(
        self, attempt: ForwardAttempt, answer: OpenForwardedAnswer
    ) -> None:
        answer.read()
        self._refusals += 1
        server, head = attempt.server, answer.head
        self._run.note_not_run(server)
        if head.claim is RunClaim.OTHER_SERVER:
            attempt.end(CallEnd.UNREACHED)
            self._parts.servers.note_leaving(server)
        else:
            attempt.end(CallEnd.REFUSED)
        if head.status == 409:
            self._inputs_made = False
            self._note_failure(InputsGone(server.name))
            self._choice.forgive(server)
            return
        self._note_failure(ServerDidNotRun(server.name, head.status))

    def _make_inputs(self) -> Failure | None:
        if self._inputs_made or not self._run.route.stages:
            return None
        made = self._parts.stages.run(self._run, self._choice.home())
        if isinstance(made, Failure):
            return made
        self._inputs = made
        self._inputs_made = True
        return None

    def _give_inputs_up(self) -> None:
        if self._inputs_made:
            self._parts.stages.release(self._inputs)
            self._inputs = ()
            self._inputs_made = False

    def _note_failure(self, failure: Failure) -> None:
        self._failure = failure
        emit(
            Event.ATTEMPT_FAILED,
            request=self._run.request.request_id,
            fingerprint=self._run.fingerprint.hex(),
            failure=failure.describe(),
        )

    def _note_cut(self, server: Server, failure: Failure) -> None:
        """Have it checked whether a server crashed under the request."""
        if isinstance(failure, AnswerCut) and failure.ran is Ran.MAY_HAVE_RUN:
            self._guard.note_cut(server)

    def _may_go_on(self, failure: AttemptFailure) -> bool:
        """Tell whether another attempt may follow one without an answer."""
        self._note_failure(
            failure.reason if isinstance(failure, AttemptCancelled) else failure
        )
        if isinstance(failure, AttemptCancelled):
            return False
        if failure.ran is not Ran.MAY_HAVE_RUN:
            # Nothing arrived, so that the next attempt is no repeat.
            self._refusals += 1
            return self._refusals <= MOST_REFUSALS
        self._runs += 1
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        run = self._run
        if run.scope.reason is not None or self._refusals > MOST_REFUSALS:
            return False
        if self._runs and not run.route.repeatable:
            return False
        if self._runs >= run.route.attempts:
            return False
        if self._parts.clock.now() >= run.scope.deadline:
            return False
        return self._parts.retries.spend(run.service)

    def _first_events(self, attempt: ForwardAttempt) -> list[bytes] | None:
        """Wait for the first whole events; None where the stream breaks before."""
        for part in attempt.parts():
            if isinstance(part, Failure):
                self._broken(attempt, part)
                return None
            events = self._splitter.take(part)
            if isinstance(events, Failure):
                self._broken(attempt, events)
                return None
            if events:
                attempt.note_first()
                self._give_inputs_up()
                return events
        # A stream without any event is a whole answer all the same.
        attempt.note_first()
        self._give_inputs_up()
        return []

    def _broken(self, attempt: ForwardAttempt, failure: Failure) -> None:
        attempt.end(CallEnd.CUT)
        # The server must not be at work on it any more when another goes on.
        attempt.close()
        self._note_cut(attempt.server, failure)
        self._splitter.drop_rest()
        cancelled = isinstance(failure, AttemptCancelled)
        self._note_failure(failure.reason if cancelled else failure)

    def _events(
        self, attempt: ForwardAttempt, first: list[bytes]
    ) -> Iterator[bytes | Failure]:
        """Yield the events of a stream, from server to server where it may go on."""
        current: ForwardAttempt | None = attempt
        try:
            if first:
                yield b"".join(first)
            while current is not None:
                broken = yield from self._relay(current)
                if not broken:
                    return
                current = self._resume() if self._may_repeat() else None
            yield self._failure
        finally:
            if current is not None:
                current.close()
            self._give_inputs_up()

    def _resume(self) -> ForwardAttempt | None:
        """Return the attempt that goes on with the stream; None where none does."""
        for opened in self._attempts():
            if isinstance(opened, ForwardAttempt):
                return opened
        return None

    def _relay(self, attempt: ForwardAttempt) -> Iterator[bytes]:
        """Yield a stream's events; return whether it broke."""
        for part in attempt.parts():
            events = part if isinstance(part, Failure) else self._splitter.take(part)
            if isinstance(events, Failure):
                self._broken(attempt, events)
                return True
            if events:
                attempt.note_first()
                self._give_inputs_up()
                yield b"".join(events)
        rest = self._splitter.finish()
        if isinstance(rest, StreamBroken):
            self._broken(attempt, rest)
            return True
        attempt.end(CallEnd.ANSWERED)
        self._guard.note_answered()
        return False


def _unproved(server: Server) -> AttemptFailure:
    return AnswerCut(server.name, Ran.MAY_HAVE_RUN, "no proof of its origin")
