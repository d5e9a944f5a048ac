"""Runs a scenario for one variant on a fleet that is already there.

The variant is published as a new version of the document, as an operator would, and
the run begins when every entry has it in force and every server is idle.
"""

import json
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass

from bench.load.client import Sample
from bench.load.deployment import bench_document, bench_servers, server_specs
from bench.load.faults import run_faults
from bench.load.invariants import invariant_counts
from bench.load.metrics import recovery_seconds, summarise, timeline
from bench.load.scenarios import WARM_SECONDS, Scenario
from bench.load.schedule import Arrival, total_seconds
from bench.load.traces import not_as_stated
from bench.load.variants import variant_policies
from tests.standins.fleet import Fleet, fetch, wait_until

__all__ = ["Bench", "Run", "start_bench"]

CLIENT_PROCESSES = 5
LEAD_SECONDS = 0.3
IDLE_SECONDS = 30
SETTLED_SECONDS = 0.75
STOP_SETTINGS = "[stop]\nlinger_seconds = 1.5\nlimit_seconds = 20.0\n"


@dataclass(frozen=True, slots=True)
class Run:
    """What came of one run.

    :ivar figures: the summary of the counted time.
    :ivar windows: the timeline.
    :ivar events: the faults as they happened.
    """

    scenario: str
    variant: str
    seed: int
    figures: dict
    invariants: dict
    windows: list[dict]
    events: list[dict]


class Bench:
    """A fleet and what was already published and run on it.

    :param fleet: the started fleet.
    :param spread: whether callers take the named entries in an order of their own.
    """

    def __init__(self, fleet: Fleet, spread: bool) -> None:
        self._fleet = fleet
        self._spread = spread
        self._version = 1
        self._kept: list[tuple[str, list[dict], dict[str, int]]] = []

    def run(
        self,
        scenario: Scenario,
        variant: str,
        seed: int,
        arrivals: Sequence[Arrival],
        overrides: dict | None = None,
        expected: dict[int, tuple[str, ...]] | None = None,
    ) -> Run:
        """Run a scenario for one variant and seed.

        :param overrides: fields of the document's policies.
        :param expected: stated outcomes by the arrivals' numbers.
        """
        self._publish(scenario, variant, overrides)
        samples, events = self._offer(scenario, arrivals)
        self._wait_idle()
        work: dict[str, list[dict]] = {}
        runs: dict[str, Counter] = {}
        for service, records, counts in self._records():
            work.setdefault(service, []).extend(records)
            runs.setdefault(service, Counter()).update(counts)
        figures, windows = _figures(scenario, samples, work, events)
        if expected is not None:
            figures["not_as_stated"] = not_as_stated(samples, expected)
        invariants = invariant_counts(samples, runs)
        return Run(scenario.name, variant, seed, figures, invariants, windows, events)

    def _publish(
        self, scenario: Scenario, variant: str, overrides: dict | None
    ) -> None:
        self._version += 1
        policies = variant_policies(variant, overrides)
        document = bench_document(policies, scenario.accounts)
        document["version"] = self._version
        self._fleet.publish(document)
        for name in self._fleet.entries:
            wait_until(
                lambda name=name: self._fleet.status(name)["version"] == self._version,
                what=f"version {self._version} on {name}",
            )

    def _offer(
        self, scenario: Scenario, arrivals: Sequence[Arrival]
    ) -> tuple[list[Sample], list[dict]]:
        clients = [
            _start_client(self._fleet, arrivals[index::CLIENT_PROCESSES], self._spread)
            for index in range(CLIENT_PROCESSES)
        ]
        try:
            for client in clients:
                client.stdout.readline()
            began = time.monotonic() + LEAD_SECONDS
            for client in clients:
                client.stdin.write(f"{began}\n")
                client.stdin.flush()
            with ThreadPoolExecutor(len(clients)) as pool:
                lines = pool.map(lambda client: client.stdout.readline(), clients)
                events = run_faults(self._fleet, scenario.faults, began, self._keep)
                lines = list(lines)
        finally:
            for client in clients:
                client.kill()
                client.wait()
        samples = [Sample(**fields) for line in lines for fields in json.loads(line)]
        return sorted(samples, key=lambda s: s.at), events

    def _wait_idle(self) -> None:
        for process in self._fleet.servers.values():
            wait_until(
                lambda port=process.port: fetch(port, "/load")["in_progress"] == 0,
                IDLE_SECONDS,
                f"{process.name} idle",
            )

    def _keep(self, server: str) -> None:
        process = self._fleet.servers[server]
        work = fetch(process.port, "/standin/work")
        runs = fetch(process.port, "/standin/runs")["requests"]
        self._kept.append((process.extra["service"], work, runs))

    def _records(self) -> list[tuple[str, list[dict], dict[str, int]]]:
        """Return work and run counts, also of servers that have died meanwhile."""
        kept = list(self._kept)
        for name in self._fleet.servers:
            self._keep(name)
        records, self._kept = self._kept, kept
        return records


def start_bench(spread: bool, entries: int = 6) -> tuple[Fleet, Bench]:
    """Return a fleet that is still to be entered, and its bench."""
    fleet = Fleet(
        bench_document(variant_policies("own")),
        bench_servers(),
        entries=entries,
        settings=STOP_SETTINGS,
        backend_of=server_specs(),
    )
    return fleet, Bench(fleet, spread)


def _start_client(
    fleet: Fleet, arrivals: Sequence[Arrival], spread: bool
) -> subprocess.Popen:
    client = subprocess.Popen(
        [sys.executable, "-m", "bench.load.client"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    job = {
        "addresses": fleet.addresses(),
        "arrivals": [asdict(arrival) for arrival in arrivals],
        "spread": spread,
    }
    client.stdin.write(json.dumps(job) + "\n")
    client.stdin.flush()
    return client


def _figures(
    scenario: Scenario,
    samples: Sequence[Sample],
    work: dict[str, list[dict]],
    events: Sequence[dict],
) -> tuple[dict, list[dict]]:
    seconds = total_seconds(scenario.phases)
    phases = scenario.phases
    windows = timeline(samples, seconds)
    figures = summarise(samples, work, phases, WARM_SECONDS, seconds)
    if scenario.faults:
        began = scenario.faults[0].at
        # A fault that ends by itself is over when its last step is done.
        ended = max(event["done"] for event in events)
        # What is in hand when the fault begins belongs neither before it nor in it.
        calm = began - SETTLED_SECONDS
        figures["before_fault"] = summarise(samples, work, phases, WARM_SECONDS, calm)
        figures["during_fault"] = summarise(samples, work, phases, began, ended)
        figures["recovery_seconds"] = recovery_seconds(
            windows, began, ended, WARM_SECONDS
        )
    return figures, windows
