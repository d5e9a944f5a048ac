"""A site before servers with long answers, whose entries have little of everything."""

import sys
import time

from tests.standins.held_memory import MEGABYTE, HeldMemory
from tests.standins.route_server import RouteServer
from tests.standins.route_site import ADDRESS, HOST, KEY, RouteSite
from tests.standins.route_site import configuration as base_configuration

LONG_BYTES = 4_000_000
EVENT_BYTES = 8_000
EVENTS = 1_000
BODY_BYTES = 8 * MEGABYTE
MEMORY_MB = 128
DESCRIPTORS = 1_400
THREADS = 64
# No route ends a request of a crowd before its own deadline.
TIMEOUT_MS = 60_000
# An ordinary caller returns so often, each time when it was told to.
RETURNS = 12
PAUSE_SECONDS = 0.25


def run_on_small_machine(process, megabytes, descriptors):
    """Have a process run on a small machine; see ``tests.standins.small_machine``."""
    module, settings = process.command[-2:]
    wrapper = ["-m", "tests.standins.small_machine", module]
    machine = [str(megabytes), str(descriptors)]
    process.command = [sys.executable, *wrapper, *machine, settings]


class LongServer(RouteServer):
    """A plain server or engine; some paths ask for a long answer or stream.

    ``long_path`` is the last part of such a path.
    """

    long_path = "long"
    long_bytes, long_events = LONG_BYTES, EVENTS

    def answer(self, sock, headers, fault, body):
        """Send a long answer where the path asks for it."""
        if fault == self.long_path:
            self.send(sock, headers, 200, b"x" * self.long_bytes)
        else:
            super().answer(sock, headers, fault, body)

    def stream(self, sock, headers, fault):
        """Send a long stream where the path asks for it."""
        if fault != self.long_path:
            super().stream(sock, headers, fault)
            return
        head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        self.send(sock, headers, 200, None, head)
        for number in range(1, self.long_events + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"w" * EVENT_BYTES)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")


class CrowdSite(RouteSite):
    """Entries with bounds on memory, descriptors and threads."""

    def __init__(self, entries=1, names_memory=True, cuts=False, descriptors=None):
        """Make everything.

        ``names_memory`` says whether the settings name the memory; without it, the
        entries run as on a machine with as much. ``descriptors`` are those that the
        system lets an entry open, if they are fewer than its settings name.
        """
        self.descriptors = descriptors or DESCRIPTORS
        super().__init__(entries, cuts=cuts)
        published = base_configuration()
        published["limits"]["max_body_bytes"] = BODY_BYTES
        for route in published["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        for service in published["services"]:
            service["max_conns"] = 512
        self.published = published
        self.publish(published)
        limits = {"max_fds": DESCRIPTORS, "memory_mb": MEMORY_MB}
        if not names_memory:
            del limits["memory_mb"]
        for name in self.entries:
            self.fields[name]["limits"].update(limits)
            self.write_settings(name)
            if not cuts:
                machine = (0 if names_memory else MEMORY_MB, self.descriptors)
                run_on_small_machine(self.entries[name], *machine)
        self.followed = {}

    def make_server(self, kind, zone):
        """Return a new server, which is not listed yet."""
        return LongServer(ADDRESS, kind, kind, zone, self.faults)

    def write_settings(self, name):
        """Write an entry's settings, with few threads."""
        super().write_settings(name)
        path = self.settings_path(name)
        text = path.read_text()
        table = "[resources]\n"
        path.write_text(text.replace(table, f"{table}threads = {THREADS}\n"))

    def start(self):
        """Start the entries, and follow what they hold."""
        super().start()
        servers = [int(s.address.rpartition(":")[2]) for s in self.servers]
        for name, process in self.entries.items():
            ports = [
                int(address.rpartition(":")[2])
                for address in self.fields[name]["listen"].values()
            ]
            self.followed[name] = HeldMemory(process.popen.pid, ports, servers)

    def close(self):
        """End everything."""
        for name, followed in self.followed.items():
            followed.close()
            print(f"{name} held at the most: {followed.describe()}")
        super().close()

    def lives(self, name):
        """Return whether an entry's process lives."""
        return self.entries[name].popen.poll() is None

    def address(self, kind, name="entry-0"):
        """Return one of an entry's addresses."""
        listen = self.fields[name]["listen"]
        if kind == "metrics":
            return f"{self.fields[name]['ip']}:9464"
        return listen[{"callers": "front"}.get(kind, kind)]

    def request(self, path, number, length=None, method="POST", more=(), wait_ms=None):
        """Return the head of a request as bytes."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {number if isinstance(number, str) else f'crowd-{number}'}",
            f"Authorization: Bearer {KEY}",
            *([] if length is None else [f"Content-Length: {length}"]),
            *([] if wait_ms is None else [f"Deadline-Ms: {wait_ms}"]),
            *more,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def serve_ordinary(self, name="entry-0", path="/safe/ok"):
        """Return whether a caller is answered that comes back when it is told to.

        :raises AssertionError: if a refusal says anything untrue.
        """
        for _ in range(RETURNS):
            try:
                answer = self.call(path, entry=name)
            except TimeoutError:
                # It takes no more time than an ordinary caller has.
                return False
            except OSError:
                time.sleep(PAUSE_SECONDS)
                continue
            if answer.status == 200 and answer.whole:
                assert self.runs(answer.request_id) == 1
                return True
            if answer.status in (429, 503):
                assert self.runs(answer.request_id) == 0, "a refused request ran"
                time.sleep(float(answer.headers["Retry-After"]))
            else:
                time.sleep(PAUSE_SECONDS)
        return False
