"""The answer to an attempt, once its headers are there and belong to the attempt.

An answer counts only when it is whole, of a bounded size and in time. Whatever else
comes is a typed failure. Sending the call is left to ``backend.attempt``.
"""

import contextlib
import http.client
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from boragestream.backend.bounded_io import (
    join_blocks,
    read_bounded,
    wait_for_bytes,
)
from boragestream.backend.calls import Completion
from boragestream.backend.cancellation import CancelScope
from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.failures import (
    AnswerCrossed,
    AnswerCut,
    AnswerTooLarge,
    AnswerUnread,
    AttemptCancelled,
    AttemptFailure,
    Ran,
)
from boragestream.base.answer_head import AnswerHeaders
from boragestream.base.answer_reader import AnswerBoundError, AnswerReader
from boragestream.base.clock import Clock
from boragestream.base.event_buffer import COMMENT, MAX_EVENTS, EventBuffer
from boragestream.base.failures import DeadlinePassed
from boragestream.base.nesting import (
    MAX_DEPTH,
    TooDeep,
    decode_bounded,
    decoded_bytes,
)

__all__ = ["OpenAnswer", "broken"]

END_MARK = b"[DONE]"
DATA_PREFIX = b"data:"
MAX_ANSWER_BYTES = 8 * 1_048_576
READ_BYTES = 65536
PART = msgspec.json.Decoder(Completion)
DRAIN_SECONDS = 0.05
KERNEL_TIMEVAL = struct.Struct("ll")
WATCHDOG_MARGIN_SECONDS = 2.0


_READ_ERRORS = (OSError, http.client.HTTPException, msgspec.DecodeError)


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
        response: AnswerReader,
        connections: ConnectionKeeper,
        scope: CancelScope,
        clock: Clock,
    ) -> None:
        self._host = host
        self._server = server
        self._attempt_id = attempt_id
        self._connection = connection
        self._sock = sock
        self._response = response
        self._connections = connections
        self._scope = scope
        self._clock = clock
        self._ended: Callable[[bool], None] | None = None
        self._open = True

    @property
    def server(self) -> str:
        """The name of the server that answers."""
        return self._server

    @property
    def headers(self) -> AnswerHeaders:
        """The answer's headers."""
        return self._response.headers

    def when_ended(self, ended: Callable[[bool], None]) -> None:
        """Have a function called once at the end; it is told whether it is whole."""
        self._ended = ended

    def read(self) -> Any | AttemptFailure:
        """Read the whole answer: its JSON data, or why there is none."""
        try:
            return self._end(self._read_whole())
        except _READ_ERRORS as error:
            return self._end(self._broken(error))

    def _read_whole(self) -> Any | AttemptFailure:
        response = self._response
        if response.length is None and not response.chunked:
            return AnswerCut(*self._may_have_run(), "no length")
        if (response.length or 0) > MAX_ANSWER_BYTES:
            return self._too_large()
        held = self._scope.held
        if held is None:
            # Only a read without a limit notices that bytes of a known length lack.
            body = response.read(MAX_ANSWER_BYTES + 1 if response.chunked else None)
        else:
            blocks = read_bounded(response, self._server, held.budget, self._scope)
            if isinstance(blocks, AttemptFailure):
                return blocks
            body = join_blocks(blocks)
        if len(body) > MAX_ANSWER_BYTES:
            return self._too_large()
        if held is not None:
            size = decoded_bytes(body)
            if not wait_for_bytes(held, size, self._scope):
                return AnswerUnread(*self._may_have_run(), size)
        data = decode_bounded(body)
        return self._in_time() or data

    def tokens(self) -> Iterator[Completion | AttemptFailure]:
        """Yield each part of a streamed answer; a failure is the last item."""
        try:
            for event in self._events():
                if event == END_MARK and self._in_time() is None:
                    self._drain()
                    self._end(None)
                    return
                part = self._in_time() or self._part(event)
                if isinstance(part, AttemptFailure):
                    yield self._end(part)
                    return
                yield part
            yield self._end(AnswerCut(*self._may_have_run(), "no end mark"))
        except _READ_ERRORS as error:
            yield self._end(self._broken(error))

    def _events(self) -> Iterator[bytes]:
        """Yield the data of each server-sent event as it comes."""
        buffer = EventBuffer()
        total = count = 0
        self._wait_in_kernel()
        while data := self._response.read1(READ_BYTES):
            total += len(data)
            if total > MAX_ANSWER_BYTES:
                raise AnswerBoundError(f"{MAX_ANSWER_BYTES} bytes")
            for event in buffer.take(data):
                count += 1
                if count > MAX_EVENTS:
                    raise AnswerBoundError(f"{MAX_EVENTS} events")
                # Engines send comments to keep an idle connection alive.
                if not event.startswith(COMMENT):
                    yield event.removeprefix(DATA_PREFIX).strip()

    def _wait_in_kernel(self) -> None:
        """Have the kernel wait for each part, which saves a poll before each read.

        At the deadline the watchdog shuts the socket down; the kernel's own limit is
        there in case it does not.
        """
        left = self._sock.gettimeout() or 0.0
        limit = KERNEL_TIMEVAL.pack(int(left + WATCHDOG_MARGIN_SECONDS), 0)
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)

    def _part(self, event: bytes) -> Completion | AttemptFailure:
        part = decode_bounded(event, PART)
        if part.id != self._attempt_id:
            return AnswerCrossed(*self._may_have_run(), part.id)
        return part

    def _in_time(self) -> AttemptFailure | None:
        """Return a failure where the deadline passed, also while paused."""
        if self._clock.now() < self._scope.deadline:
            return None
        passed = self._scope.reason or DeadlinePassed("answer")
        return AttemptCancelled(*self._may_have_run(), passed)

    def _too_large(self) -> AttemptFailure:
        return AnswerTooLarge(*self._may_have_run(), f"{MAX_ANSWER_BYTES} bytes")

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

    def _drain(self) -> None:
        """Take what follows the end mark, so that the connection can be kept.

        The answer is whole already; a server that is slow to end its message costs
        the connection and not the caller's time.
        """
        with contextlib.suppress(*_READ_ERRORS):
            self._sock.settimeout(DRAIN_SECONDS)
            self._response.read(1)

    def _end(self, result: Any) -> Any:
        """Keep the connection after a whole answer and close it after any other."""
        whole = not isinstance(result, AttemptFailure) and self._scope.reason is None
        # http.client drops its socket where the server closes the connection.
        response = self._response
        reusable = self._connection.sock is not None and response.isclosed()
        reusable = reusable and not response.has_excess
        self._call_ended(whole)
        # A scope that is being cancelled still holds the socket and shuts it down,
        # which must never strike the connection's next call.
        if not (whole and reusable and self._scope.release(self._sock)):
            self.close()
            return result
        self._open = False
        self._connections.keep(self._host, self._connection)
        return result

    def _call_ended(self, whole: bool) -> None:
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(whole)

    def _may_have_run(self) -> tuple[str, Ran]:
        return self._server, Ran.MAY_HAVE_RUN

    def _broken(self, error: Exception) -> AttemptFailure:
        if isinstance(error, TooDeep):
            return AnswerTooLarge(*self._may_have_run(), f"{MAX_DEPTH} levels")
        return broken(self._server, self._scope, error)


def broken(server: str, scope: CancelScope, error: Exception) -> AttemptFailure:
    """Return the failure that an error in the middle of a call stands for."""
    if scope.reason is not None:
        return AttemptCancelled(server, Ran.MAY_HAVE_RUN, scope.reason)
    if isinstance(error, TimeoutError):
        passed = DeadlinePassed("answer")
        return AttemptCancelled(server, Ran.MAY_HAVE_RUN, passed)
    if isinstance(error, AnswerBoundError):
        return AnswerTooLarge(server, Ran.MAY_HAVE_RUN, error.bound)
    return AnswerCut(server, Ran.MAY_HAVE_RUN, repr(error))
