"""Steps that run the demonstration as its own process."""

import json
import signal
import subprocess
import sys
from pathlib import Path

from behave import then, when

from tests.standins.fleet import wait_until

END_SECONDS = 60
REQUESTS = 300
MUST_BE_NONE = ("lost", "doubled", "crossed", "refused_but_run", "answered_but_not_run")


def start_demo():
    """Start the demo with its output in a pipe."""
    return subprocess.Popen(
        [sys.executable, "-m", "demo"], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )


def children(pid):
    """Return the children of a process, with what tells them from later ones."""
    found = set()
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.add((stat, fields[19]))
    return found


def is_running(stat, started):
    """Tell whether a process that started then still runs."""
    try:
        fields = stat.read_text().rpartition(")")[2].split()
    except OSError:
        return False
    return fields[19] == started and fields[0] != "Z"


@when("the demo runs to its end")
def step(context):
    demo = start_demo()
    context.children = set()
    lines = []
    for line in demo.stdout:
        lines.append(line)
        context.children |= children(demo.pid)
    context.code = demo.wait(END_SECONDS)
    context.last_line = lines[-1]


@when('the demo is sent {name} after it says "{text}"')
def step(context, name, text):
    demo = start_demo()
    for line in demo.stdout:
        if text in line.decode():
            break
    context.children = wait_until(lambda: children(demo.pid))
    demo.send_signal(signal.Signals[name])
    # What was started between the look and the signal counts as well.
    context.children |= children(demo.pid)
    context.output, _ = demo.communicate(timeout=END_SECONDS)
    context.code = demo.returncode


@then("it exits with {code:d}")
def step(context, code):
    assert context.code == code, (context.code, getattr(context, "output", ""))


@then("its last line counts at least 300 requests, half streamed, some not repeatable")
def step(context):
    summary = json.loads(context.last_line)
    assert summary["sent"] >= REQUESTS, summary
    assert summary["streamed"] * 2 >= summary["sent"], summary
    assert summary["not_repeatable"] > 0, summary
    assert not any(summary[name] for name in MUST_BE_NONE), summary
    ends = ("answered", "refused", "failed", "unknown")
    assert sum(summary[name] for name in ends) == summary["sent"], summary


@then("it counts the calls by published routes, of which nothing was lost either")
def step(context):
    routes = json.loads(context.last_line)["routes"]
    assert routes["sent"] == routes["answered"] > 0, routes
    assert not any(routes[name] for name in MUST_BE_NONE), routes


@then("none of its processes remains")
def step(context):
    assert context.children
    wait_until(lambda: not any(is_running(*child) for child in context.children))
