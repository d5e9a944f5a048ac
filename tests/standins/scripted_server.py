"""A backend server that sends given bytes, whatever it is asked."""

import contextlib
import socket
import time

from tests.standins.listener import Listener
from tests.standins.route_server import RESET

RECEIVE_BYTES = 65_536
HOLD_SECONDS = 20.0
# Several times what a caller may take before it closes an answer without end.
MAX_REPEATED_BYTES = 256 * 1_048_576


class ScriptedServer:
    """Answers each connection with its script.

    A script has the bytes that are sent first, bytes that are repeated without end, the
    pause in seconds after each repeat, and what follows if nothing is repeated: "end",
    "reset", or "hold" for a connection that stays open.
    """

    def __init__(self):
        """Listen at a free port."""
        self.first = b""
        self.repeated = b""
        self.pause = 0.0
        self.then = "end"
        # How many bytes of a call are read before the script is sent.
        self.reads = 0
        self.calls = 0
        # How often the repeated bytes were sent, and the connections that have ended.
        self.repeats = 0
        self.ended = 0
        self.listener = Listener(self.serve)
        self.address = self.listener.address

    def script(self, first, repeated=b"", pause=0.0, then="end"):
        """Set what is sent from now on."""
        self.first, self.repeated = first, repeated
        self.pause, self.then = pause, then

    def serve(self, sock):
        """Send the script to the calls of one connection."""
        with contextlib.suppress(OSError):
            sock.settimeout(HOLD_SECONDS)
            while data := sock.recv(RECEIVE_BYTES):
                self.calls += 1
                self.read_on(sock, self.reads - len(data))
                sock.sendall(self.first)
                self.repeat(sock)
                if self.then == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                if self.then != "hold":
                    break
        sock.close()
        self.ended += 1

    def read_on(self, sock, left):
        """Read the ``left`` bytes of a call that must be read before its answer."""
        while left > 0 and (data := sock.recv(RECEIVE_BYTES)):
            left -= len(data)

    def repeat(self, sock):
        """Send bytes until the caller closes."""
        left = MAX_REPEATED_BYTES
        while self.repeated and left > 0:
            sock.sendall(self.repeated)
            self.repeats += 1
            left -= len(self.repeated)
            time.sleep(self.pause)

    def close(self):
        """Stop listening and end all connections."""
        self.listener.close()
        for sock in self.listener.accepted:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
