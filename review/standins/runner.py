"""What the stand-ins of runners share: connections, heads, places and identity.

A runner serves one request at a time on a connection, echoes ``Request-Id``, answers
421 to a request for another instance, and turns a request away with ``Not-Run`` when
all places are taken and its queue is full.
"""

import contextlib
import http.client
import socket
import threading

from review.standins.records import Recorder

__all__ = ["Call", "Runner"]

MAX_BACKLOG = 256
# How long a connection may be idle. The answers announce it.
IDLE_SECONDS = 15


class Call:
    """One request on a connection.

    :ivar method: the HTTP method.
    :ivar target: path and query.
    :ivar headers: the headers, looked up without regard to case.
    :ivar body: the whole body.
    """

    def __init__(self, sock, method, target, headers, body):
        self.sock, self.method, self.target = sock, method, target
        self.headers, self.body = headers, body

    @property
    def request_id(self):
        """The id that the request carries; empty for none."""
        return self.headers.get("Request-Id", "")

    def head(self, status, more=(), length=None):
        """Return the bytes of an answer's head.

        :param length: the body's length; None for an answer that ends with its channel.
        """
        lines = [f"HTTP/1.1 {status} Answer"]
        if self.request_id:
            lines.append(f"Request-Id: {self.request_id}")
        lines += [f"{name}: {value}" for name, value in more]
        if length is None:
            lines.append("Connection: close")
        else:
            lines.append(f"Content-Length: {length}")
            lines.append(f"Keep-Alive: timeout={IDLE_SECONDS}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def answer(self, status, body=b"", more=()):
        """Send a whole answer with its length."""
        self.sock.sendall(self.head(status, more, len(body)) + body)


class Runner:
    """A runner; a subclass defines ``serve_call``.

    :param spec: ``identity``, ``address``, ``slots``, ``queue`` and ``log``.
    """

    def __init__(self, spec):
        self.identity = spec["identity"]
        self.record = Recorder(spec["log"], self.identity)
        self._places = threading.Semaphore(spec["slots"])
        self._slots, self._most = spec["slots"], spec["slots"] + spec["queue"]
        self._taken = 0
        self._lock = threading.Lock()
        host, _, port = spec["address"].rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=MAX_BACKLOG)

    @property
    def waiting(self):
        """How many requests wait for a place."""
        return max(0, self._taken - self._slots)

    @property
    def working(self):
        """Whether any request has a place."""
        return self._taken > 0

    def run(self):
        """Accept connections until the process is ended."""
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def serve_call(self, call):
        """Answer a request; return False to close the connection."""
        raise NotImplementedError

    def before_answer(self, sock):
        """Do what happens where the next answer on a connection is expected."""

    def closed(self, sock):
        """Forget what belongs to a connection."""

    @contextlib.contextmanager
    def place(self):
        """Wait for a place; yields False if the queue is full."""
        with self._lock:
            full = self._taken >= self._most
            self._taken += not full
        if full:
            yield False
            return
        try:
            with self._places:
                yield True
        finally:
            with self._lock:
                self._taken -= 1

    def _serve(self, sock):
        stream = sock.makefile("rb")
        try:
            sock.settimeout(IDLE_SECONDS)
            while line := stream.readline(65536):
                method, target, _ = line.decode("latin-1").split()
                headers = http.client.parse_headers(stream)
                body = stream.read(int(headers.get("Content-Length", 0)))
                sock.settimeout(None)
                self.before_answer(sock)
                if not self._answer(Call(sock, method, target, headers, body)):
                    return
                sock.settimeout(IDLE_SECONDS)
        except (OSError, ValueError):
            return
        finally:
            self.closed(sock)
            stream.close()
            sock.close()

    def _answer(self, call):
        expected = call.headers.get("Expect-Instance")
        if expected not in (None, self.identity):
            call.answer(421)
            return True
        if call.target == "/health":
            call.answer(200, more=[("Instance-Id", self.identity)])
            return True
        return self.serve_call(call)
