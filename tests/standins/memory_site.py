"""A site of one entry with bounded memory, before servers with large answers."""

import contextlib
import re
import socket
import threading
from pathlib import Path

from tests.standins.crowd_site import LongServer
from tests.standins.route_site import ADDRESS, HOST, KEY, ZONES, RouteSite
from tests.standins.route_site import configuration as base_configuration

BODY_BYTES = 8 * 1_048_576
# More than the kernel keeps of a connection on both sides.
LARGE_BYTES = 400_000
EVENTS = 100
SMALL_BUFFER = 4096
# Longer than a server may leave a call unread.
TIMEOUT_MS = 10_000
SECONDS = 30
SAMPLE = re.compile(r"^(boragestream_memory\w+|\w+abandoned_total)(\S*) (\S+)$", re.M)


class MemoryServer(LongServer):
    """A plain server or engine with large answers, or one that does not read calls.

    The last part of the path ``large`` asks for a large answer, ``unread`` for a server
    that stops reading the call, once for each request.
    """

    long_path = "large"
    long_bytes, long_events = LARGE_BYTES, EVENTS

    def __init__(self, *arguments):
        """Start the server."""
        self.let_go = threading.Event()
        super().__init__(*arguments)

    def serve(self, sock):
        """Answer calls, unless the first one is to stay unread."""
        head = sock.recv(65536, socket.MSG_PEEK)
        line = head.partition(b"\r\n")[0].split()
        if len(line) == 3 and line[1].endswith(b"/unread"):
            found = re.search(rb"(?i)request-id: (\S+)", head)
            key = ("unread", found and found.group(1))
            with self.lock:
                strikes = key not in self.struck
                self.struck.add(key)
            if strikes:
                self.let_go.wait(SECONDS)
                sock.close()
                return
        super().serve(sock)


class MemorySite(RouteSite):
    """One entry with a memory limit."""

    def __init__(self, memory_mb):
        """Make everything, with servers of its own kind."""
        super().__init__(1)
        for server in self.of_kind("plain") + self.of_kind("engine"):
            self.store.put(f"servers/{server.identity}", None)
            server.close()
        self.servers = self.of_kind("stage")
        for kind in ("plain", "engine"):
            for zone in ZONES[:2]:
                server = MemoryServer(ADDRESS, kind, kind, zone, self.faults)
                server.when_back = self.list_again
                self.servers.append(server)
                self.list(server)
        published = base_configuration()
        published["limits"]["max_body_bytes"] = BODY_BYTES
        for published_route in published["routes"]:
            published_route["timeout_ms"] = TIMEOUT_MS
        self.publish(published)
        limits = {"max_fds": 4100, "memory_mb": memory_mb}
        self.fields["entry-0"]["limits"].update(limits)
        self.write_settings("entry-0")

    def close(self):
        """Let servers that do not read go on, and end everything."""
        for server in self.of_kind("plain"):
            server.let_go.set()
        super().close()

    def memory(self):
        """Return the entry's metrics of memory: by kind, and by name."""
        text = self.ask("entry-0", "ready", "/metrics")[1].decode()
        found = {}
        for name, labels, value in SAMPLE.findall(text):
            kind = re.search(r'kind="(\w+)"', labels)
            key = kind.group(1) if kind else name.removeprefix("boragestream_")
            found[key] = float(value)
        return found

    def in_hand(self):
        """Return how many requests occupy a thread of the entry."""
        text = self.ask("entry-0", "ready", "/metrics")[1].decode()
        return float(re.search(r"^boragestream_in_hand (\S+)$", text, re.M).group(1))

    def held(self):
        """Return the bytes that the entry holds for others."""
        memory = self.memory()
        return sum(memory[kind] for kind in ("request", "answer", "output", "peer"))

    def resident_mb(self):
        """Return the resident memory of the entry's process."""
        pid = self.entries["entry-0"].popen.pid
        status = Path(f"/proc/{pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024

    def head(self, path, length=None, method="POST", wait_ms=5000, **more):
        """Return the head of a request as bytes."""
        headers = {
            "Host": HOST,
            "Request-Id": more.pop("request_id", f"m-{next(self.numbers)}"),
            "Deadline-Ms": str(wait_ms),
            "Authorization": f"Bearer {KEY}",
            **({} if length is None else {"Content-Length": str(length)}),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{n}: {v}" for n, v in headers.items()),
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def connect(self, receive_bytes=None):
        """Open a caller's connection."""
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(SECONDS)
        host, _, port = self.fields["entry-0"]["listen"]["front"].rpartition(":")
        sock.connect((host, int(port)))
        return sock


def read_all(sock):
    """Return what a connection brings until its end, and whether it was reset."""
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionError:
        return data, True
    return data, False


def try_send(sock, data):
    """Send data as far as the other end lets it."""
    with contextlib.suppress(OSError):
        sock.sendall(data)
