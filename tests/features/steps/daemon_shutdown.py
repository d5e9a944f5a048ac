"""Steps that stop entries while requests are in progress."""

import http.client
import json
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.operator.client import Client
from tests.standins.answers import fingerprint
from tests.standins.fleet import fetch, wait_until
from tests.standins.sites import example_key
from tests.standins.verdicts import Call, struck_marks

KEY = example_key("patan-counter")
DEADLINE_MS = 30_000
PIPELINE_CALLS = (("caption", True), ("caption", False), ("order-status", False))
LAST_SERVICE = {"caption": "writer", "order-status": "member-ledger"}
CALL_INTERVAL_SECONDS = 0.02
MAX_CALLS = 3000


@given(
    '"{name}" has a streamed "caption", a whole "caption" and an "order-status" '
    "in progress for {seconds:d} s"
)
def step(context, name, seconds):
    entry = context.fleet.entries[name]
    pool = ThreadPoolExecutor(len(PIPELINE_CALLS))
    context.add_cleanup(pool.shutdown)
    context.calls = []
    context.futures = []
    for pipeline, stream in PIPELINE_CALLS:
        call = Call(pipeline, context.injected.text(), stream, DEADLINE_MS)
        slow = {"fault": "slow", "at": "middle", "seconds": seconds}
        context.fleet.inject_call(LAST_SERVICE[pipeline], call.text, slow)
        context.calls.append(call)
        context.futures.append(pool.submit(call.make, entry.address))
    marks = {fingerprint(call.text) for call in context.calls}
    wait_until(
        lambda: marks <= struck_marks(context.fleet.journal),
        what="the work in progress",
    )


@when('"{name}" is told to stop')
def step(context, name):
    entry = context.fleet.entries[name]
    entry.signal(signal.SIGTERM)
    wait_until(lambda: "entry_leaving" in entry.log.read_text(), what="leaving")
    for call in getattr(context, "calls", ()):
        context.injected.note(context.scenario.name, "stop", call.pipeline, call.stream)


@then('"{name}" no longer names itself to callers')
def step(context, name):
    port = context.fleet.entries[name].port
    named = fetch(port, "/v1/entries", key=KEY)["entries"]
    assert named, named
    assert name not in [entry["name"] for entry in named], named


@then('"{name}" still serves a caller and closes the connection')
def step(context, name):
    port = context.fleet.entries[name].port
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    body = json.dumps({"input": "still"})
    headers = {"Authorization": f"Bearer {KEY}"}
    connection.request("POST", "/v1/pipelines/caption", body, headers)
    response = connection.getresponse()
    assert json.loads(response.read())["outcome"] == "answered"
    assert response.headers["Connection"] == "close", response.headers
    connection.close()


@then("everything in progress ends answered")
def step(context):
    outcomes = [future.result().outcome for future in context.futures]
    assert outcomes == ["answered"] * len(outcomes), context.calls


@then('what was in progress ends as "{outcomes}"')
def step(context, outcomes):
    ended = [future.result().outcome for future in context.futures]
    assert ended == outcomes.split(", "), context.calls


@then('"{name}" ends with exit code {code:d}')
def step(context, name, code):
    entry = context.fleet.entries[name]
    ended = entry.popen.wait(timeout=60)
    assert ended == code, entry.log.read_text()[-2000:]


@then('the log of "{name}" has the event "{event}" that counts {count:d} cut')
def step(context, name, event, count):
    lines = context.fleet.entries[name].log.read_text().splitlines()
    found = [line for line in lines if f'"name":"{event}"' in line]
    assert len(found) == 1 and f'"cut":{count},' in found[0], found


@given("the entries that have ended are started again")
def step(context):
    for entry in context.fleet.entries.values():
        if entry.popen.poll() is not None:
            entry.start()
            context.fleet.wait_for_entry(entry)


@when('every entry is replaced in turn while callers call "{first}" and "{second}"')
def step(context, first, second):
    done = threading.Event()
    context.calls = []
    with ThreadPoolExecutor(4) as pool:
        futures = [
            pool.submit(call_repeatedly, context, pipeline, stream, done)
            for pipeline, stream in ((first, True), (first, False), (second, False))
        ]
        try:
            for name, entry in context.fleet.entries.items():
                replace(context.fleet, name, entry)
                context.injected.note(context.scenario.name, "stop", "replaced", name)
        finally:
            done.set()
        for future in futures:
            future.result()
    assert len(context.calls) > len(context.fleet.entries)


def call_repeatedly(context, pipeline, stream, done):
    """Call one pipeline repeatedly, at the addresses that the entries list."""
    client = Client(KEY, context.fleet.addresses())
    for turn in range(MAX_CALLS):
        if done.wait(CALL_INTERVAL_SECONDS):
            return
        # Each call goes to one entry only, so that no other entry hides its refusal.
        addresses = client.addresses()
        call = Call(pipeline, context.injected.text(), stream, DEADLINE_MS)
        context.calls.append(call.make(addresses[turn % len(addresses)]))


def replace(fleet, name, entry):
    """Replace an entry at its address; the instance list always shows it as live."""
    entry.signal(signal.SIGTERM)
    ended = entry.popen.wait(timeout=60)
    assert ended == 0, (name, ended)
    entry.start()
    fleet.wait_for_entry(entry)


@when("each entry is ended and started, and is called as soon as it takes connections")
def step(context):
    context.calls = []
    for entry in context.fleet.entries.values():
        entry.signal(signal.SIGTERM)
        assert entry.popen.wait(timeout=60) == 0
        entry.start()
        context.fleet.wait_for_port(entry)
        calls = [
            Call(pipeline, context.injected.text(), stream, DEADLINE_MS)
            for pipeline, stream in PIPELINE_CALLS
        ]
        with ThreadPoolExecutor(len(calls)) as pool:
            made = [pool.submit(call.make, entry.address) for call in calls]
            context.calls += [each.result() for each in made]
