"""Crowds of callers that send and read as no caller of the deployments does.

One thread drives all callers of a crowd. A caller whose connection ends opens another
one, so that closing a connection alone doesn't end a crowd.
"""

import itertools
import socket
import struct
import threading
from dataclasses import dataclass

STEP_SECONDS = 0.01
# What the kernel receives for a caller that doesn't read, and for one that does.
SMALL_BUFFER_BYTES, LARGE_BUFFER_BYTES = 4_096, 262_144
READ_BYTES = 262_144
# A caller connects again this many steps after its connection ended.
PAUSE_STEPS = 20
RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class Manners:
    """How the callers of a crowd behave.

    ``sends`` returns the bytes that a caller sends on its connection of a given number.
    """

    sends: object
    # Whether those bytes are sent without end.
    endless: bool = False
    # The bytes sent in each step, and read in each step; None for all that there are.
    sends_in_step: int | None = None
    reads_in_step: int | None = None
    # The bytes after which a caller reads nothing any more; None to read on.
    reads_at_most: int | None = 0
    buffer_bytes: int = SMALL_BUFFER_BYTES
    # The steps after which a caller leaves its connection unread, and opens another
    # one; None to stay.
    leaves_after: int | None = None
    # The steps after which a caller resets its connection; None for never.
    resets_after: int | None = None
    # Whether a caller closes its sending direction once everything is sent.
    half_closes: bool = False


class CrowdCaller:
    """One caller of a crowd, on one connection after the other."""

    numbers = itertools.count()

    def __init__(self, address, manners):
        """Take the address to connect to; nothing is opened yet."""
        host, _, port = address.rpartition(":")
        self.address, self.manners = (host, int(port)), manners
        self.sock = None
        # Connections that were left without being read or closed.
        self.left = []
        self.pause = 0
        self.bytes_read = self.bytes_sent = 0

    def step(self):
        """Send and read as far as the manners and the entry let the caller."""
        if self.sock is None and not self.connect():
            return
        manners = self.manners
        try:
            self.send(manners)
            self.read(manners)
        except BlockingIOError:
            pass
        except OSError:
            self.end()
            return
        self.steps += 1
        if manners.leaves_after is not None and self.steps >= manners.leaves_after:
            self.left.append(self.sock)
            self.sock = None
        if manners.resets_after is not None and self.steps >= manners.resets_after:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.end()

    def connect(self):
        """Open the next connection; return whether there is one."""
        self.pause -= 1
        if self.pause > 0:
            return False
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.manners.buffer_bytes)
        sock.setblocking(False)
        # The listener's backlog may be full: the kernel goes on trying.
        sock.connect_ex(self.address)
        self.sock = sock
        self.rest = self.manners.sends(next(self.numbers))
        self.had = self.steps = 0
        return True

    def send(self, manners):
        """Send some of what is left to send."""
        if not self.rest and manners.endless:
            self.rest = manners.sends(next(self.numbers))
        if not self.rest:
            return
        try:
            sent = self.sock.send(self.rest[: manners.sends_in_step])
        except BlockingIOError:
            return
        self.bytes_sent += sent
        self.rest = self.rest[sent:]
        if manners.half_closes and not self.rest:
            self.sock.shutdown(socket.SHUT_WR)

    def read(self, manners):
        """Read some of the answers."""
        most = manners.reads_at_most
        left = READ_BYTES if most is None else most - self.had
        size = min(left, manners.reads_in_step or READ_BYTES)
        if size <= 0:
            return
        data = self.sock.recv(size)
        if not data:
            raise OSError("end")
        self.had += len(data)
        self.bytes_read += len(data)

    def end(self):
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
        self.sock, self.pause = None, PAUSE_STEPS

    def close(self):
        """Close all connections."""
        self.end()
        for sock in self.left:
            sock.close()


class Crowd:
    """Callers with the same manners at one address."""

    def __init__(self, address, count, manners):
        """Begin to press."""
        self.callers = [CrowdCaller(address, manners) for _ in range(count)]
        self.steps = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.press, daemon=True)
        self.thread.start()

    @property
    def bytes_read(self):
        """The bytes of answers that the callers have read."""
        return sum(caller.bytes_read for caller in self.callers)

    def press(self):
        """Have each caller take one step after the other."""
        while not self.ended.is_set():
            for caller in self.callers:
                caller.step()
            self.steps += 1
            self.ended.wait(STEP_SECONDS)

    def close(self):
        """End the crowd and its connections."""
        self.ended.set()
        self.thread.join()
        for caller in self.callers:
            caller.close()
