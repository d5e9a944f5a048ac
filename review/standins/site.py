"""A small deployment on loopback: the platform's store, runners and daemons.

The daemons run as the deploy file says, with settings made from its template. Runners
and daemons are processes of their own; the store is the project's stand-in, in a
thread.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from tests.standins.fleet import end_with_parent, free_ports, wait_until
from tests.standins.route_site import fill
from tests.standins.route_store import RouteStore

__all__ = ["HOST", "KEY", "ListedRunner", "Site", "until"]

ROOT = Path(__file__).parents[2]
ADDRESS = "127.0.0.1"
HOST = "desk9.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
REGION = "my-selat"
ZONES = ("klang-zone", "melaka-zone", "penang-zone")
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 30
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "stages",
]


@dataclass
class ListedRunner:
    """A runner process and its entry in the store."""

    identity: str
    service: str
    zone: str
    address: str
    slots: int
    process: subprocess.Popen = None
    beats: int = 0
    silent: bool = False

    def entry(self):
        """Return its next entry, which differs from the last one by ``seq`` alone."""
        self.beats += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.beats,
            }
        ).encode()


class Site:
    """The deployment; use it as a context manager.

    :param configuration: what the operator publishes, less ``version``, ``limits`` and
        ``tenants``.
    :param daemons: how many daemons there are, in turn in each zone.
    """

    def __init__(self, configuration, daemons=3):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.logs = self.folder / "logs"
        self.logs.mkdir()
        self._random = random.Random()
        self.store = RouteStore(ADDRESS)
        # The pages name no eras.
        self.store.era = None
        self.runners = []
        self._daemons = {}
        self._fields = {}
        self._closing = threading.Event()
        published = {
            "version": 3,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            **configuration,
        }
        self.store.put("op/config", json.dumps(published).encode())
        self._add_daemons(daemons)

    def add_runner(self, module, service, number, slots, **spec):
        """Start a runner and list it; return it.

        :param module: the stand-in's module, for example ``app_runner``.
        :param number: its number, which gives its zone.
        """
        zone = ZONES[number % len(ZONES)]
        address = f"{ADDRESS}:{free_ports(1)[0]}"
        identity = f"i-{self._random.getrandbits(40):010x}"
        spec = {
            "identity": identity,
            "address": address,
            "slots": slots,
            "log": str(self.logs / f"{identity}.jsonl"),
            **spec,
        }
        runner = ListedRunner(identity, service, zone, address, slots)
        command = ["-m", f"review.standins.{module}", json.dumps(spec)]
        runner.process = self._spawn(command, self.folder / f"{identity}.log")
        host, _, port = address.rpartition(":")
        wait_until(lambda: _connects(host, int(port)), START_SECONDS, identity)
        self.runners.append(runner)
        self._list(runner)
        return runner

    def __enter__(self):
        """Start the daemons; return once all are ready and know each other."""
        try:
            for name in self._daemons:
                self._start_daemon(name)
            for name in self._daemons:
                what = f"{name} ready"
                wait_until(lambda n=name: self._ready(n), START_SECONDS, what)
            count = len(self._daemons)
            for name in self._daemons:
                wait_until(
                    lambda n=name: len(self._addresses(n)) == count,
                    START_SECONDS,
                    f"{name} knowing the others",
                )
        except BaseException:
            self.__exit__()
            raise
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def __exit__(self, *_):
        """End all processes."""
        self._closing.set()
        processes = [runner.process for runner in self.runners]
        processes += [process for process in self._daemons.values() if process]
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.store.close()

    def remove(self):
        """Remove the folder with the logs; call it once the record is written."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def resolve(self):
        """Return the daemons' addresses as one of them tells a client."""
        names = list(self._daemons)
        self._random.shuffle(names)
        for name in names:
            with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
                if addresses := self._addresses(name):
                    return addresses
        return []

    def daemon_log(self, name):
        """Return what a daemon wrote."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    @property
    def daemons(self):
        """The daemons' processes by name."""
        return self._daemons

    def _add_daemons(self, count):
        ports = iter(free_ports(4 * count))
        seeds = []
        for number in range(count):
            name = f"front-{number + 1}"
            # The deploy file has one port for metrics, so that each needs an address.
            host = self._random.randint(1, 250)
            ip = f"127.{os.getpid() % 200 + 20}.{number + 1}.{host}"
            kinds = ("front", "ready", "control", "directory")
            listen = {kind: f"{ip}:{next(ports)}" for kind in kinds}
            seeds.append(listen["control"])
            self._daemons[name] = None
            self._fields[name] = {
                "node": name,
                "zone": ZONES[number % len(ZONES)],
                "zones": dict.fromkeys(ZONES, REGION),
                "ip": ip,
                "listen": listen,
                "platform": {"addr": self.store.address},
                "contracts": CONTRACTS,
                "limits": {
                    "max_fds": 4100,
                    "cpu_share": 0.537,
                    "cores": 2,
                    "memory_mb": 300,
                    "link_mbps": 1000.0,
                },
                "bounds": {
                    "config_ms": 2000,
                    "drain_ms": 2000,
                    "grace_s": 8,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 52,
                },
            }
        for fields in self._fields.values():
            fields["seeds"] = seeds[:3]

    def _start_daemon(self, name):
        """Start a daemon with the command and the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.folder / f"{name}.toml"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(fill(template, self._fields[name]))
        command = role["run"].split()
        command[0] = sys.executable
        self._daemons[name] = self._spawn(
            command[1:],
            self.folder / f"{name}.log",
            {"BORAGESTREAM_CONFIG": str(settings)},
        )

    def _spawn(self, arguments, log, variables=None):
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        environment = {**os.environ, "PYTHONPATH": path, **(variables or {})}
        with log.open("ab") as output:
            return subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=end_with_parent(),
            )

    def _list(self, runner):
        self.store.put(f"servers/{runner.identity}", runner.entry())

    def _beat(self):
        while not self._closing.wait(HEARTBEAT_SECONDS):
            for runner in self.runners:
                if not runner.silent:
                    self._list(runner)

    def _get(self, name, kind, path):
        address = self._fields[name]["listen"][kind]
        connection = http.client.HTTPConnection(address, timeout=1)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def _ready(self, name):
        return self._get(name, "ready", "/boragestream/ready")[0] == 200

    def _addresses(self, name):
        path = f"/boragestream/resolve?name={HOST}&region={REGION}&zone={ZONES[0]}"
        status, body = self._get(name, "directory", path)
        return json.loads(body)["addrs"] if status == 200 else []


def until(moment):
    """Sleep until a moment of the steady clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def _connects(host, port):
    with socket.create_connection((host, port), 1):
        return True
