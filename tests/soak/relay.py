"""A TCP relay on the loopback that delays, resets, silences or cuts one way."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum, auto

ADDRESS = "127.0.0.1"
READ_BYTES = 65536
CONNECT_SECONDS = 2.0
DELAY_SECONDS = 0.3
RESET = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """What a relay does to its connections."""

    # All bytes arrive late.
    DELAY = auto()
    # Open connections are reset, new ones too.
    RESET = auto()
    # Nothing that the connecting side sends arrives; its connections hang.
    CUT_THERE = auto()
    # Nothing comes back to the connecting side.
    CUT_BACK = auto()
    # Nothing passes either way.
    SILENT = auto()
    # Connections that are open now carry nothing any more; new ones work.
    STALE = auto()


class Relay:
    """Passes connections on to one address."""

    def __init__(self, target, loses=lambda port, there: False):
        """Listen.

        :param target: ``address:port``.
        :param loses: tells whether bytes are lost on the way there, or back, on the
            connection from a port of the connecting side, whatever the relay's fault.
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.loses = loses
        self._fault = None
        self._lock = threading.Lock()
        self._connections = set()
        # The connecting sides' ports of connections on which bytes were lost.
        self._lost_ports = set()
        self._listener = socket.create_server((ADDRESS, 0), backlog=256)
        self.address = f"{ADDRESS}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def fault(self):
        """What it does now; None for passing everything on."""
        return self._fault

    def strike(self, fault):
        """Begin a fault."""
        with self._lock:
            self._fault = fault
            struck = list(self._connections)
        for connection in struck:
            if fault is LinkFault.RESET:
                connection.close(reset=True)
            elif fault is LinkFault.STALE:
                connection.stale = True

    def heal(self):
        """End the fault; what bytes were lost on is reset, as real links do."""
        with self._lock:
            self._fault = None
        self.reset_lost()

    def reset_lost(self):
        """Reset the connections on which bytes were lost."""
        with self._lock:
            lost = [c for c in self._connections if c.lost]
        for connection in lost:
            connection.close(reset=True)

    def close(self):
        """End everything."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def lost(self, port):
        """Tell whether bytes were lost on the connection from a port."""
        with self._lock:
            return port in self._lost_ports

    def note_lost(self, port):
        """Take that bytes are lost on the connection from a port."""
        with self._lock:
            self._lost_ports.add(port)

    def forget(self, connection):
        """Take that a connection is over."""
        with self._lock:
            self._connections.discard(connection)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near):
        if self._fault is LinkFault.RESET:
            reset(near)
            return
        try:
            far = socket.create_connection(self._target, CONNECT_SECONDS)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(self, near, far)
        with self._lock:
            self._connections.add(connection)
        threading.Thread(target=connection.pass_there, daemon=True).start()
        connection.pass_back()


class _Connection:
    """One connection; two threads pass its bytes on."""

    def __init__(self, relay, near, far):
        self.relay, self.near, self.far = relay, near, far
        self.port = near.getpeername()[1]
        self.stale = False
        self.lost = False

    def pass_there(self):
        """Pass on what the connecting side sends."""
        self._pass(self.near, self.far, LinkFault.CUT_THERE)

    def pass_back(self):
        """Pass on what the other side sends."""
        self._pass(self.far, self.near, LinkFault.CUT_BACK)

    def close(self, reset=False):
        """Close both ends."""
        self.relay.forget(self)
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _pass(self, source, target, cut):
        try:
            while data := source.recv(READ_BYTES):
                fault = self.relay.fault
                if fault is LinkFault.DELAY:
                    time.sleep(DELAY_SECONDS)
                there = cut is LinkFault.CUT_THERE
                struck = self.stale or fault in (cut, LinkFault.SILENT)
                if struck or self.relay.loses(self.port, there):
                    self.lost = True
                    self.relay.note_lost(self.port)
                if not self.lost:
                    target.sendall(data)
        except OSError:
            self.close(reset=True)
            return
        # A side that has finished sending may still read.
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)
        if source is self.far:
            self.close()


def reset(sock):
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()
