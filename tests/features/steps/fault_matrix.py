"""Steps that bring faults about at the steps of calls."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from tests.standins.strikes import (
    OUTLAST_SECONDS,
    restart_ended,
    strike_all,
    strike_entry,
    woken,
)
from tests.standins.verdicts import read_journal, violations

STAGES = (
    ("damage-assessment", "intake", "whole"),
    ("caption", "encode", "whole"),
    ("name-chat", "retrieve", "whole"),
    ("damage-assessment", "rerank", "whole"),
    ("caption", "write", "streamed"),
    ("order-status", "charge", "whole"),
)
DEATHS = {"killed": "kill", "frozen": "freeze"}


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
    with woken(context.fleet.servers.values()):
        strike_all(context, [(*stage, [struck]) for stage in STAGES])
    restart_ended(context.fleet, context.fleet.servers.values())
    for process in context.fleet.servers.values():
        context.fleet.wait_for_port(process)


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
