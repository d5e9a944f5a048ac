"""Strikes calls with faults and brings struck processes back."""

import contextlib
import itertools
import math
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.standins.fleet import wait_until
from tests.standins.verdicts import Call

SIDE_BY_SIDE = 16
MAX_TRIES = 4
# Far longer than servers are frozen or an entry holds a past load against calls.
STRIKE_SECONDS = 30.0
UNANSWERED_PAUSE_SECONDS = 0.1
# Faults that end by the deadline get a short one; they outlast it by far.
SHORT_MS = 700
LONG_MS = 3000
OUTLAST_SECONDS = 3.0
FROZEN_SECONDS = 1.2
WATCH_SECONDS = 0.05
# A fault may strike for so long after its call has ended.
LATE_SECONDS = 1.0
WAITING = ("silent", "late", "freeze", "long-length")
NUMBERS = {"killed": signal.SIGKILL, "frozen": signal.SIGSTOP}


def service_of(document, pipeline, stage):
    """Return the name of the service that runs a stage."""
    pipelines = {p["name"]: p for p in document["pipelines"]}
    stages = {s["name"]: s for s in pipelines[pipeline]["stages"]}
    return stages[stage]["service"]


def strike(context, pipeline, stage, form, faults, address):
    """Call until a fault has struck; keep every call for the verdict."""
    fleet = context.fleet
    service = service_of(fleet.document, pipeline, stage)
    waits = any(fault["fault"] in WAITING for fault in faults)
    until = time.monotonic() + STRIKE_SECONDS
    tries = 0
    while tries < MAX_TRIES and time.monotonic() < until:
        call = Call(pipeline, context.injected.text(), form == "streamed")
        call.deadline_ms = SHORT_MS if waits else LONG_MS
        call.faults = (stage, *faults)
        call.entry_struck = any(fault["fault"] == "signal" for fault in faults)
        waiting = fleet.inject_call(service, call.text, *faults)
        call.make(address)
        context.calls.append(call)
        struck = [f for f, p in zip(faults, waiting, strict=True) if not p.exists()]
        for fault in struck:
            name = fault.get("name", fault["fault"])
            position = fault.get("at", "answer")
            times = len(struck)
            context.injected.note(
                context.scenario.name, pipeline, stage, form, position, name, times
            )
        if struck:
            return
        # Only a call that was answered went past the server that was to be struck. One
        # that was refused at once, or that met a frozen server of an earlier stage,
        # says nothing of this one.
        if call.outcome == "answered":
            tries += 1
        else:
            time.sleep(UNANSWERED_PAUSE_SECONDS)
    raise AssertionError(f"{faults} never struck {stage} of {pipeline}: {call}")


def strike_all(context, jobs):
    """Run jobs (pipeline, stage, form, faults) side by side over all entries."""
    context.calls = []
    addresses = itertools.cycle(context.fleet.addresses())
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        futures = [pool.submit(strike, context, *job, next(addresses)) for job in jobs]
        for future in futures:
            future.result()


def strike_entry(context, entry, fault, stage, position):
    """Kill or freeze an entry while a stage of its call is at a position."""
    struck = {
        "fault": "signal",
        "name": f"entry {fault}",
        "at": position,
        "pid": entry.popen.pid,
        "number": NUMBERS[fault],
    }
    with woken([entry]):
        strike(context, *stage, [struck], entry.address)
    if fault == "killed":
        wait_until(lambda: entry.popen.poll() is not None, what="the entry's end")


def is_stopped(process):
    """Return whether all threads of a process are frozen."""
    tasks = Path(f"/proc/{process.popen.pid}/task")
    try:
        statuses = [(task / "stat").read_text() for task in tasks.iterdir()]
    except OSError:
        return False
    return all(status.rpartition(")")[2].split()[0] == "T" for status in statuses)


@contextlib.contextmanager
def woken(processes):
    """Wake processes a while after they are frozen, until after the end of the block.

    A fault at a late position of a call strikes when the caller has its answer.
    """
    ended = threading.Event()
    waker = threading.Thread(target=_wake, args=(tuple(processes), ended))
    waker.start()
    try:
        yield
    finally:
        ended.set()
        waker.join()


def _wake(processes, ended):
    frozen_at = {}
    watched_until = math.inf
    while frozen_at or time.monotonic() < watched_until:
        time.sleep(WATCH_SECONDS)
        now = time.monotonic()
        if ended.is_set():
            watched_until = min(watched_until, now + LATE_SECONDS)
        for number, process in enumerate(processes):
            if not is_stopped(process):
                frozen_at.pop(number, None)
            elif now - frozen_at.setdefault(number, now) >= FROZEN_SECONDS:
                process.wake()


def restart_ended(fleet, processes):
    """Start what has ended; called by the main thread, whose end ends the process."""
    for process in processes:
        if process.popen.poll() is not None:
            process.start()
