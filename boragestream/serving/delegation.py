"""Delegates a request to another entry when this one reaches none of its servers.

The other entry serves the request like any request of a caller, with its own choice of
servers, permits, shares and queues; it only does not delegate it again. Its answer is
relayed byte for byte. A request with home regions is sent to entries of these alone,
and refused if none of them can serve it. ``policy.delegates`` chooses the entry,
``serving.forwarder`` decides when a request is delegated.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from boragestream.backend.cancellation import CancelScope
from boragestream.backend.failures import (
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    Ran,
)
from boragestream.backend.forwarded_call import (
    CallLine,
    OpenForwardedAnswer,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.events import Event, emit
from boragestream.base.failures import DeadlinePassed, EntryCutOff
from boragestream.base.outcomes import Failure
from boragestream.document.calls import AnswerHead, ForwardedRequest, RunClaim
from boragestream.document.routes import CallKind
from boragestream.policy.delegates import Delegates
from boragestream.policy.load import CallEnd
from boragestream.policy.peers import ListedEntry
from boragestream.policy.retry_window import RetryWindows
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server
from boragestream.serving.delegation_failures import DelegateFailed, DelegateRefused
from boragestream.serving.forwarded_answer import WholeAnswer
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.run_reports import split_run_reports

__all__ = [
    "CUT_OFF",
    "UNREACHED",
    "DelegatedAttempt",
    "Delegation",
    "DelegationParts",
    "EncodeDelegated",
]

# Why requests are delegated, for logs and metrics.
CUT_OFF = "cut off"
UNREACHED = "servers unreached"
# A request is delegated to at most this many entries in turn.
MAX_ENTRIES = 3
# Taken off the time left, so that the other entry answers before the caller gives up.
HOP_SECONDS = 0.005
SUCCESS = range(200, 300)
CLIENT_ERRORS = range(400, 500)


class EncodeDelegated(Protocol):
    """Encodes the head of a delegated request for the wire."""

    def __call__(
        self,
        request: ForwardedRequest,
        left_seconds: float,
        last_event: int | None,
        delegation: str,
    ) -> bytes:
        """Return the encoded head."""


@dataclass(frozen=True, slots=True)
class DelegationParts:
    """What all delegated requests of an entry share.

    :ivar line: carries the calls to other entries.
    :ivar prove: returns the proof for a request id and the number of attempts that may
        have run, see ``entry.delegation``.
    :ivar ended: called with each delegated request's reason and how it ended.
    :ivar resumes: returns whether an entry keeps streams of a service at the software
        version that began them, as entries of earlier releases do not.
    """

    delegates: Delegates
    line: CallLine
    encode: EncodeDelegated
    prove: Callable[[str, int], str]
    ended: Callable[[str, str], None] = lambda reason, end: None
    resumes: Callable[[ListedEntry, str], bool] = lambda entry, service: True


class DelegatedAttempt:
    """One request at another entry; it has the surface of ``ForwardAttempt``."""

    def __init__(
        self, parts: DelegationParts, run: ForwardedRun, entry: ListedEntry, reason: str
    ) -> None:
        self._parts = parts
        self._run = run
        self._entry = entry
        self._reason = reason
        self._scope: CancelScope = run.scope.child()
        self._answer: OpenForwardedAnswer | None = None
        self._is_open = True
        self._possible_runs = 0
        self._server = Server(entry.name, run.service, entry.host, entry.data_centre)
        parts.delegates.begin(entry.name)

    @property
    def server(self) -> Server:
        """The other entry, in the place of a server."""
        return self._server

    @property
    def head(self) -> AnswerHead:
        """The head of the answer; available after ``open`` has succeeded."""
        return self._answer.head

    @property
    def possible_runs(self) -> int:
        """The number of servers of the other entry that may have run the request.

        An entry that is lost may have made more attempts than it has stated.
        """
        return self._possible_runs

    @property
    def framed(self) -> bool:
        """Whether the body of the answer ends otherwise than with its connection."""
        return self._answer.framed

    def open(
        self, earlier_runs: int, last_event: int | None
    ) -> OpenForwardedAnswer | AttemptFailure:
        """Send the request; return the open answer or the failure.

        :param earlier_runs: the attempts that may have run.
        :param last_event: the number of the last event that the caller has.
        """
        run, parts = self._run, self._parts
        request = run.request
        emit(
            Event.REQUEST_DELEGATED,
            request=request.request_id,
            entry=self._entry.name,
            service=run.service,
            reason=self._reason,
            data_centre=self._entry.data_centre,
            homes=None if run.regions is None else sorted(run.regions),
        )

        def encode(left: float) -> bytes:
            run.sent.note_sending(self._entry.name, run.route.repeatable)
            proof = parts.prove(request.request_id, earlier_runs)
            seconds = max(0.0, left - HOP_SECONDS)
            return parts.encode(request, seconds, last_event, proof)

        call = OutgoingCall(
            request.method, request.request_id, encode, True, request.body
        )
        try:
            answer = open_forwarded_call(parts.line, self._server, call, self._scope)
        except BaseException:
            self.end(CallEnd.CANCELLED)
            raise
        if isinstance(answer, AttemptFailure):
            unreached = isinstance(answer, ConnectFailed)
            self.end(CallEnd.UNREACHED if unreached else CallEnd.CUT)
            if answer.ran is not Ran.NOT_SENT:
                self._possible_runs = 1
            return answer
        self._answer = answer
        if answer.head.claim is RunClaim.RAN:
            self._possible_runs = answer.head.runs
        return answer

    def refusal(self) -> DelegateRefused:
        """Return the failure for an answer that states that the request did not run."""
        head = self._answer.head
        self._run.sent.note_not_run(self._entry.name)
        return DelegateRefused(
            self._entry.name, head.status, head.backoff_seconds or 0.0
        )

    def failure(self) -> DelegateFailed:
        """Return the failure for an answer that is the other entry's own."""
        return DelegateFailed(self._entry.name, self._answer.head.status)

    def read(self) -> list[bytes] | AttemptFailure:
        """Read the whole body of the answer; return the failure if there is none."""
        return self._answer.read_blocks()

    def chunks(self) -> Iterator[bytes | AttemptFailure]:
        """Return the iterator over the answer's chunks."""
        return self._answer.parts()

    def without_reports(self, events: list[bytes]) -> list[bytes]:
        """Return the events without the reports of further attempts, which count."""
        events, runs = split_run_reports(events)
        self._possible_runs = max(self._possible_runs, runs)
        return events

    def note_first_event(self) -> None:
        """Do nothing: the other entry records the delays of its servers."""

    def end(self, end: CallEnd) -> None:
        """Record the end of the request there; a second call does nothing."""
        if not self._is_open:
            return
        self._is_open = False
        self._parts.delegates.end(self._entry.name, end is not CallEnd.UNREACHED)
        self._run.scope.close_child(self._scope)
        self._parts.ended(self._reason, end.name.lower())

    def close(self) -> None:
        """Close the answer and end the attempt as cancelled if it is still open."""
        if self._answer is not None:
            self._answer.close()
        self.end(CallEnd.CANCELLED)


class Delegation:
    """The delegation of one request to one or several other entries in turn.

    :param reach: what this entry knows of the services that it reaches.
    :param retries: bounds the repeats of requests that may have run.
    """

    def __init__(
        self,
        parts: DelegationParts | None,
        reach: ServerReach | None,
        run: ForwardedRun,
        retries: RetryWindows,
    ) -> None:
        self._parts = parts
        self._reach = reach
        self._run = run
        self._retries = retries
        self._tried: set[str] = set()
        self._attempts: list[DelegatedAttempt] = []
        self._failure: Failure | None = None

    @property
    def failure(self) -> Failure | None:
        """The last failure; None if no entry was asked or the last one answered."""
        return self._failure

    @property
    def possible_runs(self) -> int:
        """The number of servers of other entries that may have run the request."""
        return sum(attempt.possible_runs for attempt in self._attempts)

    def reason(self, fresh: bool, unreached: bool) -> str:
        """Return why the request should be served by another entry; empty if not.

        :param fresh: whether the request needs a new connection to a server.
        :param unreached: whether a server could not be reached for this request, and
            it may move to another entry before a cut is confirmed.
        """
        if self._reach is None:
            return ""
        service = self._run.service
        if self._reach.is_cut_off(service, fresh):
            return CUT_OFF
        suspect = unreached and self._reach.is_suspect(service)
        # Until a check has confirmed the cut, one other entry is tried.
        if not suspect or self._tried or self._run.delegated_by or self._parts is None:
            return ""
        return UNREACHED if self._choose() else ""

    def outcomes(
        self, reason: str, earlier_runs: int, last_event: Callable[[], int | None]
    ) -> Iterator[WholeAnswer | DelegatedAttempt]:
        """Yield the outcome at each other entry that is asked.

        A stream is yielded as its attempt. The consumer resumes the iteration if the
        stream breaks and may be resumed, or if an answer is not to be delivered.

        :param reason: see ``reason``.
        :param earlier_runs: the attempts of this entry that may have run.
        :param last_event: returns the number of the last event that the caller has.
        """
        run, service = self._run, self._run.service
        most = MAX_ENTRIES if reason == CUT_OFF else 1
        while True:
            entry = None
            if self._parts is not None and not run.delegated_by:
                entry = self._choose()
            if (
                entry is None
                or len(self._tried) >= most
                or run.scope.reason is not None
            ):
                self._failure = self._failure or EntryCutOff(service)
                return
            self._tried.add(entry.name)
            resumed = last_event() is not None or run.request.takes_up_stream
            if resumed and not self._parts.resumes(entry, service):
                continue
            attempt = DelegatedAttempt(self._parts, run, entry, reason)
            runs = earlier_runs + self.possible_runs
            self._attempts.append(attempt)
            answer = attempt.open(runs, last_event())
            if isinstance(answer, AttemptFailure):
                cancelled = isinstance(answer, AttemptCancelled)
                self._failure = answer.reason if cancelled else answer
                if cancelled:
                    return
                if attempt.possible_runs and not self._may_repeat():
                    return
                continue
            outcome = self._outcome(attempt)
            if outcome is not None:
                # The consumer decides whether the request may be repeated.
                yield outcome
            elif attempt.possible_runs and not self._may_repeat():
                return
            if self.possible_runs and not run.route.repeatable:
                return

    def _choose(self) -> ListedEntry | None:
        """Return the next entry to ask; None if the request may be sent to none."""
        run = self._run
        return self._parts.delegates.choose(run.service, self._tried, run.regions)

    def _may_repeat(self) -> bool:
        """Return whether a request may be repeated that may have run elsewhere."""
        route = self._run.route
        if not route.repeatable or self.possible_runs >= route.attempts:
            return False
        return self._retries.spend(self._run.service)

    def _outcome(
        self, attempt: DelegatedAttempt
    ) -> WholeAnswer | DelegatedAttempt | None:
        """Return what to deliver of an answer; None after a failure."""
        head = attempt.head
        self._failure = None
        stream = self._run.route.kind is CallKind.STREAM
        if stream and head.sealed and head.status in SUCCESS:
            return attempt
        body = attempt.read()
        attempt.end(CallEnd.ANSWERED if isinstance(body, list) else CallEnd.CUT)
        if head.claim is not RunClaim.RAN:
            self._failure = attempt.refusal()
            return None
        if isinstance(body, Failure):
            cancelled = isinstance(body, AttemptCancelled)
            self._failure = body.reason if cancelled else body
            return None
        if head.sealed or head.status in CLIENT_ERRORS:
            return WholeAnswer(head, body)
        timed_out = head.status == HTTPStatus.GATEWAY_TIMEOUT
        late = DeadlinePassed("at another entry")
        self._failure = late if timed_out else attempt.failure()
        return None
