"""Writes log lines to a descriptor without ever waiting for its reader.

Lines go through a bounded buffer that one thread empties. When it is full, lines of
level INFO are dropped before those that report failures; how many were dropped is
written in a line of its own. Lines that could not be written, since the reader has
gone, are lost; once there is a reader again, a line reports how many.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from boragestream.base.bounded_output import BoundedOutput, complain

__all__ = ["LineWriter", "log_lines_to"]

# About a second of lines at the peak of a small instance.
MAX_LINES = 2000
MAX_BYTES = 524_288
# The last part of the buffer is kept for warnings and errors.
KEPT_SHARE = 0.25
FLUSH_SECONDS = 0.2
# What is written at once; so much may be lost with a reader that goes.
BATCH_BYTES = 65_536
# A process that ends doesn't wait for longer for the reader of its last lines.
LAST_SECONDS = 0.5

Format = Callable[[logging.LogRecord], str]


def _with_time(record: logging.LogRecord) -> str:
    """Return an event's line with the calendar time, which only people compare."""
    message = record.getMessage()
    if message.startswith("{"):
        return f'{{"at":{record.created:.3f},{message[1:]}'
    return message


@dataclass(frozen=True, slots=True)
class _Batch:
    """Lines that are written at once.

    :ivar data: what is left to write.
    :ivar lines: how many lines it began with, other than those that report numbers.
    :ivar dropped: the number of dropped lines that it reports.
    :ivar lost: the number of lost lines that it reports.
    """

    data: bytes = b""
    lines: int = 0
    dropped: int = 0
    lost: int = 0


class LineWriter(logging.Handler):
    """A handler of the standard library's logging.

    :param descriptor: where the lines go.
    :param format_line: returns a record's line.
    """

    def __init__(self, descriptor: int, format_line: Format = _with_time) -> None:
        super().__init__()
        self._output = BoundedOutput(descriptor)
        self._format_line = format_line
        self._lines: deque[bytes] = deque()
        # The bytes of the lines in the buffer.
        self._bytes = 0
        self._batch = _Batch()
        # Since this was last reported in the log, and in total.
        self._dropped = self._lost = 0
        self._dropped_total = self._lost_total = 0
        self._writing = threading.Lock()
        self._ended = threading.Event()

    @property
    def dropped(self) -> int:
        """The lines that were dropped because the buffer was full."""
        return self._dropped_total

    @property
    def lost(self) -> int:
        """The lines that could not be written."""
        return self._lost_total

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, or drop it if the buffer is full; ``handle`` holds the lock."""
        share = 1.0 if record.levelno >= logging.WARNING else 1.0 - KEPT_SHARE
        if len(self._lines) >= MAX_LINES * share or self._bytes >= MAX_BYTES * share:
            self._dropped += 1
            self._dropped_total += 1
            return
        text = self._format_line(record)
        line = text.encode(errors="backslashreplace") + b"\n"
        self._lines.append(line)
        self._bytes += len(line)

    def run(self) -> None:
        """Write lines until ``close``; the task of one thread."""
        while not self._ended.wait(FLUSH_SECONDS):
            try:
                self.write_out(FLUSH_SECONDS)
            except Exception as error:
                complain(f"log lines: {type(error).__name__}")

    def write_out(self, seconds: float = LAST_SECONDS) -> None:
        """Write what is there, as far as it is accepted in time."""
        if not self._writing.acquire(timeout=seconds):
            return
        try:
            while self._batch.data or self._next_batch():
                accepted = self._output.write(self._batch.data, seconds)
                rest = self._batch.data[accepted:]
                self._batch = replace(self._batch, data=rest)
                if rest:
                    return
        except OSError:
            self._lose_batch()
        finally:
            self._writing.release()

    def _next_batch(self) -> bool:
        """Take lines from the buffer; return whether there is something to write."""
        parts: list[bytes] = []
        size = lines = 0
        with self.lock:
            if not (self._lines or self._dropped):
                return False
            lost, self._lost = self._lost, 0
            dropped, self._dropped = self._dropped, 0
            while self._lines and size < BATCH_BYTES:
                parts.append(self._lines.popleft())
                size += len(parts[-1])
                lines += 1
            self._bytes -= size
        if lost:
            # The last reader may have got a part of a line.
            parts.insert(0, b'\n{"name":"lines_lost","count":%d}\n' % lost)
        if dropped:
            parts.append(b'{"name":"lines_dropped","count":%d}\n' % dropped)
        self._batch = _Batch(b"".join(parts), lines, dropped, lost)
        return True

    def _lose_batch(self) -> None:
        """Count the lines that could not be written."""
        batch, self._batch = self._batch, _Batch()
        lost = min(batch.lines, batch.data.count(b"\n"))
        with self.lock:
            self._lost_total += lost
            # What the batch reports is reported again with the next one.
            self._lost += lost + batch.lost
            self._dropped += batch.dropped

    def close(self) -> None:
        """End ``run``."""
        self._ended.set()
        super().close()


def log_lines_to(descriptor: int, format_line: Format = _with_time) -> LineWriter:
    """Have absl's log lines written out; return the writer, not yet running.

    :param descriptor: where the lines go.
    :param format_line: returns a record's line.
    """
    writer = LineWriter(descriptor, format_line)
    logger = logging.getLogger("absl")
    logger.handlers = [writer]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return writer
