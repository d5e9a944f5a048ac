"""Steps on many answers without end, at an entry with bounded memory."""

import re
import threading
import time
from pathlib import Path

from behave import given, then, when

from tests.features.steps.oversized_answers import ENDLESS, HEAD
from tests.standins.route_site import STAGED

# Longer than a call of a stage server should take.
LONG_SECONDS = 2.0


def behind_head(what):
    """Return what follows the first lines of a head, and what is repeated behind it."""
    first, repeated = ENDLESS[what]
    return first.removeprefix(HEAD), repeated


def ask(call, path):
    """Make a call of a path; return its answer."""
    method, body = ("GET", None) if path.startswith("/safe/") else ("POST", b"hello")
    more = STAGED if path.startswith("/staged/") else {}
    return call(path, method, body, **more)


@given('"{kind}" servers whose answers have {what} without end')
def step(context, kind, what):
    for server in context.site.of_kind(kind):
        server.endless = behind_head(what)
        if kind == "stage":
            server.endless_calls["/boragestream/stage-run"] = server.endless


@given('servers whose answers to "{target}" have {what} without end')
def step(context, target, what):
    for server in context.site.servers:
        server.endless_calls[target] = behind_head(what)


@when(
    '{count:d} requests "{path}" are sent at once, and {others:d} requests "{other}" '
    "meanwhile"
)
def step(context, count, path, others, other):
    context.others = []

    def call_others():
        for _ in range(others):
            context.others.append(ask(context.site.call_again, other))

    caller = threading.Thread(target=call_others)
    caller.start()
    context.answers = context.site.at_once(
        count, lambda _: ask(context.site.call, path)
    )
    caller.join()


@then("none of the {count:d} requests is answered whole")
def step(context, count):
    assert len(context.answers) == count
    found = [(a.status, a.whole) for a in context.answers if a.status == 200]
    assert not any(whole for _, whole in found), found


@then("the {count:d} others are answered at once or when they return")
def step(context, count):
    statuses = [answer.status for answer in context.others]
    assert statuses == [200] * count, statuses


@then("the entry never took more than {megabytes:d} MB")
def step(context, megabytes):
    began = sum(server.endless_answers for server in context.site.servers)
    assert began or context.site.store.endless_answers, "no answer without end was sent"
    pid = context.site.entries["entry-0"].popen.pid
    status = Path(f"/proc/{pid}/status").read_text()
    peak = int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024
    assert peak < megabytes, peak


@when('stages take long, and requests "{path}" are sent for {seconds:g} s, 20 at once')
def step(context, path, seconds):
    site = context.site
    until = time.monotonic() + seconds
    for server in site.of_kind("stage"):
        server.piece_seconds = LONG_SECONDS

    def call(_):
        while time.monotonic() < until:
            ask(site.call, path)

    site.at_once(20, call)


@when("the store answers with {what} without end for {seconds:g} s")
def step(context, what, seconds):
    store = context.site.store
    store.endless = ENDLESS[what]
    # Watches that wait already end, and the next ones are answered without end.
    context.site.drain()
    time.sleep(seconds)
    store.endless = None


@then('"{path}" is answered, at once or when it returns')
def step(context, path):
    for server in context.site.servers:
        server.endless_calls.clear()
        server.piece_seconds = 0.0
    answer = ask(context.site.call_again, path)
    assert answer.status == 200 and answer.whole, answer.status
