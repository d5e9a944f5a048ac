"""Has another entry serve a request when this one reaches none of its servers.

The other entry runs the whole pipeline like that of any caller, for the client account
that this entry names, and does not delegate it again. If its answer is lost, the
request may have run there. ``policy.delegates`` chooses the entry.
"""

import http.client
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec

from boragestream.backend.bounded_io import (
    join_blocks,
    read_bounded,
    wait_for_bytes,
)
from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.answer_reader import AnswerReader
from boragestream.base.clock import Clock
from boragestream.base.event_buffer import EventBuffer
from boragestream.base.events import Event, emit
from boragestream.base.failures import (
    DeadlinePassed,
    EntryCutOff,
    MemoryExhausted,
)
from boragestream.base.liveness import detect_dead_peer
from boragestream.base.nesting import TooDeep, decode_bounded, decoded_bytes
from boragestream.base.outcomes import Failure
from boragestream.entry.delegation import prove_delegation, verify_delegation
from boragestream.policy.delegates import Delegates
from boragestream.policy.peers import ListedEntry
from boragestream.policy.server_reach import ServerReach
from boragestream.serving.delegation import CUT_OFF, MAX_ENTRIES, UNREACHED
from boragestream.serving.delegation_failures import DelegateFailed, DelegateRefused
from boragestream.serving.request import RequestRecord

__all__ = ["DelegatedCalls", "DelegatedStream", "Delegation", "read_delegation"]

PROOF_HEADER = "Boragestream-Delegation"
ACCOUNT_HEADER = "X-Account"
READ_BYTES = 65536
END_EVENT = b"event: end\n"
ERROR_EVENT = b"event: error\n"


class _Problem(msgspec.Struct):
    """What this entry reads of another one's problem document."""

    outcome: str
    retry_after_ms: int | None = None


class _Reply(msgspec.Struct):
    """What this entry reads of another one's answer."""

    result: Any


_problems = msgspec.json.Decoder(_Problem)
_replies = msgspec.json.Decoder(_Reply)


@dataclass(frozen=True, slots=True)
class Delegation:
    """A request that another entry has sent.

    :ivar entry: the entry that sent it.
    :ivar account: the client account for which it runs.
    :ivar request_id: its id at that entry.
    """

    entry: str
    account: str
    request_id: str


def read_delegation(
    environ: dict[str, Any], keys: Sequence[bytes]
) -> Delegation | None:
    """Return who delegated a request; None if a caller sent it.

    :param keys: the peer keys that are accepted.
    """
    proof = environ.get("HTTP_BORAGESTREAM_DELEGATION")
    if proof is None:
        return None
    account = environ.get("HTTP_X_ACCOUNT", "")
    request_id = environ.get("HTTP_X_REQUEST_ID", "")
    for key in keys:
        by = verify_delegation(key, proof, f"{request_id} {account}")
        if by.entry:
            return Delegation(by.entry, account, request_id)
    return None


class DelegatedStream:
    """The events of a stream that another entry serves, relayed as they arrive.

    Only whole events are relayed, so that an event may follow where the stream is cut.
    """

    def __init__(self, response: AnswerReader, close: Callable[[], None]):
        self._response = response
        self._close = close
        self._buffer = EventBuffer()
        self._last = b""

    @property
    def whole(self) -> bool:
        """Whether the event that ends a whole stream has been relayed."""
        return self._last.startswith(END_EVENT)

    @property
    def failed(self) -> bool:
        """Whether the other entry ended the stream with an error."""
        return self._last.startswith(ERROR_EVENT)

    def chunks(self) -> Iterator[bytes]:
        """Yield the events as they arrive; they end early if the entry is lost."""
        try:
            while data := self._response.read1(READ_BYTES):
                events = self._buffer.take(data)
                if events:
                    self._last = events[-1]
                    yield b"".join(events)
        except (OSError, http.client.HTTPException, ValueError):
            return

    def close(self) -> None:
        """Close the connection, which cancels the request at the other entry."""
        self._close()


@dataclass(frozen=True, slots=True)
class DelegatedCalls:
    """Delegates requests of this entry's callers.

    :ivar own: this entry's name.
    :ivar key: the deployment's peer key.
    """

    own: str
    key: bytes
    delegates: Delegates
    reach: ServerReach
    connections: ConnectionKeeper
    clock: Clock

    def reason_before(self, request: RequestRecord) -> str:
        """Return why a request should not be tried here; empty if it should."""
        return CUT_OFF if self._cut_service(request) else ""

    def reason_after(self, request: RequestRecord, result: Any | Failure) -> str:
        """Return why a request that failed here should be delegated; empty if not."""
        sent = request.sent
        if not isinstance(result, Failure) or sent.unrepeatable_may_have_run:
            return ""
        if request.delegated_by or request.scope.reason is not None:
            return ""
        if isinstance(result, EntryCutOff) or self._cut_service(request):
            return CUT_OFF
        if sent.may_have_run:
            return ""
        services = {stage.service for stage in request.pipeline.stages}
        suspect = any(self.reach.is_suspect(service) for service in services)
        return UNREACHED if suspect else ""

    def run(self, request: RequestRecord, reason: str) -> Any | Failure:
        """Have another entry run a request; return the result or the failure."""
        answer = self._open(request, reason, stream=False)
        if isinstance(answer, Failure):
            return answer
        response, close = answer
        held, scope = request.scope.held, request.scope
        try:
            blocks = read_bounded(response, "entry", held.budget, scope)
            if isinstance(blocks, Failure):
                return blocks
            body = join_blocks(blocks)
            size = decoded_bytes(body)
            if not wait_for_bytes(held, size, scope):
                return scope.reason or MemoryExhausted(size, held.budget.limit)
            return decode_bounded(body, _replies).result
        except (
            OSError,
            http.client.HTTPException,
            msgspec.DecodeError,
            TooDeep,
        ) as error:
            return request.scope.reason or DelegateFailed(type(error).__name__, 0)
        finally:
            close()

    def open_stream(
        self, request: RequestRecord, reason: str
    ) -> DelegatedStream | Failure:
        """Have another entry stream the answer to a request."""
        answer = self._open(request, reason, stream=True)
        if isinstance(answer, Failure):
            return answer
        return DelegatedStream(*answer)

    def _cut_service(self, request: RequestRecord) -> str:
        cut = self.reach.cut_services
        services = (stage.service for stage in request.pipeline.stages)
        return next((service for service in services if service in cut), "")

    def _open(
        self, request: RequestRecord, reason: str, stream: bool
    ) -> tuple[AnswerReader, Callable[[], None]] | Failure:
        """Return the answer of the first entry that serves the request."""
        service = self._cut_service(request) or request.pipeline.stages[0].service
        failure: Failure = EntryCutOff(service)
        tried: set[str] = set()
        if request.delegated_by:
            return failure
        for _ in range(MAX_ENTRIES if reason == CUT_OFF else 1):
            # Pipelines of this interface have no home regions.
            entry = self.delegates.choose(service, tried, homes=None)
            if entry is None or request.scope.reason is not None:
                break
            tried.add(entry.name)
            emit(
                Event.REQUEST_DELEGATED,
                request=request.request_id,
                entry=entry.name,
                service=service,
                reason=reason,
            )
            answer = self._ask(request, entry, stream)
            if not isinstance(answer, Failure):
                return answer
            failure = answer
            if request.sent.delegation_may_have_run:
                break
        return request.scope.reason or failure

    def _ask(
        self, request: RequestRecord, entry: ListedEntry, stream: bool
    ) -> tuple[AnswerReader, Callable[[], None]] | Failure:
        scope = request.scope
        left = scope.deadline - self.clock.now()
        if left <= 0:
            return DeadlinePassed("delegation")
        self.delegates.begin(entry.name)
        try:
            connection = self.connections.connect(entry.host, left)
        except OSError:
            self.delegates.end(entry.name, reached=False)
            return DelegateFailed(entry.name, 0)
        sock = connection.sock
        detect_dead_peer(sock)
        scope.add(sock)

        def close() -> None:
            scope.remove(sock)
            connection.close()
            self.delegates.end(entry.name, reached=True)

        repeatable = all(stage.repeatable for stage in request.pipeline.stages)
        request.sent.begin_delegation(repeatable)
        try:
            sock.settimeout(left)
            connection.request(
                "POST",
                f"/v1/pipelines/{request.pipeline.name}",
                msgspec.json.encode({"input": request.body}),
                self._headers(request, left, stream),
            )
            response = connection.getresponse()
            if response.status == HTTPStatus.OK:
                # The socket belongs to the response from now on.
                return response, close
            failure = self._failure(request, entry, response)
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            failure = scope.reason or DelegateFailed(entry.name, 0)
        close()
        return failure

    def _headers(
        self, request: RequestRecord, left: float, stream: bool
    ) -> dict[str, str]:
        account = request.account.name
        proof = prove_delegation(self.key, self.own, f"{request.request_id} {account}")
        return {
            "Content-Type": "application/json",
            "Accept": "text/event-stream" if stream else "application/json",
            "X-Deadline-Ms": str(max(1, int(left * 1000))),
            "X-Request-Id": request.request_id,
            ACCOUNT_HEADER: account,
            PROOF_HEADER: proof,
        }

    @staticmethod
    def _failure(
        request: RequestRecord, entry: ListedEntry, response: AnswerReader
    ) -> Failure:
        problem = _problems.decode(response.read())
        if problem.outcome == "refused":
            request.sent.end_delegation()
            seconds = (problem.retry_after_ms or 0) / 1000
            return DelegateRefused(entry.name, response.status, seconds)
        if response.status == HTTPStatus.GATEWAY_TIMEOUT:
            return DeadlinePassed("at another entry")
        return DelegateFailed(entry.name, response.status)
