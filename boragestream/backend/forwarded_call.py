"""One forwarded call to a backend server: sent byte for byte, answered byte for byte.

An answer counts only when it is whole and belongs to the call. What the headers mean
is decoded by the ``ReadHead`` that the daemon hands in. Whether a call is sent again
is left to ``serving``.
"""

import http.client
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from boragestream.backend.answer import broken
from boragestream.backend.bounded_io import read_bounded, send_bounded
from boragestream.backend.cancellation import CancelScope
from boragestream.backend.connections import ConnectionKeeper, is_unreachable
from boragestream.backend.failures import (
    AnswerCrossed,
    AnswerTooLarge,
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    Ran,
)
from boragestream.base.answer_reader import AnswerReader
from boragestream.base.clock import Clock
from boragestream.base.failures import DeadlinePassed
from boragestream.base.liveness import detect_dead_peer
from boragestream.base.memory_budget import MemoryBudget
from boragestream.document.calls import AnswerHead
from boragestream.policy.server_reach import OpenServerCall, ServerReach
from boragestream.policy.servers import Server

__all__ = [
    "CallLine",
    "NoteHead",
    "NoteOversized",
    "OpenForwardedAnswer",
    "OutgoingCall",
    "open_forwarded_call",
]

# A call up to this size is sent as one piece of memory, and mostly as one packet.
JOINED_BYTES = 65_536
# Part of a stream that is read at once, and charged only then.
READ_BYTES = 16_384
# A kept connection is used only well before its server closes it.
IDLE_MARGIN_SECONDS = 1.0
WATCHDOG_MARGIN_SECONDS = 1.0
LONGEST_IDLE_SECONDS = 3.0


class ReadHead(Protocol):
    """Decodes the head of an answer."""

    def __call__(self, response: AnswerReader) -> AnswerHead:
        """Return the head as a record."""


# Takes the head of a server's answer, and when its call was sent.
NoteHead = Callable[[Server, AnswerHead, float], None]
# Takes a server and the bound that its answer went beyond.
NoteOversized = Callable[[Server, str], None]


@dataclass(frozen=True, slots=True)
class CallLine:
    """What all forwarded calls of an entry share.

    :ivar note_head: takes each answer's head as soon as it is there, since a server
        also speaks of itself with it; and when its call was sent, in the clock's
        seconds.
    :ivar most_idle: returns how many idle connections are kept to each server of a
        service.
    :ivar memory: grants the bytes of whole answers; None where memory is not bounded.
        If it is there, a call that a server does not read is given up.
    :ivar reach: records which servers answer; None where that is not recorded.
    :ivar note_oversized: takes the server and the bound of an answer that went beyond
        it.
    """

    read_head: ReadHead
    connections: ConnectionKeeper
    clock: Clock
    most_idle: Callable[[str], int]
    note_head: NoteHead = lambda server, head, sent_at: None
    memory: MemoryBudget | None = None
    reach: ServerReach | None = None
    note_oversized: NoteOversized = lambda server, bound: None

    def failure(
        self, server: Server, scope: CancelScope, error: Exception
    ) -> AttemptFailure:
        """Return the failure that an error in the middle of a call stands for."""
        failure = broken(server.name, scope, error)
        if isinstance(failure, AnswerTooLarge):
            self.note_oversized(server, failure.limit)
        return failure


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call that is about to be sent.

    :ivar request_id: the id that its answer must carry if it carries any.
    :ivar encode: makes the bytes right before they are sent, given the seconds that are
        left; a failure where the call may not be sent any more.
    :ivar body: is sent after them, and is not copied if it is large.
    :ivar fresh: whether only a new connection may be used, since the call may not be
        repeated where a kept one turns out to be closed.
    :ivar abandon: cancels the call if its server turns out to be unreachable from this
        entry; None if it may not be sent again.
    :ivar kept: whether its connection may be kept for another call; False if nothing in
        an answer says which call it belongs to.
    """

    method: str
    request_id: str
    encode: Callable[[float], bytes | AttemptFailure]
    fresh: bool = False
    body: bytes = b""
    abandon: Callable[[], None] | None = None
    kept: bool = True


class OpenForwardedAnswer:
    """An answer whose head is there.

    One of ``read``, ``read_blocks`` and ``parts`` is called once.
    """

    def __init__(
        self,
        line: CallLine,
        server: Server,
        connection: http.client.HTTPConnection,
        response: AnswerReader,
        head: AnswerHead,
        scope: CancelScope,
        reusable: bool,
        reached: OpenServerCall | None = None,
    ) -> None:
        self._line = line
        self._reached = reached
        self._server = server
        self._connection = connection
        self._response = response
        self._head = head
        self._scope = scope
        self._reusable = reusable
        self._open = True

    @property
    def head(self) -> AnswerHead:
        """The answer's head."""
        return self._head

    @property
    def framed(self) -> bool:
        """Whether the body ends otherwise than with its connection."""
        return self._response.framed

    @property
    def server(self) -> Server:
        """The server that answers."""
        return self._server

    def read(self) -> bytes | AttemptFailure:
        """Read the whole body, or tell why there is none."""
        blocks = self.read_blocks()
        return blocks if isinstance(blocks, AttemptFailure) else b"".join(blocks)

    def read_blocks(self) -> list[bytes] | AttemptFailure:
        """Read the whole body in blocks, or tell why there is none."""
        memory = self._line.memory
        try:
            if memory is None:
                blocks = [self._response.read()]
            else:
                blocks = read_bounded(
                    self._response,
                    self._server.name,
                    memory,
                    self._scope,
                )
        except (OSError, http.client.HTTPException, ValueError) as error:
            return self._fail(error)
        if isinstance(blocks, AttemptFailure):
            self.close()
            return blocks
        self._keep()
        return blocks

    def parts(self) -> Iterator[bytes | AttemptFailure]:
        """Yield the bytes of the body as they come; a failure is the last item."""
        try:
            while data := self._response.read1(READ_BYTES):
                if self._reached is not None:
                    self._line.reach.note_bytes(self._reached)
                yield data
        except (OSError, http.client.HTTPException, ValueError) as error:
            yield self._fail(error)
            return
        self._keep()

    def close(self) -> None:
        """Drop the connection; the server sees that nobody waits any more."""
        if not self._open:
            return
        self._open = False
        self._end_reached()
        sock = self._connection.sock
        if sock is not None:
            self._scope.remove(sock)
        self._response.close()
        self._connection.close()

    def _end_reached(self, failed: bool = False) -> None:
        reached, self._reached = self._reached, None
        if reached is not None:
            self._line.reach.end(reached, failed)

    def _keep(self) -> None:
        sock = self._connection.sock
        kept = self._open and sock is not None and self._reusable
        kept = kept and not self._response.has_excess
        if not kept or self._head.closing or not self._scope.release(sock):
            self.close()
            return
        self._open = False
        self._end_reached()
        idle = self._head.idle_seconds
        seconds = LONGEST_IDLE_SECONDS
        if idle is not None:
            seconds = min(seconds, idle - IDLE_MARGIN_SECONDS)
        if seconds <= 0:
            self._connection.close()
            return
        until = self._line.clock.now() + seconds
        line, server = self._line, self._server
        most = line.most_idle(server.service)
        line.connections.keep(server.host, self._connection, until, most)

    def _fail(self, error: Exception) -> AttemptFailure:
        self._end_reached(self._scope.reason is None and isinstance(error, OSError))
        self.close()
        return self._line.failure(self._server, self._scope, error)


def open_forwarded_call(
    line: CallLine, server: Server, call: OutgoingCall, scope: CancelScope
) -> OpenForwardedAnswer | AttemptFailure:
    """Send a call and return its answer once the head is there.

    :param scope: cancels the call.
    """
    now = line.clock.now()
    left = scope.deadline - now
    if left <= 0:
        passed = DeadlinePassed("before the call")
        return AttemptCancelled(server.name, Ran.NOT_SENT, passed)
    connection = None if call.fresh else line.connections.take(server.host, now)
    fresh = connection is None
    if fresh:
        try:
            connection = line.connections.connect(server.host, left)
        except OSError as error:
            if line.reach is not None and is_unreachable(error, left):
                line.reach.note_failure(server, fresh, now)
            return ConnectFailed(server.name, Ran.NOT_SENT, repr(error))
        detect_dead_peer(connection.sock)
    scope.add(connection.sock)
    # A process that was paused while it connected may be past the deadline.
    left = scope.deadline - line.clock.now()
    data = _ready_bytes(server, call, scope, left)
    if isinstance(data, AttemptFailure):
        scope.remove(connection.sock)
        connection.close()
        return data
    reached = None
    if line.reach is not None:
        reached = line.reach.begin(server, fresh, call.abandon)
    return _exchange(line, server, call, scope, connection, data, reached)


def _ready_bytes(
    server: Server, call: OutgoingCall, scope: CancelScope, left: float
) -> bytes | AttemptFailure:
    if scope.reason is not None or left <= 0:
        reason = scope.reason or DeadlinePassed("before the call")
        return AttemptCancelled(server.name, Ran.NOT_SENT, reason)
    return call.encode(left)


def _exchange(
    line: CallLine,
    server: Server,
    call: OutgoingCall,
    scope: CancelScope,
    connection: http.client.HTTPConnection,
    data: bytes,
    reached: OpenServerCall | None,
) -> OpenForwardedAnswer | AttemptFailure:
    sock = connection.sock
    # The deadline is the watchdog's; the socket's own limit is there in case.
    sent_at = line.clock.now()
    left = scope.deadline - sent_at
    sock.settimeout(max(0.0, left) + WATCHDOG_MARGIN_SECONDS)
    parts = [data, call.body]
    if len(data) + len(call.body) <= JOINED_BYTES or line.memory is None:
        parts = [data + call.body]
    sent = True
    try:
        if line.memory is None:
            sock.sendall(parts[0])
        else:
            unread = send_bounded(sock, server.name, parts)
            if unread is not None:
                scope.remove(sock)
                connection.close()
                if reached is not None:
                    line.reach.end(reached, failed=False)
                return unread
    except OSError:
        # A server may answer before it has read everything, and close.
        sent = False
    response = AnswerReader(
        sock,
        method=call.method,
        end_is_unknown=lambda: not sent or scope.reason is not None,
    )
    try:
        response.begin()
    except (OSError, http.client.HTTPException, ValueError) as error:
        if reached is not None:
            line.reach.end(reached, scope.reason is None and isinstance(error, OSError))
        response.close()
        scope.remove(sock)
        connection.close()
        return line.failure(server, scope, error)
    if reached is not None:
        line.reach.note_answer(reached)
    head = line.read_head(response)
    answer = OpenForwardedAnswer(
        line,
        server,
        connection,
        response,
        head,
        scope,
        sent and call.kept,
        reached,
    )
    # An answer that carries another id is an extra or a late one of another call.
    if head.request_id and head.request_id != call.request_id:
        answer.close()
        return AnswerCrossed(server.name, Ran.MAY_HAVE_RUN, head.request_id)
    line.note_head(server, head, sent_at)
    return answer
