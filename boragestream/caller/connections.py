"""A caller's connection, built on the strict channel.

It records when a request began to arrive, stops blocking on a caller that does not read
once the request's deadline has passed, and closes keep-alive connections while the
entry is leaving. If the server has a ``CallerMemory``, the bytes that the connection
holds are charged to it: writes then block only while memory is short, and a request
without memory is refused and its body dropped. ``caller.server`` configures the server.
"""

import array
import contextlib
import fcntl
import socket
import struct
import termios
import time
from typing import Any

from waitress.adjustments import Adjustments
from waitress.task import WSGITask

from boragestream.base.memory_budget import MemoryKind
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.protocol import StrictChannel, StrictParser

__all__ = [
    "ARRIVED",
    "NOTE_DEADLINE",
    "RAW_HEADERS",
    "RECEIVE_BUFFER_BYTES",
    "STOP_WAITING",
    "CallerConnection",
]

ARRIVED = "boragestream.arrived"
STOP_WAITING = "boragestream.stop_waiting"
RAW_HEADERS = "boragestream.headers"
NOTE_DEADLINE = "boragestream.note_deadline"

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
# The kernel is asked what it holds unsent after so many further bytes.
UNSENT_STEP_BYTES = 65_536
# Less unread output of one caller does not block writes even if memory is short.
SMALL_OUTPUT_BYTES = 16_384
BLOCKED_POLL_SECONDS = 0.05
# A closed connection without activity for longer holds nothing in the kernel.
KERNEL_SECONDS = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class CallerTask(WSGITask):
    """One request of a connection."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, extended by four keys for the application.

        ``ARRIVED`` holds the clock's seconds at the request's first byte, so that time
        in waitress' own queue counts. ``STOP_WAITING`` holds a function without
        arguments that is called when the deadline has passed. ``RAW_HEADERS`` holds
        the headers by name, in upper case with underscores. ``NOTE_DEADLINE`` holds a
        function that is called with the request's id and its deadline.
        """
        environ = super().get_environment()
        environ[ARRIVED] = self.request.arrived
        environ[STOP_WAITING] = self.channel.stop_waiting
        environ[RAW_HEADERS] = self.request.headers
        environ[NOTE_DEADLINE] = self.channel.note_deadline
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


class CallerConnection(StrictChannel):
    """One connection of a caller.

    :ivar request_id: the id of the latest request; empty if it has none.
    :ivar deadline: the clock's seconds by which that request was to be answered.
    :ivar progress_at: the clock's seconds when the caller last read output.
    """

    task_class = CallerTask
    _blocks_on_output = True
    _resets = False

    def __init__(self, server: Any, *arguments: Any, **options: Any) -> None:
        self._memory: CallerMemory | None = getattr(server, "caller_memory", None)
        self._output = self._received = None
        # At the most what the kernel holds unsent, and from what on it is asked.
        self._kernel_unsent, self._ask_kernel_at = 0, UNSENT_STEP_BYTES
        self._discard_until: float | None = None
        self._discard_left: int | None = None
        self._receives_body = False
        self.request_id = ""
        self.deadline = self.progress_at = 0.0
        if self._memory is not None:
            self._output = self._memory.charge(MemoryKind.OUTPUT)
            # What the kernel has received.
            self._received = self._memory.charge(MemoryKind.REQUEST)
        super().__init__(server, *arguments, **options)

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered."""
        return bool(self.requests or self.request or self.total_outbufs_len)

    @property
    def unread_bytes(self) -> int:
        """The bytes that are held because the caller has not read them."""
        return self.total_outbufs_len + self._kernel_unsent

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

    def note_deadline(self, request_id: str, deadline: float) -> None:
        """Record the request whose answer is written next."""
        self.request_id, self.deadline = request_id, deadline

    def begin_waiting(self) -> None:
        """Let writes block until the caller reads."""
        self._blocks_on_output = True

    def stop_waiting(self) -> None:
        """Stop blocking writes until the caller reads, and wake a blocked one."""
        self._blocks_on_output = False
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()

    def service(self) -> None:
        """Run one request, and return what it held."""
        request = self.requests[0]
        try:
            super().service()
        finally:
            request.release()

    def readable(self) -> bool:
        """Return whether the event loop should read."""
        if self._discard_until is not None:
            return self.connected and not self.will_close
        if self._memory is not None and not self.connected:
            return False
        return super().readable()

    def writable(self) -> bool:
        """Return whether the event loop should write or close."""
        if self._memory is not None and self.socket is None:
            return False
        return super().writable()

    def handle_read(self) -> None:
        """Read bytes; drop them after a request that was refused."""
        if self._memory is None:
            super().handle_read()
            return
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

    def handle_close(self) -> None:
        """Close the connection, and return what it held."""
        super().handle_close()
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()
        if self._memory is None:
            return
        self._output.release()
        self._received.release()
        if self.request is not None:
            self.request.release()

    def write_soon(self, data: Any) -> int:
        """Send data, and charge it until the caller has acknowledged it."""
        if self._memory is None:
            return super().write_soon(data)
        with self.outbuf_lock:
            length = super().write_soon(data)
            self._count_output()
        return length

    def send(self, data: Any, do_close: bool = True) -> int:
        """Send data to the kernel, which holds it until the caller reads."""
        sent = super().send(data, do_close)
        if self._memory is not None and sent:
            self._kernel_unsent += sent
            if self._kernel_unsent >= self._ask_kernel_at:
                # The event loop may be closing the connection.
                with contextlib.suppress(OSError):
                    self._count_unsent()
        return sent

    def count_kernel_bytes(self) -> None:
        """Charge what the kernel has received or not sent for the connection.

        What it holds can't change without activity unless it is being sent.
        """
        recent = time.time() - self.last_activity < KERNEL_SECONDS
        held = self._received.size or self._kernel_unsent
        if self.socket is None or not (recent or self.busy or held):
            return
        try:
            self._received.set(self._kernel_bytes(termios.FIONREAD))
            with self.outbuf_lock:
                before = self._kernel_unsent
                self._count_unsent()
                if not before or self._kernel_unsent < before:
                    self.progress_at = self._memory.now()
                self._count_output()
        except OSError:
            # The connection is being closed, which releases both.
            return

    def _count_unsent(self) -> None:
        self._kernel_unsent = self._kernel_bytes(termios.TIOCOUTQ)
        self._ask_kernel_at = self._kernel_unsent + UNSENT_STEP_BYTES

    def _kernel_bytes(self, kind: int) -> int:
        """Return a number of bytes from the kernel.

        :raises OSError: if the connection is closed.
        """
        size = array.array("i", [0])
        try:
            fcntl.ioctl(self.socket, kind, size)
        except ValueError as error:
            raise OSError("closed") from error
        return size[0]

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

    def _flush_some(self, do_close: bool = True) -> bool:
        if self._memory is None:
            return super()._flush_some(do_close)
        with self.outbuf_lock:
            sent = super()._flush_some(do_close)
            if sent:
                self.progress_at = self._memory.now()
            self._count_output()
            return sent

    def _count_output(self) -> None:
        if not self._output.size:
            self.progress_at = self._memory.now()
        self._output.set(self._blocks.held + self._kernel_unsent)

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Block until the caller reads or waiting stops; waitress has no bound."""
        if self._memory is not None:
            self._wait_for_memory()
            return
        limit = self.adj.outbuf_high_watermark
        with self.outbuf_lock:
            while (
                self.connected
                and self._blocks_on_output
                and self.total_outbufs_len > limit
            ):
                self.server.pull_trigger()
                self.outbuf_lock.wait()

    def _wait_for_memory(self) -> None:
        """Block while memory is short and the caller has unread output."""
        budget = self._memory.budget
        with self.outbuf_lock:
            while (
                self.connected
                and self._blocks_on_output
                and self.total_outbufs_len > SMALL_OUTPUT_BYTES
                and not budget.grants_unread
            ):
                self.server.pull_trigger()
                self.outbuf_lock.wait(BLOCKED_POLL_SECONDS)
