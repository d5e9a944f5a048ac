"""Callers that don't read their answers, and a client account that sends too much."""

import contextlib
import itertools
import re
import socket
import threading
import time
from pathlib import Path

from tests.soak.callers import CALL_SECONDS, CallerHabit, Callers, Told
from tests.standins.memory_site import SMALL_BUFFER, MemoryServer
from tests.standins.route_site import HOST, KEY

MEMORY_MB = 160
# Their answers are half as much again as an entry of this size may hold for others.
SILENT_CALLERS = 180
SILENT_KINDS = ("safe", "unsafe", "safe", "chat", "draft")
SEND_SECONDS = 2.0
BUSY_KEY = "busy-key-of-an-account-0123456789"
# A plain server refuses further calls while it has this many in hand. Three of them run
# 15 slow calls a second, half of what the busy account sends in a surge.
PLAIN_SLOTS = 4
# The busy account calls so often a second, with a thread for each call.
TYPICAL_CALLS = 4
SURGE_FACTOR = 8
BUSY = CallerHabit(BUSY_KEY, {"safe": ("slow",), "staged": ("ok",)}, 1.0, 0.0, 0.0)


class LimitedServer(MemoryServer):
    """A server with large answers that refuses calls beyond its slots."""

    def __init__(self, *arguments):
        """Start the server."""
        self.in_hand = 0
        super().__init__(*arguments)

    def request(self, sock, target, headers, body):
        """Run a request, or refuse it where all slots are in use."""
        with self.lock:
            full = self.kind == "plain" and self.in_hand >= PLAIN_SLOTS
            self.in_hand += not full
        if full:
            self.send(sock, headers, 503, b"", [("Not-Run", "1")], sealed=False)
            return
        try:
            super().request(sock, target, headers, body)
        finally:
            with self.lock:
                self.in_hand -= 1


class SilentCallers:
    """Callers that ask one entry for large answers and read nothing."""

    def __init__(self, site, name):
        """Take the entry; ``start`` begins."""
        self.told = []
        self._life = (name, site.lives[name])
        host, _, port = site.fields[name]["listen"]["front"].rpartition(":")
        self._address = (host, int(port))
        self._sockets = []
        self._sent = threading.Event()
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._call)

    def start(self):
        """Begin to call."""
        self._thread.start()

    def wait_sent(self):
        """Wait until all have called."""
        self._sent.wait(CALL_SECONDS)

    def end(self):
        """Call no more; ``stop`` waits for it."""
        self._ending.set()

    def stop(self):
        """Close all connections; return whether that was done in time."""
        self.end()
        self._thread.join(2 * SEND_SECONDS)
        return not self._thread.is_alive()

    def _call(self):
        began = time.monotonic()
        kinds = itertools.islice(itertools.cycle(SILENT_KINDS), SILENT_CALLERS)
        sent = []
        for kind in kinds:
            if self._ending.is_set():
                break
            # An entry that is paused or killed takes no call.
            with contextlib.suppress(OSError):
                sent.append((kind, self._send(kind)))
        self._sent.set()
        self._ending.wait()
        for sock in self._sockets:
            sock.close()
        ended = time.monotonic()
        self.told = [
            Told(
                i,
                kind,
                "large",
                0,
                self._life,
                began,
                ended,
                0,
                False,
                b"",
                False,
                True,
            )
            for kind, i in sent
        ]

    def _send(self, kind):
        request_id = f"s-{next(Callers.numbers)}"
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.settimeout(SEND_SECONDS)
        sock.connect(self._address)
        lines = (
            f"POST /{kind}/large HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {int(CALL_SECONDS * 1000)}",
            f"Authorization: Bearer {KEY}",
            "Content-Length: 0",
        )
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        return request_id


class Crowds:
    """The callers that strikes and calm times have started beside the usual ones."""

    def __init__(self):
        """Begin without any."""
        self._begun = []

    @property
    def told(self):
        """What they were told."""
        return [one for crowd in self._begun for one in crowd.told]

    def begin(self, crowd):
        """Start callers; return what ends them."""
        self._begun.append(crowd)
        crowd.start()
        return crowd.end

    def end(self):
        """Call no more; ``stop`` waits for it."""
        for crowd in self._begun:
            crowd.end()

    def stop(self):
        """Wait for all; return whether they ended in time."""
        self.end()
        return all([crowd.stop() for crowd in self._begun])


class MemoryPeaks:
    """The most memory that each life of each entry has used."""

    def __init__(self, site):
        """Begin without any."""
        self._site = site
        self._megabytes = {}

    @property
    def most(self):
        """The most of all, in MB."""
        return round(max(self._megabytes.values(), default=0.0))

    def note(self, name, pid):
        """Record what a process has used so far."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{pid}/status").read_text()
            # A process that ends has none any more.
            if found := re.search(r"VmHWM:\s+(\d+)", status):
                life = (name, self._site.lives[name])
                self._megabytes[life] = int(found.group(1)) / 1024

    def beyond(self, limit):
        """Return a line for each life that has used more than a limit in MB."""
        return [
            f"{life} used {used:.0f} MB of {limit}"
            for life, used in self._megabytes.items()
            if used > limit
        ]


def busy_callers(site, seed):
    """Return the callers of the busy account's typical demand."""
    return Callers(site, f"busy {seed}", TYPICAL_CALLS, BUSY)


def surge_callers(site, seed):
    """Return the callers that make the busy account's demand a surge."""
    count = (SURGE_FACTOR - 1) * TYPICAL_CALLS
    return Callers(site, f"surge {seed}", count, BUSY)
