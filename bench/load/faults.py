"""Brings a scenario's faults about, each at its time."""

import signal
import time
from collections.abc import Callable

from bench.load.scenarios import Fault
from tests.standins.fleet import Fleet, fetch, wait_until

__all__ = ["run_faults"]

EXIT_SECONDS = 30


def run_faults(
    fleet: Fleet,
    faults: tuple[Fault, ...],
    began: float,
    keep: Callable[[str], None],
) -> list[dict]:
    """Begin and end each fault at its time; return when that happened.

    It must run in the main thread: what it starts ends with the thread.

    :param began: the monotonic time of the run's start.
    :param keep: told the name of a server whose records are about to be lost.
    """
    steps: list[tuple[float, str, Fault]] = []
    for fault in faults:
        steps.append((fault.at, "begin", fault))
        if fault.until is not None:
            steps.append((fault.until, "end", fault))
    happened = []
    for at, what, fault in sorted(steps, key=lambda step: step[0]):
        time.sleep(max(0.0, began + at - time.monotonic()))
        for target in fault.targets:
            if (fault.kind, what) == ("kill", "begin"):
                keep(target)
            _ACTIONS[fault.kind, what](fleet, target, fault)
        done = round(time.monotonic() - began, 3)
        happened.append({"fault": fault.kind, "what": what, "at": at, "done": done})
    return happened


def _slow(fleet: Fleet, target: str, fault: Fault) -> None:
    fetch(fleet.servers[target].port, "/standin/slowdown", {"factor": fault.factor})


def _quick(fleet: Fleet, target: str, fault: Fault) -> None:
    fetch(fleet.servers[target].port, "/standin/slowdown", {"factor": 1.0})


def _kill(fleet: Fleet, target: str, fault: Fault) -> None:
    fleet.servers[target].kill()


def _start(fleet: Fleet, target: str, fault: Fault) -> None:
    fleet.servers[target].start()


def _freeze(fleet: Fleet, target: str, fault: Fault) -> None:
    fleet.servers[target].signal(signal.SIGSTOP)


def _thaw(fleet: Fleet, target: str, fault: Fault) -> None:
    fleet.servers[target].signal(signal.SIGCONT)


def _replace_entry(fleet: Fleet, target: str, fault: Fault) -> None:
    entry = fleet.entries[target]
    entry.signal(signal.SIGTERM)
    entry.extra["state"] = "leaving"
    fleet.publish_instances()
    wait_until(lambda: entry.popen.poll() is not None, EXIT_SECONDS, "exit")
    entry.extra["state"] = "live"
    entry.start()
    fleet.wait_for_entry(entry)
    fleet.publish_instances()


_ACTIONS: dict[tuple[str, str], Callable[[Fleet, str, Fault], None]] = {
    ("slow", "begin"): _slow,
    ("slow", "end"): _quick,
    ("kill", "begin"): _kill,
    ("kill", "end"): _start,
    ("freeze", "begin"): _freeze,
    ("freeze", "end"): _thaw,
    ("replace-entry", "begin"): _replace_entry,
}
