"""Writes log lines to standard output without ever waiting for its reader.

Lines go through a bounded buffer that one thread empties. When it is full, lines of
level INFO are dropped before those that tell of failures; how many were dropped is said
in a line of its own.
"""

import logging
import sys
import threading
from collections import deque
from typing import TextIO

__all__ = ["LineWriter", "log_lines_to"]

# About a second of lines at the peak of a small instance, half a megabyte of memory.
MAX_LINES = 2000
# The last part of the buffer is kept for warnings and errors.
KEPT_FOR_FAILURES = 500
FLUSH_SECONDS = 0.2


class LineWriter(logging.Handler):
    """A handler of the standard library's logging.

    :param stream: where the lines go.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream = stream
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._ended = threading.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, or drop it where the buffer is full."""
        failure = record.levelno >= logging.WARNING
        limit = MAX_LINES if failure else MAX_LINES - KEPT_FOR_FAILURES
        if len(self._lines) >= limit:
            self._dropped += 1
            return
        self._lines.append(_with_time(record))

    def run(self) -> None:
        """Write lines until ``close``; the task of one thread."""
        while not self._ended.wait(FLUSH_SECONDS):
            self.write_out()

    def write_out(self) -> None:
        """Write what is there."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(f'{{"name":"lines_dropped","count":{dropped}}}')
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()

    def close(self) -> None:
        """End ``run``."""
        self._ended.set()
        super().close()


def log_lines_to(stream: TextIO = sys.stdout) -> LineWriter:
    """Have absl's log lines written to a stream; return the writer, not yet running."""
    writer = LineWriter(stream)
    logger = logging.getLogger("absl")
    logger.handlers = [writer]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return writer


def _with_time(record: logging.LogRecord) -> str:
    """Return an event's line with the calendar time, which only people compare."""
    message = record.getMessage()
    if message.startswith("{"):
        return f'{{"at":{record.created:.3f},{message[1:]}'
    return message
