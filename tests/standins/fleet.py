"""Starts a whole deployment of separate processes on loopback, and ends it.

Features, the demo and the benchmarks use it. Every process ends with the fleet, also
when the fleet's own process is interrupted.
"""

import ctypes
import hashlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins.answers import fingerprint

ADDRESS = "127.0.0.1"
PARENT_DEATH_SIGNAL = 1
START_SECONDS = 20
LISTENING_PORTS = range(10240, 32768)
PEER_KEY = "peer-key-of-the-tests"
OPERATOR_KEY = "operator-key-of-the-tests"
LIBC = ctypes.CDLL(None)


def reserve_ports(count):
    """Return sockets bound to ports that nothing else gets while they are open.

    A process may still listen on such a port, since listeners reuse addresses; two
    fleets can't be given the same one. The ports lie below those that the kernel gives
    to outgoing connections.
    """
    sockets = []
    for port in random.SystemRandom().sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        sock = socket.socket()
        try:
            sock.bind((ADDRESS, port))
        except OSError:
            sock.close()
            continue
        # Set after the bind, so that the bind itself shares a port with nobody.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.append(sock)
        if len(sockets) == count:
            break
    return sockets


def free_ports(count):
    """Return ports that nothing listens on now."""
    sockets = reserve_ports(count)
    try:
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def fetch(port, path, body=None, timeout=10, key=None):
    """Send a GET, or a POST where there is a body; return the JSON answer."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        content = None if body is None else json.dumps(body)
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        connection.request("GET" if body is None else "POST", path, content, headers)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def wait_until(condition, seconds=START_SECONDS, what="the condition"):
    """Wait until a condition holds; a refused connection counts as not yet."""
    until = time.monotonic() + seconds
    while True:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        if time.monotonic() > until:
            raise TimeoutError(f"{what} did not hold within {seconds} s")
        time.sleep(0.02)


@dataclass
class Process:
    """One process of the fleet."""

    name: str
    port: int
    command: list
    log: Path
    popen: subprocess.Popen = None
    extra: dict = field(default_factory=dict)
    # What takes the place of the log as standard output or standard error.
    streams: dict = field(default_factory=dict)

    @property
    def address(self):
        """Where the process listens, as ``address:port``."""
        return f"{ADDRESS}:{self.port}"

    def start(self):
        """Start the process; it ends with the thread that calls this."""
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                **{"stdout": log, "stderr": log, **self.streams},
                env=environment,
                preexec_fn=end_with_parent(),
            )

    def events(self):
        """Return the events that every life of the process has logged."""
        lines = self.log.read_text().splitlines()
        logged = [line for line in lines if '{"event"' in line]
        return [json.loads(line[line.index("{") :]) for line in logged]

    def signal(self, number):
        """Send a signal."""
        self.popen.send_signal(number)

    def freeze(self):
        """Pause the process, as a machine that sleeps does."""
        self.signal(signal.SIGSTOP)

    def wake(self):
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


def end_with_parent():
    """Return what a child calls first, so that it ends when this process ends."""
    parent = os.getpid()

    def begin():
        LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)
        if os.getppid() != parent:
            # The parent ended before the kernel was asked.
            os._exit(1)

    return begin


class Fleet:
    """A deployment: the platform, backend servers and entries."""

    def __init__(
        self,
        document,
        instances,
        entries=6,
        settings="",
        backend=None,
        backend_of=None,
        cuts=False,
    ):
        """Take the document and the servers as (name, service, kind, data centre).

        ``backend`` holds fields of every server's SPEC, ``backend_of`` by service.
        ``cuts`` says whether entries can be cut off from servers.
        """
        self.cuts = cuts
        self.document = document
        self.marks = itertools.count()
        self.folder = Path(tempfile.mkdtemp(prefix="boragestream-"))
        self.journal = self.folder / "runs.journal"
        self.reserved = reserve_ports(1 + len(instances) + 2 * entries)
        ports = (sock.getsockname()[1] for sock in self.reserved)
        self.settings = settings
        self.platform = self._process(
            "platform",
            next(ports),
            lambda p: ["-m", "tests.standins.platform", ADDRESS, str(p)],
        )
        self.servers = {}
        for name, service, kind, data_centre in instances:
            spec = {"name": name, "kind": kind, "address": ADDRESS, **(backend or {})}
            spec.update((backend_of or {}).get(service, {}))
            self._add_server(next(ports), spec, service, data_centre)
        centres = sorted({i[3] for i in instances})
        self.entries = {}
        for index in range(entries):
            name = f"entry-{index + 1}"
            centre = centres[index % len(centres)]
            self._add_entry(name, centre, next(ports), next(ports))

    def _process(self, name, port, arguments, **extra):
        command = [sys.executable, *arguments(port)]
        return Process(
            name, port, command, self.folder / f"{name}.log", None, dict(extra)
        )

    def _add_server(self, port, spec, service, data_centre):
        spec["port"] = port
        folder = self.folder / "faults" / service
        folder.mkdir(parents=True, exist_ok=True)
        spec.update(service=service, faults=str(folder), journal=str(self.journal))
        process = self._process(
            spec["name"],
            port,
            lambda _: ["-m", "tests.standins.backend", json.dumps(spec)],
            service=service,
            data_centre=data_centre,
            state="live",
            incarnation="1",
            peer_port=0,
        )
        self.servers[spec["name"]] = process

    def _add_entry(self, name, data_centre, port, peer_port):
        path = self.folder / f"{name}.toml"
        path.write_text(self._entry_settings(name, data_centre, port, peer_port))
        module = "boragestream.daemon.command"
        arguments = ["-m", module, str(path)]
        if self.cuts:
            self.cut_path(name).write_text("")
            bound = [f"127.0.7.{len(self.entries) + 1}", str(self.cut_path(name))]
            wrapper = "tests.standins.bound_entry"
            arguments = ["-m", wrapper, module, *bound, str(path)]
        process = self._process(
            name,
            port,
            lambda _: arguments,
            service="boragestream-entry",
            data_centre=data_centre,
            state="live",
            incarnation="",
            peer_port=peer_port,
        )
        self.entries[name] = process

    def cut_path(self, name):
        """Return the file that says to which servers an entry can't connect."""
        return self.folder / f"{name}.cut"

    def cut_off(self, names, mode):
        """Cut entries off from all servers; see ``tests.standins.bound_entry``."""
        addresses = " ".join(server.address for server in self.servers.values())
        for name in names:
            self.cut_path(name).write_text(f"{mode} {addresses}")

    def heal(self):
        """End all cuts."""
        for name in self.entries:
            self.cut_path(name).write_text("")

    def _entry_settings(self, name, data_centre, port, peer_port):
        platform = f"{ADDRESS}:{self.platform.port}"
        return f"""
[entry]
name = "{name}"
data_centre = "{data_centre}"
deployment = "{self.document["deployment"]}"
[caller]
address = "{ADDRESS}"
port = {port}
read_seconds = 5
[peer]
address = "{ADDRESS}"
port = {peer_port}
key = "{PEER_KEY}"
[operator]
key_digests = ["{hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}"]
[platform]
configuration = "{platform}"
instances = "{platform}"
{self.settings}
"""

    def __enter__(self):
        """Start everything and wait until every entry serves."""
        try:
            self.platform.start()
            self.wait_for_port(self.platform)
            self.publish(self.document)
            self.publish_instances()
            for process in [*self.servers.values(), *self.entries.values()]:
                process.start()
            for process in self.servers.values():
                self.wait_for_port(process)
            for process in self.entries.values():
                self.wait_for_entry(process)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        """End everything."""
        for process in [*self.entries.values(), *self.servers.values(), self.platform]:
            process.kill()
        for sock in self.reserved:
            sock.close()

    def wait_for_port(self, process):
        """Wait until a process accepts connections."""
        wait_until(
            lambda: socket.create_connection((ADDRESS, process.port), 1).close() or 1,
            what=f"{process.name} listening",
        )

    def wait_for_entry(self, process):
        """Wait until an entry has a document and the instance list."""
        wait_until(
            lambda: (
                self.status(process.name)["version"]
                and self.status(process.name)["servers"]
            ),
            what=f"{process.name} serving",
        )

    def wait_for_version(self, version, names=None, seconds=START_SECONDS):
        """Wait until entries, or all of them, have a version in force."""
        for name in self.entries if names is None else names:
            wait_until(
                lambda n=name: self.status(n)["version"] == version,
                seconds,
                f"{name} having version {version}",
            )

    def replace_server(self, name):
        """End a server and start another life of it at its address."""
        process = self.servers[name]
        process.kill()
        process.start()
        self.wait_for_port(process)
        process.extra["incarnation"] = "2"

    def in_progress(self, server):
        """Return how many calls a backend server has in progress."""
        return fetch(self.servers[server].port, "/load")["in_progress"]

    def status(self, name):
        """Return the status page of an entry."""
        return fetch(self.entries[name].port, "/v1/status", key=OPERATOR_KEY)

    def publish(self, document, index=None):
        """Publish a configuration document."""
        self._publish("/v1/document", document, index)

    def publish_instances(self, index=None, more=()):
        """Publish the instances of the fleet's processes, and more."""
        processes = [*self.servers.values(), *self.entries.values()]
        listed = [
            {"name": p.name, "address": ADDRESS, "port": p.port, **p.extra}
            for p in processes
            if p.extra["state"] != "gone"
        ]
        self._publish("/v1/instances", {"instances": [*listed, *more]}, index)

    def _publish(self, path, value, index):
        body = {"path": path, "value": value, "index": index}
        fetch(self.platform.port, "/standin/publish", body)

    def platform_calls(self, path):
        """Return how often a path of the platform was asked for."""
        return fetch(self.platform.port, "/standin/calls")["calls"].get(path, 0)

    def platform_mode(self, **mode):
        """Set how the platform misbehaves."""
        fetch(self.platform.port, "/standin/mode", mode)

    def inject(self, server, *faults):
        """Queue faults on a backend server."""
        fetch(self.servers[server].port, "/standin/faults", list(faults))

    def inject_call(self, service, text, *faults):
        """Have faults strike calls of one input, whichever server is called.

        Returns the files that wait; a server that takes a fault removes its file.
        """
        folder = self.folder / "faults" / service
        paths = []
        for fault in faults:
            path = folder / f"{fingerprint(text)}-{next(self.marks):06d}.json"
            path.with_suffix(".new").write_text(json.dumps(fault))
            path.with_suffix(".new").rename(path)
            paths.append(path)
        return paths

    def runs(self):
        """Return the run counts of every backend server that answers."""
        counts = {}
        for name, process in self.servers.items():
            if process.popen is not None and process.popen.poll() is None:
                counts[name] = fetch(process.port, "/standin/runs")
        return counts

    def addresses(self):
        """Return the addresses of the entries towards callers."""
        return tuple(p.address for p in self.entries.values())
