"""A stand-in for the network between entries: TCP relays that drop by pair of entries.

Each entry is published under its relay's port in place of its own peer port. A relay
learns who connects from the first message, which names its sender, and asks the
network whether the two may hear one another. A dropped connection stays open and
carries nothing, as behind a switch that loses everything; after the heal it is closed,
so that both sides connect anew.
"""

import contextlib
import socket
import threading

import msgspec

ADDRESS = "127.0.0.1"
GREETING_BYTES = 8
LENGTH_BYTES = 8
REQUEST_ID_BYTES = 4
READ_BYTES = 65536
SENDER_FIELD = 2


class PartitionedNetwork:
    """Relays between entries; ``split`` drops between groups, ``heal`` ends it."""

    def __init__(self, peer_ports, loses=lambda sender, receiver: False):
        """Take the real peer ports by entry name; a context manager.

        :param loses: tells whether the bytes that one entry sends to another are lost,
            whichever of the two has connected.
        """
        self._dropped = set()
        self.loses = loses
        self._lock = threading.Lock()
        self._connections = set()
        self._listeners = []
        self.ports = {}
        # Entries that forward by published routes name themselves by their address.
        self._names = {}
        for name, port in peer_ports.items():
            listener = socket.create_server((ADDRESS, 0), backlog=64)
            self._listeners.append(listener)
            self.ports[name] = listener.getsockname()[1]
            self._names[f"{ADDRESS}:{self.ports[name]}"] = name
            self._run(self._accept, listener, name, port)

    def split(self, *groups):
        """Drop everything between entries of different groups, both ways."""
        pairs = {
            (a, b)
            for group in groups
            for a in group
            for other in groups
            if other is not group
            for b in other
        }
        self.drop(*pairs)

    def drop(self, *pairs):
        """Drop what the first of each pair asks of the second, and the answers."""
        with self._lock:
            self._dropped |= set(pairs)

    def heal(self):
        """Let everything through again."""
        with self._lock:
            self._dropped.clear()
        self.close_stuck()

    def close_stuck(self):
        """Close the connections that carry nothing any more."""
        with self._lock:
            stuck = [c for c in self._connections if c.stuck]
        for connection in stuck:
            connection.close()

    def name(self, sender):
        """Return the name of an entry, given what it calls itself in its messages."""
        return self._names.get(sender, sender)

    def passes(self, source, target):
        """Return whether one entry's messages reach another."""
        return (source, target) not in self._dropped

    def forget(self, connection):
        """Take that a connection is over."""
        with self._lock:
            self._connections.discard(connection)

    def close(self):
        """End every relay."""
        for listener in self._listeners:
            listener.close()
        for connection in list(self._connections):
            connection.close()

    def __enter__(self):
        """Return the network."""
        return self

    def __exit__(self, *_):
        """End every relay."""
        self.close()

    def _accept(self, listener, target, port):
        while True:
            try:
                near, _ = listener.accept()
                far = socket.create_connection((ADDRESS, port))
            except OSError:
                if listener.fileno() < 0:
                    return
                near.close()
                continue
            connection = _Connection(self, target, near, far)
            with self._lock:
                self._connections.add(connection)
            self._run(connection.forward)
            self._run(connection.backward)

    def _run(self, function, *arguments):
        threading.Thread(target=function, args=arguments, daemon=True).start()


class _Connection:
    """One connection from an entry to a relay and on to another entry."""

    def __init__(self, network, target, near, far):
        self.network = network
        self.target = target
        self.near = near
        self.far = far
        self.source = None
        self.stuck = False

    def forward(self):
        """Pass on what the connecting entry sends."""
        seen = b""
        held = b""
        while data := self._read(self.near):
            if self.source is None:
                seen += data
                sender = first_sender(seen)
                self.source = sender and self.network.name(sender)
                greeting_only = len(seen) <= GREETING_BYTES
                if self.source is None and not greeting_only:
                    held += data
                    continue
                data, held = held + data, b""
            self._pass(data, self.far, self.source, self.target)
        self.close()

    def backward(self):
        """Pass on the answers."""
        while data := self._read(self.far):
            self._pass(data, self.near, self.target, self.source)
        self.close()

    def close(self):
        """Close both ends."""
        self.network.forget(self)
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _read(self, sock):
        try:
            return sock.recv(READ_BYTES)
        except OSError:
            return b""

    def _pass(self, data, sock, sender, receiver):
        network = self.network
        if self.source and (
            not network.passes(self.source, self.target)
            or network.loses(sender, receiver)
        ):
            self.stuck = True
        if self.stuck:
            return
        try:
            sock.sendall(data)
        except OSError:
            self.close()


def first_sender(data):
    """Return the sender of the first whole message in a stream, None before it."""
    start = GREETING_BYTES + LENGTH_BYTES
    if len(data) < start:
        return None
    length = int.from_bytes(data[GREETING_BYTES:start], "big")
    if len(data) < start + length:
        return None
    envelope = data[start + REQUEST_ID_BYTES : start + length]
    return msgspec.msgpack.decode(envelope)[SENDER_FIELD]
