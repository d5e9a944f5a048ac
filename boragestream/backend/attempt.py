"""One attempt of a call on one backend server.

An answer counts only when it is whole, in time and echoes the attempt's own ids.
Whatever else comes back is a typed failure that says whether the server may have run
the call. Nothing is retried here.
"""

import http.client
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from boragestream.backend.calls import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    Completion,
    StageCall,
)
from boragestream.backend.cancellation import CancelScope
from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.clock import Clock
from boragestream.base.failures import DeadlinePassed
from boragestream.base.outcomes import Failure

__all__ = [
    "AnswerCrossed",
    "AnswerCut",
    "AttemptCancelled",
    "AttemptFailure",
    "ConnectFailed",
    "OpenAnswer",
    "Ran",
    "ServerErred",
    "ServerRefused",
    "open_attempt",
]

END_MARK = b"[DONE]"
DATA_PREFIX = b"data:"
MAX_ANSWER_BYTES = 8 * 1_048_576
READ_BYTES = 65536
KERNEL_TIMEVAL = struct.Struct("ll")
WATCHDOG_MARGIN_SECONDS = 2.0


class Ran(Enum):
    """Whether a server may have run a call."""

    NOT_SENT = "no byte of the call was sent"
    NOT_RUN = "the server says that it did not run the call"
    MAY_HAVE_RUN = "the call was sent and not answered whole"


@dataclass(frozen=True, slots=True)
class AttemptFailure(Failure):
    """The base of what can go wrong with an attempt.

    :ivar server: the server's name.
    :ivar ran: whether the server may have run the call.
    """

    server: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class ConnectFailed(AttemptFailure):
    """The server could not be reached."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerRefused(AttemptFailure):
    """The server says that it did not run the call.

    :ivar status: the HTTP status.
    :ivar leaving: whether the server says that it is leaving.
    """

    status: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class ServerErred(AttemptFailure):
    """The server answered with an error status."""

    status: int


@dataclass(frozen=True, slots=True)
class AnswerCut(AttemptFailure):
    """The answer ended before its end mark, or could not be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerCrossed(AttemptFailure):
    """The answer echoes the ids of another call and was discarded."""

    echoed: str


@dataclass(frozen=True, slots=True)
class AttemptCancelled(AttemptFailure):
    """The attempt was cancelled.

    :ivar reason: why.
    """

    reason: Failure


class OpenAnswer:
    """An answer whose headers are there and belong to the attempt.

    ``read`` or ``tokens`` is called once; then the connection is kept or closed.
    """

    def __init__(
        self,
        host: str,
        server: str,
        attempt_id: str,
        connection: http.client.HTTPConnection,
        sock: socket.socket,
        response: http.client.HTTPResponse,
        connections: ConnectionKeeper,
        scope: CancelScope,
    ) -> None:
        self._host = host
        self._server = server
        self._attempt_id = attempt_id
        self._connection = connection
        self._sock = sock
        self._response = response
        self._connections = connections
        self._scope = scope
        self._ended: Callable[[bool], None] | None = None
        self._open = True

    @property
    def server(self) -> str:
        """The name of the server that answers."""
        return self._server

    @property
    def headers(self) -> http.client.HTTPMessage:
        """The answer's headers."""
        return self._response.headers

    def when_ended(self, ended: Callable[[bool], None]) -> None:
        """Have a function called once at the end; it is told whether it is whole."""
        self._ended = ended

    def read(self) -> Any | AttemptFailure:
        """Read the whole answer: its JSON data, or why there is none."""
        response = self._response
        if response.length is None and not response.chunked:
            return self._end(AnswerCut(*self._may_have_run(), "no length"))
        try:
            body = response.read()
            data = msgspec.json.decode(body)
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            return self._end(self._broken(error))
        return self._end(data)

    def tokens(self) -> Iterator[Completion | AttemptFailure]:
        """Yield each part of a streamed answer; a failure is the last item."""
        rest = b""
        self._wait_in_kernel()
        try:
            while True:
                data = self._response.read1(READ_BYTES)
                if not data:
                    yield self._end(AnswerCut(*self._may_have_run(), "no end mark"))
                    return
                *events, rest = (rest + data).split(b"\n\n")
                for event in events:
                    payload = event.removeprefix(DATA_PREFIX).strip()
                    if payload == END_MARK:
                        self._end(self._read_to_end())
                        return
                    part = msgspec.json.decode(payload, type=Completion)
                    if part.id != self._attempt_id:
                        crossed = AnswerCrossed(*self._may_have_run(), part.id)
                        yield self._end(crossed)
                        return
                    yield part
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            yield self._end(self._broken(error))

    def close(self) -> None:
        """Drop the answer and its connection; does nothing after the end.

        A whole answer has handed its connection back, and another call may be using
        it by now.
        """
        if not self._open:
            return
        self._open = False
        self._scope.remove(self._sock)
        self._response.close()
        self._connection.close()
        self._call_ended(whole=False)

    def _wait_in_kernel(self) -> None:
        """Have the kernel wait for each part, which saves a poll before each read.

        At the deadline the watchdog shuts the socket down; the kernel's own limit is
        there in case it does not.
        """
        left = self._sock.gettimeout() or 0.0
        limit = KERNEL_TIMEVAL.pack(int(left + WATCHDOG_MARGIN_SECONDS), 0)
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)

    def _read_to_end(self) -> AttemptFailure | None:
        """Take what follows the end mark, so that the connection can be kept."""
        if self._response.read(1):
            return AnswerCut(*self._may_have_run(), "bytes after the end mark")
        return None

    def _end(self, result: Any) -> Any:
        """Keep the connection after a whole answer and close it after any other."""
        whole = not isinstance(result, AttemptFailure) and self._scope.reason is None
        # http.client drops its socket where the server closes the connection.
        reusable = self._connection.sock is not None and self._response.isclosed()
        if not (whole and reusable):
            self._call_ended(whole)
            self.close()
            return result
        self._open = False
        self._scope.remove(self._sock)
        self._connections.keep(self._host, self._connection)
        self._call_ended(whole)
        return result

    def _call_ended(self, whole: bool) -> None:
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(whole)

    def _may_have_run(self) -> tuple[str, Ran]:
        return self._server, Ran.MAY_HAVE_RUN

    def _broken(self, error: Exception) -> AttemptFailure:
        return _broken(self._server, self._scope, error)


def open_attempt(
    call: StageCall,
    server: str,
    host: str,
    attempt_id: str,
    connections: ConnectionKeeper,
    scope: CancelScope,
    clock: Clock,
    sending: Callable[[], None],
) -> OpenAnswer | AttemptFailure:
    """Send a call and wait for the headers of its answer.

    :param call: what to send.
    :param server: the server's name, for failures.
    :param host: the server's ``address:port``.
    :param attempt_id: an id that no other attempt has.
    :param scope: cancels the attempt; its deadline is the attempt's.
    :param sending: called directly before the first byte is sent.
    :returns: the open answer, or a failure that says whether the call may have run.
    """
    connection = connections.take(host) if call.repeatable else None
    if connection is None:
        try:
            connection = connections.connect(host, scope.deadline - clock.now())
        except OSError as error:
            return ConnectFailed(server, Ran.NOT_SENT, repr(error))
    sock = connection.sock
    scope.add(sock)
    # The time is read after the connect and directly before the send, so that a
    # process that was paused in between does not send what has expired.
    left = scope.deadline - clock.now()
    if left <= 0 or scope.reason is not None:
        scope.remove(sock)
        connection.close()
        reason = scope.reason or DeadlinePassed("send")
        return AttemptCancelled(server, Ran.NOT_SENT, reason)
    try:
        sock.settimeout(left)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = _headers(call, attempt_id, left)
        sending()
        connection.request("POST", call.path, call.body, headers)
        response = connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        failure = _broken(server, scope, error)
        scope.remove(sock)
        connection.close()
        return failure
    failure = _check_head(call, server, attempt_id, response)
    if failure is not None:
        scope.remove(sock)
        connection.close()
        return failure
    return OpenAnswer(
        host, server, attempt_id, connection, sock, response, connections, scope
    )


def _headers(call: StageCall, attempt_id: str, left: float) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        REQUEST_HEADER: call.request_id,
        ATTEMPT_HEADER: attempt_id,
        DEADLINE_HEADER: str(int(left * 1000)),
        PRIORITY_HEADER: str(call.priority),
    }


def _check_head(
    call: StageCall, server: str, attempt_id: str, response: http.client.HTTPResponse
) -> AttemptFailure | None:
    echoed_request = response.headers.get(REQUEST_HEADER, "")
    echoed_attempt = response.headers.get(ATTEMPT_HEADER, "")
    own = (echoed_request, echoed_attempt) == (call.request_id, attempt_id)
    not_run = response.headers.get(NOT_RUN_HEADER)
    # A server's word that it did not run the call counts only where it speaks of
    # this attempt; a crossed one would be an untrue "not run".
    if own and not_run is not None:
        leaving = not_run == "leaving"
        return ServerRefused(server, Ran.NOT_RUN, response.status, leaving)
    if response.status != http.HTTPStatus.OK:
        return ServerErred(server, Ran.MAY_HAVE_RUN, response.status)
    if not own:
        echoed = f"{echoed_request} {echoed_attempt}"
        return AnswerCrossed(server, Ran.MAY_HAVE_RUN, echoed)
    return None


def _broken(server: str, scope: CancelScope, error: Exception) -> AttemptFailure:
    if scope.reason is not None:
        return AttemptCancelled(server, Ran.MAY_HAVE_RUN, scope.reason)
    if isinstance(error, TimeoutError):
        passed = DeadlinePassed("answer")
        return AttemptCancelled(server, Ran.MAY_HAVE_RUN, passed)
    return AnswerCut(server, Ran.MAY_HAVE_RUN, repr(error))
