"""A caller's connection whose bytes are charged, those in the kernel's buffers too.

Output is charged from the moment at which it is written until the caller has
acknowledged it. How fast the caller reads, and sends the rest of a request, shows for
how long the connection will hold its bytes; ``caller.slow_connections`` chooses from
that which connections are closed when others go short. An answer can be paced, so that
it is written only as fast as the caller reads.
"""

import array
import contextlib
import fcntl
import math
import termios
import time
from collections.abc import Callable
from typing import Any

from waitress.channel import ClientDisconnected

from boragestream.base.memory_budget import MemoryKind
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.pace import Pace
from boragestream.caller.protocol import StrictChannel

__all__ = ["ChargedChannel"]

# The kernel is asked what it holds unsent after so many further bytes.
UNSENT_STEP_BYTES = 65_536
# Output is charged in steps, since a stream is written in many short pieces.
OUTPUT_STEP_BYTES = 4_096
# Less unread output of one caller does not block writes even if memory is short.
SMALL_OUTPUT_BYTES = 16_384
BLOCKED_POLL_SECONDS = 0.05
READER_POLL_SECONDS = 0.1
# A closed connection without activity for longer holds nothing in the kernel.
KERNEL_SECONDS = 2.0


def _unbounded() -> float:
    return math.inf


class ChargedChannel(StrictChannel):
    """One connection of a caller.

    :ivar request_id: the id of the latest request; empty if it has none.
    :ivar account: the client account of that request; empty if it is not known.
    :ivar deadline: the clock's seconds by which that request was to be answered.
    :ivar progress_at: the clock's seconds when the caller last read output.
    """

    _blocks_on_output = True

    def __init__(self, server: Any, *arguments: Any, **options: Any) -> None:
        self._memory: CallerMemory = server.caller_memory
        self._output = self._memory.charge(MemoryKind.OUTPUT)
        # What the kernel has received, and what waits behind other requests.
        self._received = self._memory.charge(MemoryKind.REQUEST)
        # At the most what the kernel holds unsent, and from what on it is asked.
        self._kernel_unsent, self._ask_kernel_at = 0, UNSENT_STEP_BYTES
        self._bytes_written = self._bytes_received = 0
        self._reading, self._sending = Pace(), Pace()
        self.request_id = self.account = ""
        self.deadline = self.progress_at = 0.0
        self._most_unread: Callable[[], float] = _unbounded
        self._held_up = False
        super().__init__(server, *arguments, **options)

    @property
    def unread_bytes(self) -> int:
        """The bytes that are held because the caller has not read them."""
        return self.total_outbufs_len + self._kernel_unsent

    @property
    def held_bytes(self) -> int:
        """The bytes that are held until the caller reads or sends something."""
        if self.unread_bytes:
            return self._output.size
        return self.request.charged_bytes if self.request is not None else 0

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered."""
        return bool(self.requests or self.request or self.total_outbufs_len)

    @property
    def held_up(self) -> bool:
        """Whether a request waits in its thread until its caller has read."""
        return self._held_up

    @property
    def serving(self) -> bool:
        """Whether a request is run, or its answer is still being read."""
        return bool(self.requests or self.unread_bytes)

    def note_deadline(self, request_id: str, deadline: float, account: str) -> None:
        """Record the request whose answer is written next."""
        self.request_id, self.deadline, self.account = request_id, deadline, account

    def begin_waiting(self) -> None:
        """Let writes block until the caller reads."""
        self._blocks_on_output = True
        self._most_unread = _unbounded

    def pace(self, most_unread: Callable[[], float]) -> None:
        """Let writes of the present request block while its caller is behind.

        :param most_unread: returns the bytes of unread output beyond which they block.
        """
        self._most_unread = most_unread

    def stop_waiting(self) -> None:
        """Stop blocking writes until the caller reads, and wake a blocked one."""
        self._blocks_on_output = False
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()

    def seconds_observed(self, now: float) -> float:
        """Return for how long the caller has been seen to read or send slowly."""
        pace = self._reading if self.unread_bytes else self._sending
        return pace.seconds_observed(now)

    def seconds_left(self, now: float) -> float:
        """Return how long the connection will hold its bytes at the caller's pace."""
        unread = self.unread_bytes
        if unread:
            gone = self._bytes_written - unread
            return self._reading.seconds_for(unread, now, gone)
        request = self.request
        if request is None:
            return 0.0
        left = request.bytes_left or max(1, request.charged_bytes)
        return self._sending.seconds_for(left, now, self._bytes_received)

    def _mark_progress(self) -> None:
        """Note what has been read and received up to now."""
        now, unread = self._memory.now(), self.unread_bytes
        if unread:
            self._reading.mark(now, self._bytes_written - unread)
        else:
            self._reading.reset()
        if self.request is not None:
            self._sending.mark(now, self._bytes_received)
        else:
            self._sending.reset()

    def follow(self) -> None:
        """Charge what the kernel holds, and note the progress, once a second."""
        if self.count_kernel_bytes():
            self._mark_progress()
        else:
            self._reading.reset()
            self._sending.reset()

    def count_kernel_bytes(self) -> bool:
        """Charge what the kernel has received or not sent for the connection.

        What it holds can't change without activity unless it is being sent.

        :returns: whether it may hold anything.
        """
        recent = time.time() - self.last_activity < KERNEL_SECONDS
        held = self._received.size or self._kernel_unsent or self._unparsed
        if self.socket is None or not (recent or self.busy or held):
            return False
        try:
            waiting = self._kernel_bytes(termios.FIONREAD) + len(self._unparsed)
            self._received.set(waiting)
            # A thread that writes counts by itself, and may keep the lock for long.
            if self.outbuf_lock.acquire(blocking=False):
                try:
                    self._count_again()
                finally:
                    self.outbuf_lock.release()
        except OSError:
            # The connection is being closed, which releases both.
            return False
        return True

    def _count_again(self) -> None:
        """Charge what the kernel holds unsent, and note whether that became less."""
        before = self._kernel_unsent
        self._count_unsent()
        if not before or self._kernel_unsent < before:
            self.progress_at = self._memory.now()
        self._count_output()

    def handle_close(self) -> None:
        """Close the connection, and return what it held."""
        super().handle_close()
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()
        self._output.release()
        self._received.release()
        if self.request is not None:
            self.request.release()

    def received(self, data: bytes) -> bool:
        """Parse bytes that the caller has sent."""
        self._bytes_received += len(data)
        return super().received(data)

    def _count_written(self, written: int, sent: int) -> None:
        self._bytes_written += written
        self._count_sent(sent)
        held = self._blocks.held + self._kernel_unsent
        if held > self._output.size:
            if not self._output.size:
                self.progress_at = self._memory.now()
            # Further short writes are charged already.
            self._output.set(held + OUTPUT_STEP_BYTES)

    def _flush_some(self, do_close: bool = True) -> bool:
        with self.outbuf_lock:
            before = self.total_outbufs_len
            progressed = super()._flush_some(do_close)
            if progressed:
                self.progress_at = self._memory.now()
                self._count_sent(before - self.total_outbufs_len)
                self._count_output()
            return progressed

    def _count_sent(self, sent: int) -> None:
        """Count bytes that the kernel holds until the caller reads them."""
        self._kernel_unsent += sent
        if self._kernel_unsent >= self._ask_kernel_at:
            # The event loop may be closing the connection.
            with contextlib.suppress(OSError):
                self._count_unsent()

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Block while the caller has unread output and is behind, or memory is short.

        :raises ClientDisconnected: if the output is given up, since too many threads
            wait already, or there is no memory left for it after its deadline.
        """
        with self.outbuf_lock:
            while self._is_ahead_of_caller():
                self._held_up = True
                self.outbuf_lock.wait(READER_POLL_SECONDS)
            self._held_up = False
        budget = self._memory.budget
        if not self._exceeds_memory():
            return
        with budget.waiting() as may_wait, self.outbuf_lock:
            while may_wait and self._blocks_on_output and self._exceeds_memory():
                self._memory.free_unread()
                self.outbuf_lock.wait(BLOCKED_POLL_SECONDS)
        if self._exceeds_memory() and not (
            may_wait and budget.total + SMALL_OUTPUT_BYTES <= budget.limit
        ):
            self._memory.give_up(self)
            raise ClientDisconnected

    def _has_unread(self) -> bool:
        return super()._has_unread() or self._kernel_unsent > self._most_unread()

    def _is_ahead_of_caller(self) -> bool:
        most = self._most_unread()
        if self.unread_bytes <= most:
            return False
        # The caller may have read since the kernel was last asked.
        with contextlib.suppress(OSError):
            self._count_unsent()
        return self.connected and self._blocks_on_output and self.unread_bytes > most

    def _exceeds_memory(self) -> bool:
        """Return whether output that the caller does not read must not grow."""
        return (
            self.connected
            and self.total_outbufs_len > SMALL_OUTPUT_BYTES
            and not self._memory.budget.grants_unread
        )

    def _count_output(self) -> None:
        self._output.set(self._blocks.held + self._kernel_unsent)

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
