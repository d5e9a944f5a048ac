"""A whole site on the platform's forms: store and servers in threads, entries apart.

The entries' settings are made from the template that is deployed.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from tests.standins.fleet import Process, reserve_ports, wait_until
from tests.standins.route_server import RouteServer
from tests.standins.route_store import RouteStore

ADDRESS = "127.0.0.1"
TEMPLATE = Path(__file__).parents[2] / "deploy" / "entry.toml"
PLACEHOLDER = re.compile(r"\{\{([a-z_.@0-9]+)(\|json)?\}\}")
SECTION = re.compile(r"\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
KEY = "key-of-a-caller-0123456789"
HOST = "site.example"
# The headers of a caller that needs two pieces of the first stage, one of the second.
STAGED = {"Pieces": "2,1", "Piece_Key": "k"}
# How often a caller that is refused comes back.
RETURNS = 20
ZONES = ("hall-a", "hall-b", "hall-c")
# Of an entry that is not ready in time.
LOGGED_LINES = 5
REGIONS = {"hall-a": "valley", "hall-b": "hills", "hall-c": "valley"}
# What settings name where data centres are drained and cold servers are bounded.
DRAIN_BOUNDS = {"evacuate_ms": 5000, "cold_over": 1.5, "cold_slack": 5}


def fill(template, fields):
    """Fill a template's placeholders in."""

    def field(path):
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = dict(enumerate(found)).get(int(part))
            else:
                found = found.get(part)
            if found is None:
                return None
        return found

    def value(match):
        found = fields["."] if match.group(1) == "." else field(match.group(1))
        return json.dumps(found) if match.group(2) else str(found)

    def section(match):
        found, inner = field(match.group(1)), match.group(2)
        if found is None:
            return ""
        entries = found.items() if isinstance(found, dict) else [("", found)]
        return "".join(fill(inner, {**fields, "@": k, ".": v}) for k, v in entries)

    return PLACEHOLDER.sub(value, SECTION.sub(section, template))


def route(prefix, kind, service, **more):
    """Return a published route."""
    made = {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    }
    return {**made, **more}


def staged(**more):
    """Return the published stages of a chain of two."""
    return [
        {"service": "stage", "after": [], "bytes": 8000},
        {"service": "stage", "after": [0], "bytes": 8000},
    ]


def configuration(version=1, extra=(), without=(), keys=(KEY,)):
    """Return a published configuration."""
    routes = [
        route("/safe/", "safe", "plain"),
        route("/unsafe/", "unsafe", "plain", attempts=1),
        route("/public/", "safe", "plain", public=True),
        route("/chat/", "stream", "engine", resumable=True, timeout_ms=6000),
        route("/draft/", "stream", "engine", attempts=1, timeout_ms=6000),
        route(
            "/staged/",
            "stream",
            "engine",
            resumable=True,
            stages=staged(),
            timeout_ms=6000,
            goal_ms=3000,
        ),
        *extra,
    ]
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_ms": 50.0,
        "item_ms": 1.0,
        "headroom_mb": 40.0,
        "handle_s": 4.0,
        "link_mbps": 1000,
    }
    engine = {"slots": 8, "kv_cap_tokens": 1000, "handle_s": 5.0}
    return {
        "version": version,
        "routes": [r for r in routes if r["prefix"] not in without],
        "services": [
            {"name": "plain", "max_conns": 64, "health_path": "/health"},
            {
                "name": "engine",
                "max_conns": 64,
                "engine": engine,
                "cold_s": 3.0,
                "cold_per_s": 22.0,
            },
            {"name": "stage", "max_conns": 64, "pieces": pieces},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "account", "api_keys": list(keys), "priority": 1}],
    }


class Answer:
    """What a caller was given."""

    def __init__(self, status, headers, body, whole):
        """Take the parts."""
        self.status, self.headers, self.body = status, headers, body
        self.whole = whole

    @property
    def events(self):
        """The numbers of the events, in their order."""
        return [int(n) for n in re.findall(rb"^id: (\d+)\r?$", self.body, re.MULTILINE)]


class RouteSite:
    """The store, the servers and the entries."""

    numbers = iter(range(1, 1_000_000))

    def __init__(self, entries=1, drains=False, cuts=False, retry_slack=500):
        """Make everything; ``start`` starts the entries.

        ``drains`` says whether the settings name the bounds of draining, ``cuts``
        whether entries can be cut off from servers.
        """
        self.drains, self.cuts, self.retry_slack = drains, cuts, retry_slack
        # How entries are cut off, by the address from which they connect.
        self.cut_modes = {}
        self.folder = Path(tempfile.mkdtemp(prefix="route-site-"))
        self.store = RouteStore(ADDRESS)
        self.faults = set()
        self.servers = [
            self.make_server(kind, zone)
            for kind in ("plain", "engine", "stage")
            for zone in ZONES[:2]
        ]
        self.entries = {}
        self.fields = {}
        self.publish(configuration())
        for server in self.servers:
            server.when_back = self.list_again
            self.list(server)
        # Held until the site ends, so that no other site gets the same ports.
        self.reserved = reserve_ports(entries * 4)
        ports = iter([sock.getsockname()[1] for sock in self.reserved])
        for number in range(entries):
            self.add_entry(f"entry-{number}", ZONES[number % 3], ports)

    def add_entry(self, name, zone, ports):
        """Make an entry; the first one is everybody's seed."""
        hosts = iter(random.sample(range(1, 250), 1))
        kinds = ("front", "ready", "directory", "control")
        listen = {kind: f"{ADDRESS}:{next(ports)}" for kind in kinds}
        seed = next(iter(self.fields.values()), {"listen": listen})["listen"]["control"]
        self.fields[name] = {
            "node": name,
            "zone": zone,
            "zones": REGIONS,
            # The metrics' port is fixed, so that each entry has an address of its own.
            "ip": f"127.{os.getpid() % 200 + 20}.{len(self.fields)}.{next(hosts)}",
            "listen": listen,
            "seeds": [seed],
            "platform": {"addr": self.store.address},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": self.retry_slack,
                "grace_s": 4,
                "config_ms": 2000,
                "drain_ms": 2000,
                **(DRAIN_BOUNDS if self.drains else {}),
            },
            "limits": {
                "max_fds": 2048,
                "cpu_share": 0.5,
                "cores": 2,
                "link_mbps": 1000.0,
            },
        }
        module, settings = "boragestream.daemon.route_command", self.settings_path(name)
        command = [sys.executable, "-m", module, str(settings)]
        if self.cuts:
            self.cut_path(name).write_text("")
            wrapper = "tests.standins.bound_entry"
            bound = [self.fields[name]["ip"], str(self.cut_path(name))]
            command = [sys.executable, "-m", wrapper, module, *bound, str(settings)]
        port = int(listen["front"].rpartition(":")[2])
        log = self.folder / f"{name}.log"
        self.entries[name] = Process(name, port, command, log)
        self.write_settings(name)

    def cut_path(self, name):
        """Return the file that says to which servers an entry can't connect."""
        return self.folder / f"{name}.cut"

    def cut_off(self, names, mode, servers=None):
        """Cut entries off from all servers, or from some.

        Connects of the modes ``refused``, ``dark`` and ``kept`` fail at the entry.
        ``reset`` and ``silent`` are done by the servers, after they accepted. Open
        connections are reset, but swallow everything in ``silent`` and ``dark`` and
        live on in ``kept``.
        """
        servers = servers or self.servers
        for name in names:
            caller = self.fields[name]["ip"]
            if mode in ("refused", "dark", "kept"):
                addresses = " ".join(server.address for server in servers)
                self.cut_path(name).write_text(f"{mode} {addresses}")
            for server in servers:
                server.cuts.begin(caller, mode)
                if mode in ("refused", "reset"):
                    server.drop(caller)

    def heal(self):
        """End all cuts."""
        self.end_cuts(self.entries)

    def end_cuts(self, names):
        """End the cuts of some entries."""
        for name in names:
            self.cut_path(name).write_text("")
            for server in self.servers:
                server.cuts.end(self.fields[name]["ip"])

    def settings_path(self, name):
        """Return where an entry's settings lie."""
        return self.folder / f"{name}.toml"

    def write_settings(self, name):
        """Write an entry's settings from the template."""
        text = fill(TEMPLATE.read_text(), self.fields[name])
        self.settings_path(name).write_text(text)

    def start(self):
        """Start the entries and wait until all are ready and know each other."""
        for process in self.entries.values():
            process.start()
        for name in self.entries:
            self.wait_ready(name)
        count = len(self.entries)
        for name in self.entries:
            wait_until(lambda n=name: len(self.directory(n)) == count, what="members")

    def wait_ready(self, name):
        """Wait until an entry says that it is ready."""
        try:
            wait_until(lambda: self.ready(name) == 200, what=f"{name} is ready")
        except TimeoutError as error:
            code = self.entries[name].popen.poll()
            lines = self.log(name).splitlines()[-LOGGED_LINES:]
            raise TimeoutError(f"{error}; exit code {code}, log: {lines}") from error

    def close(self):
        """End everything."""
        for process in self.entries.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        for server in self.servers:
            server.close()
        self.store.close()
        for sock in self.reserved:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self, published):
        """Publish a configuration."""
        self.store.put("op/config", json.dumps(published).encode())

    def list(self, server, state="ready", cold_ms=0):
        """Publish a server's entry."""
        self.store.put(f"servers/{server.identity}", server.entry(state, cold_ms))

    def make_server(self, kind, zone):
        """Return a new server, which is not listed yet."""
        return RouteServer(ADDRESS, kind, kind, zone, self.faults)

    def add_server(self, kind, zone=ZONES[0], version="v1"):
        """Add a server of a kind, and list it; return it."""
        server = self.make_server(kind, zone)
        server.version = version
        server.when_back = self.list_again
        self.servers.append(server)
        self.list(server)
        return server

    def list_again(self, server, before):
        """Publish the new life of a server that crashed, in place of the one before."""
        self.store.put(f"servers/{before}", None)
        self.list(server)

    def crashes(self):
        """Return how many servers have crashed."""
        return sum(server.crashes for server in self.servers)

    def drain(self, *zones):
        """Order that zones are drained, and all others are not."""
        for zone in ZONES:
            key = f"op/evacuate/{zone}"
            if zone in zones:
                self.store.put(key, b"{}")
            elif key in self.store.items:
                self.store.put(key, None)

    def ask(self, name, kind, path):
        """Send a GET to one of an entry's addresses; return the connection's answer."""
        connection = http.client.HTTPConnection(
            self.fields[name]["listen"][kind], timeout=5
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def ready(self, name):
        """Return the status with which an entry says whether it is ready."""
        return self.ask(name, "ready", "/boragestream/ready")[0]

    def directory(self, name, region="r"):
        """Return the addresses that an entry tells callers."""
        path = f"/boragestream/resolve?name={HOST}&region={region}&zone=hall-a"
        status, body = self.ask(name, "directory", path)
        return json.loads(body)["addrs"] if status == 200 else []

    def call(self, path, method="POST", body=b"hello", entry="entry-0", **headers):
        """Send a request; return the answer, whole or not."""
        request_id = headers.pop("request_id", None) or f"r-{next(self.numbers)}"
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        sent = {name: value for name, value in sent.items() if value is not None}
        address = self.fields[entry]["listen"]["front"]
        connection = http.client.HTTPConnection(address, timeout=10)
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            body, whole = self.read(response)
            answer = Answer(response.status, response.headers, body, whole)
        finally:
            connection.close()
        answer.request_id = request_id
        return answer

    def call_again(self, path, *request, **headers):
        """Send a request again while it is refused; return the last answer."""
        for _ in range(RETURNS):
            answer = self.call(path, *request, **headers)
            if answer.status != 503:
                break
            time.sleep(float(answer.headers["Retry-After"]))
        return answer

    @staticmethod
    def read(response):
        """Return a body as far as it came, and whether it is whole.

        A body that ends before its announced length raises nothing when read by parts.
        """
        body = b""
        try:
            while data := response.read1(65536):
                body += data
        except (http.client.HTTPException, OSError):
            return body, False
        return body, not response.length

    def runs(self, request_id):
        """Return how often a request ran, at all servers together."""
        return sum(server.runs[request_id] for server in self.servers)

    def of_kind(self, kind):
        """Return the servers of a kind."""
        return [server for server in self.servers if server.kind == kind]

    def piece_counts(self):
        """Return how often each piece was made, at all servers together."""
        return sum((server.pieces for server in self.of_kind("stage")), Counter())

    def log(self, name="entry-0"):
        """Return what an entry has logged."""
        return (self.folder / f"{name}.log").read_text()

    def events(self, name="entry-0", kind=None):
        """Return the events that an entry has logged, all or those of one kind."""
        lines = [line for line in self.log(name).splitlines() if line.startswith("{")]
        events = [json.loads(line) for line in lines]
        return [event for event in events if kind in (None, event["name"])]

    def signal(self, name, number):
        """Send a signal to an entry."""
        self.entries[name].popen.send_signal(number)

    def at_once(self, count, work):
        """Do some work in several threads; return the results."""
        results = [None] * count

        def one(index):
            results[index] = work(index)

        threads = [threading.Thread(target=one, args=(i,)) for i in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def kill(self, name):
        """Kill an entry and start it again."""
        self.signal(name, signal.SIGKILL)
        self.entries[name].popen.wait()

    @staticmethod
    def wait(seconds):
        """Let time pass."""
        time.sleep(seconds)
