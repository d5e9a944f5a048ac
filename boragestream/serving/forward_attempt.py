"""One attempt of a forwarded request at one server, with its accounting.

``serving.forwarder`` decides whether another attempt follows.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from boragestream.backend.failures import (
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    PlacesTaken,
    Ran,
    ServerBackedOff,
    ServerCold,
    ServerLeft,
    ServerLimited,
)
from boragestream.backend.forwarded_call import (
    CallLine,
    OpenForwardedAnswer,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import Clock
from boragestream.base.failures import EntryCutOff
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import AnswerHead, CallHead, ForwardedRequest
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.outstanding import OutstandingWork
from boragestream.policy.oversized_answers import OversizedAnswers
from boragestream.policy.prompt_parts import PartCrashes
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.region_choice import RegionChoice
from boragestream.policy.retry_window import RetryWindows
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import ServerChoice
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.service_shares import ServiceShares
from boragestream.serving.call_gate import work_refusal
from boragestream.serving.delegation import DelegationParts
from boragestream.serving.ejections import log_ejection
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.limited_servers import LimitedServers, PermittedServer
from boragestream.serving.request_guard import RequestGuard
from boragestream.serving.seated_servers import SeatedServers
from boragestream.serving.stage_pieces import StagePieces
from boragestream.serving.stream_origin import OriginRecords, PromptCaches

__all__ = ["EncodeCall", "ForwardAttempt", "ForwardParts"]

LOWEST_PRIORITY = 9


class EncodeCall(Protocol):
    """Encodes the head of a call for the wire."""

    def __call__(self, request: ForwardedRequest, call: CallHead, host: str) -> bytes:
        """Return the encoded head."""


@dataclass(frozen=True, slots=True)
class ForwardParts:
    """The parts of the entry that forwarding uses.

    :ivar cold: tracks the servers that have just started.
    :ivar backoffs: tracks the servers that asked this entry to back off.
    :ivar limited: grants permits to call servers with a request limit.
    :ivar quarantine: tracks the requests that crash servers.
    :ivar regions: chooses the region of a request's server.
    :ivar engine_delays: estimates the time to the first event of an engine's stream.
    :ivar list_age: returns the seconds since the server list was last confirmed.
    :ivar shares: divides a shortage of servers between client accounts; None to treat
        all requests alike.
    :ivar outstanding: bounds the work at servers that crash under it; None to set no
        bound.
    :ivar seated: obtains seats at brittle servers; None if none is known as such.
    :ivar delegation: what delegates requests to other entries; None for no delegation.
    :ivar other_servers: returns some servers other than the one given.
    :ivar origins: the records of where streams began; None to let each stream go on at
        any server.
    :ivar prompt_caches: what engines have cached; None to ask none.
    :ivar part_crashes: the parts of prompts that crash servers; None to count none.
    :ivar oversized: the servers whose answers went beyond a bound; None to avoid none.
    """

    line: CallLine
    encode: EncodeCall
    servers: ServerTable
    cold: ColdServers
    backoffs: ServerBackoffs
    limited: LimitedServers
    quarantine: Quarantine
    loads: LoadTable
    choice: ServerChoice
    regions: RegionChoice
    retries: RetryWindows
    stages: StagePieces
    engine_delays: EngineDelays
    clock: Clock
    rng: random.Random
    metrics: RouteMetrics
    list_age: Callable[[], float]
    shares: ServiceShares | None = None
    outstanding: OutstandingWork | None = None
    seated: SeatedServers | None = None
    delegation: DelegationParts | None = None
    other_servers: Callable[[Server], Sequence[Server]] = lambda server: ()
    origins: OriginRecords | None = None
    prompt_caches: PromptCaches | None = None
    part_crashes: PartCrashes | None = None
    oversized: OversizedAnswers | None = None


class ForwardAttempt:
    """One attempt at one server, with its accounting.

    :param guard: checks the request's quarantine before it is sent.
    """

    def __init__(
        self,
        parts: ForwardParts,
        run: ForwardedRun,
        guard: RequestGuard,
        chosen: PermittedServer,
    ) -> None:
        self._guard = guard
        self._server = server = chosen.server
        self._permit, self._seat = chosen.permit, chosen.seat
        self._parts = parts
        self._run = run
        self._started_at = parts.clock.now()
        self._load_call = parts.loads.begin(server)
        parts.choice.open_calls.begin(server)
        self._region_call = parts.regions.calls.begin(server)
        self._outstanding = None
        if parts.outstanding is not None:
            work = run.work_size
            self._outstanding = parts.outstanding.begin(server, run.fingerprint, work)
        self._scope = run.scope.child()
        self._was_sent = False
        self._answer: OpenForwardedAnswer | None = None
        self._is_open = True
        self._first_seconds: float | None = None
        self._chunk_iterator: Iterator[bytes | AttemptFailure] | None = None

    @property
    def server(self) -> Server:
        """The server to which the attempt is sent."""
        return self._server

    @property
    def head(self) -> AnswerHead:
        """The head of the server's answer; available after ``open`` has succeeded."""
        return self._answer.head

    @property
    def framed(self) -> bool:
        """Whether the body of the answer ends otherwise than with its connection."""
        return self._answer.framed

    def open(
        self, inputs: tuple[str, ...], last_event: int | None, repeat: bool
    ) -> OpenForwardedAnswer | AttemptFailure:
        """Send the request; return the open answer or the failure.

        :param inputs: the handles of the stage results that the server reads.
        :param last_event: the number of the last event that the caller has.
        :param repeat: whether the request may have run already. A repeat is sent on a
            new connection, since the fault of the first attempt, such as a late extra
            answer, may also affect other pooled connections.
        """
        run, server = self._run, self._server
        request = run.request

        def encode(left: float) -> bytes | AttemptFailure:
            parts = self._parts
            refusal = work_refusal(parts, server, self._permit, parts.cold)
            if refusal is not None:
                return refusal
            quarantined = self._guard.check_before_send()
            if quarantined is not None:
                return AttemptCancelled(server.name, Ran.NOT_SENT, quarantined)
            if self._seat is None and self._needs_seat():
                return PlacesTaken(server.name, Ran.NOT_SENT)
            self._was_sent = True
            run.sent.note_sending(server.name, run.route.repeatable)
            call = CallHead(
                server_id=server.name,
                left_seconds=left,
                account=run.account,
                priority=self._priority(),
                last_event=last_event,
                inputs=inputs,
            )
            head = self._parts.encode(request, call, request.host_header)
            self._region_call.note_sent(len(head) + len(request.body))
            return head

        fresh = repeat or not run.route.repeatable
        abandon = self._abandon if run.route.repeatable else None
        call = OutgoingCall(
            request.method, request.request_id, encode, fresh, request.body, abandon
        )
        try:
            answer = self._cut_off(fresh) or open_forwarded_call(
                self._parts.line, server, call, self._scope
            )
        except BaseException:
            self.end(CallEnd.CANCELLED)
            raise
        if isinstance(answer, AttemptFailure):
            self.end(_call_end(answer))
            if answer.ran is Ran.NOT_SENT and self._permit is not None:
                self._parts.limited.permits.release(self._permit)
            return answer
        self._answer = answer
        self._region_call.note_received(_head_size(answer.head))
        return answer

    def _needs_seat(self) -> bool:
        seated = self._parts.seated
        return seated is not None and seated.is_brittle(self._server.service)

    def _cut_off(self, fresh: bool) -> AttemptCancelled | None:
        """Return why the call can't be sent if this entry reaches no server.

        The request may have waited for long, for its stages or a permit, since it was
        decided that this entry serves it.
        """
        reach, service = self._parts.line.reach, self._run.service
        if reach is None or not reach.is_cut_off(service, fresh):
            return None
        return AttemptCancelled(self._server.name, Ran.NOT_SENT, EntryCutOff(service))

    def _abandon(self) -> None:
        """Cancel the call because this entry does not reach its server any more."""
        self._scope.cancel(EntryCutOff(self._run.service))

    def _priority(self) -> int | None:
        service = self._run.table.services.get(self._run.service)
        engine = service is not None and service.engine is not None
        return min(self._run.priority, LOWEST_PRIORITY) if engine else None

    def read(self) -> list[bytes] | AttemptFailure:
        """Read the whole body of the answer; return the failure if there is none."""
        blocks = self._answer.read_blocks()
        if isinstance(blocks, list):
            self._region_call.note_received(sum(map(len, blocks)))
        return blocks

    def chunks(self) -> Iterator[bytes | AttemptFailure]:
        """Return the iterator over the answer's chunks; it is created once."""
        if self._chunk_iterator is None:
            region = self._region_call.region
            parts = self._counted_chunks() if region else self._answer.parts()
            self._chunk_iterator = parts
        return self._chunk_iterator

    def _counted_chunks(self) -> Iterator[bytes | AttemptFailure]:
        for chunk in self._answer.parts():
            if isinstance(chunk, bytes):
                self._region_call.note_received(len(chunk))
            yield chunk

    def note_first_event(self) -> None:
        """Record the delay of the stream's first event; later calls do nothing."""
        if self._first_seconds is None:
            self._region_call.note_answer()
            self._first_seconds = self._parts.clock.now() - self._started_at
            kind = self._run.route.name
            self._parts.engine_delays.note(kind, self._first_seconds)
            self._parts.loads.end(
                self._server,
                self._load_call,
                CallEnd.ANSWERED,
                self._first_seconds,
                kind,
            )

    def end(self, end: CallEnd) -> None:
        """Remove the attempt from the open calls; a second call does nothing."""
        if not self._is_open:
            return
        self._is_open = False
        parts = self._parts
        parts.choice.open_calls.end(self._server)
        if self._seat is not None:
            rejected = end is CallEnd.REFUSED
            cut = end in (CallEnd.CUT, CallEnd.CANCELLED) and self._was_sent
            parts.seated.seats.release(self._seat, rejected, cut)
        if end is CallEnd.ANSWERED:
            self._region_call.note_answer()
        elif end in (CallEnd.REFUSED, CallEnd.UNREACHED):
            self._region_call.note_refused()
        self._region_call.end()
        if self._outstanding is not None:
            parts.outstanding.end(self._outstanding, end is CallEnd.CUT)
        self._run.scope.close_child(self._scope)
        if self._first_seconds is None or end is not CallEnd.ANSWERED:
            seconds = parts.clock.now() - self._started_at
            kind = self._run.route.name
            parts.loads.end(self._server, self._load_call, end, seconds, kind)
            if end is CallEnd.ANSWERED:
                self._first_seconds = seconds
            elif end is not CallEnd.CANCELLED:
                log_ejection(parts.loads, self._server, parts.clock.now())
        service, first_seconds = self._run.service, self._first_seconds
        parts.metrics.attempt_ended(service, end.name.lower(), first_seconds)

    def close(self) -> None:
        """Close the answer and end the attempt as cancelled if it is still open."""
        if self._answer is not None:
            self._answer.close()
        self.end(CallEnd.CANCELLED)


def _head_size(head: AnswerHead) -> int:
    """Return the approximate size of an answer's head in bytes."""
    # Each line has a separator and an end of two bytes each.
    return sum(len(name) + len(value) + 4 for name, value in head.headers)


def _call_end(failure: AttemptFailure) -> CallEnd:
    if isinstance(
        failure,
        AttemptCancelled
        | PlacesTaken
        | ServerBackedOff
        | ServerCold
        | ServerLeft
        | ServerLimited,
    ):
        return CallEnd.CANCELLED
    if isinstance(failure, ConnectFailed):
        return CallEnd.UNREACHED
    return CallEnd.CUT
