"""A caller's connection: its requests, their deadlines, and how it is closed.

It records when a request began to arrive, stops blocking on a caller that does not read
once the request's deadline has passed, and closes keep-alive connections while the
entry is leaving. A request for which there is no memory is refused and its body
dropped. ``caller.server`` configures the server.
"""

import contextlib
import socket
import struct
import termios
from typing import Any

from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected
from waitress.task import WSGITask

from boragestream.caller.charged_channel import ChargedChannel
from boragestream.caller.protocol import StrictParser

__all__ = [
    "ARRIVED",
    "NOTE_DEADLINE",
    "PACE",
    "RAW_HEADERS",
    "RECEIVE_BUFFER_BYTES",
    "STOP_WAITING",
    "CallerConnection",
]

ARRIVED = "boragestream.arrived"
STOP_WAITING = "boragestream.stop_waiting"
RAW_HEADERS = "boragestream.headers"
NOTE_DEADLINE = "boragestream.note_deadline"
PACE = "boragestream.pace"

# How long the body of a refused request is read and dropped, so that a caller that is
# still sending gets the answer and not a connection reset.
DISCARD_SECONDS = 5.0
DISCARD_BYTES = 65_536
# With bounded memory, the kernel receives about this much of a connection before the
# entry reads it. It receives more of a large body, whose bytes are all charged already.
# The kernel counts up to twice as much for its own records.
RECEIVE_BUFFER_BYTES = 65_536
BODY_BUFFER_BYTES = 524_288
# A body is read so often in one pass of the event loop, which takes milliseconds where
# there are thousands of connections.
READS_AT_ONCE = 8
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class CallerTask(WSGITask):
    """One request of a connection."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, extended by five keys for the application.

        ``ARRIVED`` holds the clock's seconds at the request's first byte, so that time
        in waitress' own queue counts. ``STOP_WAITING`` holds a function without
        arguments that is called when the deadline has passed. ``RAW_HEADERS`` holds
        the headers by name, in upper case with underscores. ``NOTE_DEADLINE`` holds a
        function that is called with the request's id, deadline and client account.
        ``PACE`` holds a function that keeps the answer from running ahead of its
        caller, see ``ChargedChannel.pace``.
        """
        environ = super().get_environment()
        environ[ARRIVED] = self.request.arrived
        environ[STOP_WAITING] = self.channel.stop_waiting
        environ[RAW_HEADERS] = self.request.headers
        environ[NOTE_DEADLINE] = self.channel.note_deadline
        environ[PACE] = self.channel.pace
        self.channel.begin_waiting()
        return environ

    def build_response_header(self) -> bytes:
        """Return the response head; close the connection if the entry is leaving."""
        if self.channel.server.leaving:
            self.set_close_on_finish()
        head = super().build_response_header()
        if not self.chunked_response and self.content_length is None:
            # The end of the connection will be the end of the answer.
            self.channel.reset_on_close(True)
        return head

    def finish(self) -> None:
        """End the answer, which is whole."""
        super().finish()
        self.channel.reset_on_close(False)


class CallerConnection(ChargedChannel):
    """One connection of a caller."""

    task_class = CallerTask
    _resets = False

    def __init__(self, server: Any, *arguments: Any, **options: Any) -> None:
        self._discard_until: float | None = None
        self._discard_left: int | None = None
        self._receives_body = False
        super().__init__(server, *arguments, **options)

    @property
    def discards_too_long(self) -> bool:
        """Whether the body of a refused request has been dropped for long enough."""
        until = self._discard_until
        return until is not None and self._memory.now() >= until

    def parser_class(self, adjustments: Adjustments) -> StrictParser:
        """Return the parser of a request whose first bytes have arrived."""
        request = StrictParser(adjustments, self._memory, self._discard_rest)
        request.arrived = self.server.clock.now()
        return request

    def service(self) -> None:
        """Run one request, and return what it held."""
        request = self.requests[0]
        # The output may be given up between two requests.
        with contextlib.suppress(ClientDisconnected):
            try:
                super().service()
            finally:
                request.release()

    def readable(self) -> bool:
        """Return whether the event loop should read."""
        if self._discard_until is not None:
            return self.connected and not self.will_close
        return self.connected and super().readable()

    def writable(self) -> bool:
        """Return whether the event loop should write or close."""
        return self.socket is not None and super().writable()

    def handle_read(self) -> None:
        """Read bytes; drop them after a request that was refused."""
        for _ in range(READS_AT_ONCE):
            if self._discard_until is not None:
                self._discard_some()
            else:
                super().handle_read()
                self._fit_receive_buffer()
            more = self._body_expected or self._discard_until is not None
            if not (more and self.connected and self._kernel_bytes(termios.FIONREAD)):
                return

    @property
    def _body_expected(self) -> bool:
        return self.request is not None and self.request.body_rcv is not None

    def _fit_receive_buffer(self) -> None:
        """Let the kernel receive more while it receives a large body."""
        large = (
            self._body_expected and self.request.content_length > RECEIVE_BUFFER_BYTES
        )
        if large is not self._receives_body and self.connected:
            self._receives_body = large
            size = BODY_BUFFER_BYTES if large else RECEIVE_BUFFER_BYTES
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _discard_some(self) -> None:
        try:
            # An end of the stream closes the connection.
            dropped = len(self.recv(DISCARD_BYTES))
        except OSError:
            self.handle_close()
            return
        if self._discard_left is not None:
            self._discard_left -= dropped
        self._close_after_discarding()

    def handle_write(self) -> None:
        """Send output; after a refusal, keep reading until the body is dropped."""
        if self._discard_until is None or not self.close_when_flushed:
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if not self.total_outbufs_len:
            self.close_when_flushed = False
            self._shut_down_output()
            self._close_after_discarding()
        if self.will_close:
            self.handle_close()

    def reset_on_close(self, resets: bool) -> None:
        """Set whether a close resets the connection, also when the process ends."""
        if self._resets is resets:
            return
        self._resets = resets
        option = RESET_ON_CLOSE if resets else END_ON_CLOSE
        sock = self.socket
        # The event loop may be closing the connection.
        with contextlib.suppress(OSError):
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def abandon(self) -> None:
        """Close the connection with a reset, so that no cut answer looks complete."""
        if self.connected:
            self.reset_on_close(True)
            self.handle_close()

    def _discard_rest(self, left: int | None) -> None:
        self._discard_until = self._memory.now() + DISCARD_SECONDS
        self._discard_left = left

    def _shut_down_output(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.will_close = True

    def _close_after_discarding(self) -> None:
        answered = not (self.requests or self.close_when_flushed or self.busy)
        left = self._discard_left
        if answered and (self.discards_too_long or (left is not None and left <= 0)):
            self.will_close = True
