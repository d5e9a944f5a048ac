"""Steps that bring faults about at the steps of calls."""

import itertools
import os
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from tests.standins.fleet import wait_until
from tests.standins.verdicts import Call, read_journal, violations

SIDE_BY_SIDE = 16
MAX_TRIES = 4
# Faults that end by the deadline get a short one; they outlast it by far.
SHORT_MS = 700
LONG_MS = 3000
OUTLAST_SECONDS = 2.5
FROZEN_SECONDS = 1.2
WAITING = ("silent", "late", "freeze", "long-length")
STAGES = (
    ("damage-assessment", "intake", "whole"),
    ("caption", "encode", "whole"),
    ("name-chat", "retrieve", "whole"),
    ("damage-assessment", "rerank", "whole"),
    ("caption", "write", "streamed"),
    ("order-status", "charge", "whole"),
)
DEATHS = {"killed": "kill", "frozen": "freeze"}
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
    for _ in range(MAX_TRIES):
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
    raise AssertionError(f"{faults} never struck {stage} of {pipeline}: {call}")


def strike_all(context, jobs):
    """Run jobs (pipeline, stage, form, faults) side by side over all entries."""
    context.calls = []
    addresses = itertools.cycle(context.fleet.addresses())
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        futures = [pool.submit(strike, context, *job, next(addresses)) for job in jobs]
        for future in futures:
            future.result()


@when('"{faults}" strike "{pipeline}" at "{stage}", {form}, in each of "{positions}"')
def step(context, faults, pipeline, stage, form, positions):
    jobs = []
    for position in positions.split(", "):
        for name in faults.split(", "):
            fault = {"fault": name, "seconds": OUTLAST_SECONDS}
            if name == "slow":
                fault["seconds"] = 0.1
            if position != "answer":
                fault["at"] = position
            jobs.append((pipeline, stage, form, [fault]))
    strike_all(context, jobs)


@when('"{faults}" strike twice "{pipeline}" at "{stage}", {form}')
def step(context, faults, pipeline, stage, form):
    jobs = []
    for name in faults.split(", "):
        fault = {"fault": name, "seconds": OUTLAST_SECONDS}
        jobs.append((pipeline, stage, form, [fault, fault]))
    strike_all(context, jobs)


@when('a backend server is {fault} at each stage, "{position}"')
def step(context, fault, position):
    struck = {"fault": DEATHS[fault], "at": position}
    until = threading.Event()
    waker = threading.Thread(target=wake, args=(context.fleet, until))
    waker.start()
    try:
        strike_all(context, [(*stage, [struck]) for stage in STAGES])
    finally:
        until.set()
        waker.join()
    restart_ended(context.fleet, context.fleet.servers.values())
    for process in context.fleet.servers.values():
        context.fleet.wait_for_port(process)


def wake(fleet, until):
    """Wake every frozen server after a while, until told to end."""
    while True:
        told = until.wait(FROZEN_SECONDS)
        for process in fleet.servers.values():
            process.signal(signal.SIGCONT)
        if told:
            return


def restart_ended(fleet, processes):
    """Start what has ended; called by the main thread, whose end ends the process."""
    for process in processes:
        if process.popen.poll() is not None:
            process.start()


@when('an entry is {fault} at "{stage}" of "{pipeline}", {form}, in each of "{places}"')
def step(context, fault, stage, pipeline, form, places):
    context.calls = []
    entries = list(context.fleet.entries.values())
    positions = places.split(", ")
    with ThreadPoolExecutor(len(positions)) as pool:
        futures = [
            pool.submit(
                strike_entry, context, entry, fault, (pipeline, stage, form), position
            )
            for entry, position in zip(entries, positions, strict=False)
        ]
        for future in futures:
            future.result()
    restart_ended(context.fleet, entries)
    for entry in entries:
        context.fleet.wait_for_entry(entry)


def strike_entry(context, entry, fault, stage, position):
    """Kill or freeze an entry while a stage of its call is at a position."""
    struck = {
        "fault": "signal",
        "name": f"entry {fault}",
        "at": position,
        "pid": entry.popen.pid,
        "number": NUMBERS[fault],
    }
    waker = threading.Timer(FROZEN_SECONDS, os.kill, (entry.popen.pid, signal.SIGCONT))
    if fault == "frozen":
        waker.start()
    strike(context, *stage, [struck], f"127.0.0.1:{entry.port}")
    if fault == "killed":
        wait_until(lambda: entry.popen.poll() is not None, what="the entry's end")
    else:
        waker.join()


@then("every promise holds")
def step(context):
    time.sleep(0.05)
    journal = read_journal(context.fleet.journal)
    found = [
        violation
        for call in context.calls
        for violation in violations(context.fleet.document, journal, call)
    ]
    assert not found, "\n".join([f"{len(found)} of {len(context.calls)}", *found])
