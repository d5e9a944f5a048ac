"""Writes to a descriptor without ever waiting for long for its reader.

A pipe whose reader does not read is full after 64 KB, and a write to it blocks. What is
not accepted in time stays with the caller of this module.
"""

import contextlib
import io
import os
import select
import stat
import sys
import time

__all__ = [
    "STANDARD_ERROR",
    "STANDARD_OUTPUT",
    "BoundedOutput",
    "complain",
    "open_standard_streams",
]

STANDARD_OUTPUT, STANDARD_ERROR = 1, 2
COMPLAINT_SECONDS = 0.5


class BoundedOutput:
    """Output to a descriptor.

    :param descriptor: stays in the mode that it has, since other processes may share
        it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)
        regular = False
        with contextlib.suppress(OSError):
            regular = stat.S_ISREG(os.fstat(descriptor).st_mode)
        # A pipe that accepts anything accepts as much without blocking.
        self._most_at_once = sys.maxsize if regular else select.PIPE_BUF

    def write(self, data: bytes, seconds: float) -> int:
        """Write data; return how many bytes were accepted in time.

        :raises OSError: if the reader has gone, or the descriptor is closed.
        """
        end = time.monotonic() + seconds
        rest = memoryview(data)
        while rest:
            left = max(0.0, end - time.monotonic())
            if not self._poller.poll(left * 1000):
                break
            accepted = os.write(self._descriptor, rest[: self._most_at_once])
            rest = rest[accepted:]
        return len(data) - len(rest)


class _BoundedText(io.TextIOBase):
    """A text stream that drops what its descriptor does not accept at once."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._output = BoundedOutput(descriptor)

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def write(self, text: str) -> int:
        """Write text, as far as it is accepted."""
        with contextlib.suppress(OSError):
            self._output.write(text.encode(errors="backslashreplace"), 0.0)
        return len(text)


def open_standard_streams() -> None:
    """Have no thread that prints wait for a reader, and open what is closed.

    A closed standard descriptor would be given to the next socket, and what is printed
    would be sent to a caller.
    """
    for descriptor in range(STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            # It can't be written to, so that lines count as lost.
            opened = os.open(os.devnull, os.O_RDONLY)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
    sys.stdout = _BoundedText(STANDARD_OUTPUT)
    sys.stderr = _BoundedText(STANDARD_ERROR)


def complain(text: str) -> None:
    """Write a line to standard error, if anybody reads it."""
    with contextlib.suppress(OSError, ValueError):
        data = f"{text}\n".encode(errors="backslashreplace")
        BoundedOutput(STANDARD_ERROR).write(data, COMPLAINT_SECONDS)
