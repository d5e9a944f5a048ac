"""Readers of a process's log that go, stall, or read slowly."""

import fcntl
import os
import subprocess
import threading

READ_BYTES = 100
PAUSE_SECONDS = 0.1


class LogReader:
    """The reading end of a process's standard output and standard error.

    ``manner`` is one of ``MANNERS``.
    """

    def __init__(self, process, manner):
        """Take the place of the process's log."""
        self.reader, self.writer = os.pipe()
        process.streams = {"stdout": self.writer, "stderr": self.writer}
        self.ended = threading.Event()
        MANNERS[manner](self, process)

    def leave(self, process=None):
        """Close the reading end."""
        if self.reader is not None:
            os.close(self.reader)
        self.reader = None

    def fill(self, process=None):
        """Fill the pipe, as after much output that was not read."""
        flags = fcntl.fcntl(self.writer, fcntl.F_GETFL)
        fcntl.fcntl(self.writer, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        try:
            while True:
                os.write(self.writer, b"x" * READ_BYTES)
        except BlockingIOError:
            fcntl.fcntl(self.writer, fcntl.F_SETFL, flags)

    def close_output(self, process):
        """Have the process start without standard output and standard error."""
        shell = ["sh", "-c", 'exec "$@" >&- 2>&-', "sh"]
        process.command = [*shell, *process.command]
        process.streams = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}

    def read_slowly(self, process):
        """Read a little from a full pipe from time to time."""
        self.fill()
        threading.Thread(target=self.trickle, daemon=True).start()

    def trickle(self):
        """Read until the test ends."""
        while not self.ended.wait(PAUSE_SECONDS):
            os.read(self.reader, READ_BYTES)

    def close(self):
        """Close both ends."""
        self.ended.set()
        self.leave()
        os.close(self.writer)


MANNERS = {
    "has gone": LogReader.leave,
    "does not read": LogReader.fill,
    "closed the output before it": LogReader.close_output,
    "reads a little from time to time": LogReader.read_slowly,
}


class ReturningReader:
    """A reader of a named pipe, which may go and come back."""

    def __init__(self, process, folder):
        """Take the place of the process's log."""
        self.path = folder / "log.pipe"
        os.mkfifo(self.path)
        self.reader = None
        self.come()
        self.writer = os.open(self.path, os.O_WRONLY)
        process.streams = {"stdout": self.writer}

    def come(self):
        """Begin to read."""
        self.reader = os.open(self.path, os.O_RDONLY | os.O_NONBLOCK)

    def leave(self):
        """Close the reading end."""
        if self.reader is not None:
            os.close(self.reader)
        self.reader = None

    def read(self):
        """Return what there is to read."""
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b""

    def close(self):
        """Close both ends."""
        self.leave()
        os.close(self.writer)
