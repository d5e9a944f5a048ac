"""Steps that bring faults about at entries, their callers and the platform."""

import http.client
import itertools
import json
import signal
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from boragestream.operator.client import Client
from tests.standins.answers import fingerprint
from tests.standins.fleet import ADDRESS, fetch, wait_until
from tests.standins.sites import example_key
from tests.standins.strikes import (
    FROZEN_SECONDS,
    LONG_MS,
    NUMBERS,
    SHORT_MS,
    restart_ended,
    service_of,
    strike,
    woken,
)
from tests.standins.verdicts import Call, read_journal, struck_marks

KEY = example_key("patan-counter")
VALUES = ["/v1/document", "/v1/instances"]
FORMS = (("caption", False), ("caption", True), ("order-status", False))
RESET = struct.pack("ii", 1, 0)
STUCK = {"fault": "slow", "at": "ran", "seconds": 1.0}
POSITIONS = {"write": "middle", "charge": "ran"}
SLOW = {"fault": "slow", "at": "ran", "seconds": 0.3}


def call_all(context, addresses, calls):
    """Make calls side by side, each to the next address."""
    to = itertools.cycle(addresses)
    with ThreadPoolExecutor(len(calls)) as pool:
        context.calls = list(pool.map(Call.make, calls, to))


def new_calls(context, count, struck=False, deadline_ms=LONG_MS):
    """Return calls of every form."""
    calls = []
    for index in range(count):
        pipeline, stream = FORMS[index % len(FORMS)]
        call = Call(pipeline, context.injected.text(), stream, deadline_ms)
        call.entry_struck = struck
        calls.append(call)
    return calls


@then("every call ended {outcome}")
def step(context, outcome):
    other = [call for call in context.calls if call.outcome != outcome]
    assert context.calls
    assert not other, f"{len(other)} of {len(context.calls)}: {other[:3]}"


@when("the platform is {fault} and every entry is called, whole and streamed")
def step(context, fault):
    fleet = context.fleet
    addresses = fleet.addresses()
    BREAK[fault](fleet)
    context.injected.note(context.scenario.name, "platform", fault)
    try:
        call_all(context, addresses, new_calls(context, len(addresses) * len(FORMS)))
    finally:
        MEND[fault](fleet)


def revive_platform(fleet):
    """Start the platform again and publish what it had."""
    fleet.platform.start()
    fleet.wait_for_port(fleet.platform)
    publish(fleet)


def publish(fleet):
    """Publish what the fleet began with."""
    fleet.publish(fleet.document)
    fleet.publish_instances()


def publish_nonsense(fleet):
    """Publish values that are no document and no instance list."""
    for path in VALUES:
        body = {"path": path, "value": {"instances": 3}, "index": None}
        fetch(fleet.platform.port, "/standin/publish", body)


BREAK = {
    "down": lambda fleet: fleet.platform_mode(down=VALUES),
    "silent": lambda fleet: fleet.platform.freeze(),
    "killed": lambda fleet: fleet.platform.kill(),
    "lagging": lambda fleet: fleet.platform_mode(lag_seconds=5.0),
    "talking nonsense": publish_nonsense,
}
MEND = {
    "down": lambda fleet: fleet.platform_mode(down=[]),
    "silent": lambda fleet: fleet.platform.wake(),
    "killed": revive_platform,
    "lagging": lambda fleet: fleet.platform_mode(lag_seconds=0.0),
    "talking nonsense": publish,
}


@when('"{name}" is {fault} and a caller that knows it first asks and calls')
def step(context, name, fault):
    entry = context.fleet.entries[name]
    entry.signal({**NUMBERS, "stopping": signal.SIGTERM}[fault])
    context.injected.note(context.scenario.name, "choosing an entry", fault)
    waker = threading.Timer(FROZEN_SECONDS, entry.wake)
    waker.start()
    client = Client(KEY, context.fleet.addresses())
    context.calls = new_calls(context, 6, struck=True, deadline_ms=6000)
    for call in context.calls:
        call.reply = client.call(call.pipeline, call.text, 6000, call.stream)
    waker.join()
    if fault != "frozen":
        entry.kill()
        entry.start()
        context.fleet.wait_for_entry(entry)


@when('"{name}" is frozen for {seconds:g} s while calls of {left:d} ms come in')
def step(context, name, seconds, left):
    entry = context.fleet.entries[name]
    entry.freeze()
    context.injected.note(context.scenario.name, "admission", "frozen", seconds)
    waker = threading.Timer(seconds, entry.wake)
    waker.start()
    calls = new_calls(context, len(FORMS), struck=True, deadline_ms=left)
    call_all(context, [entry.address], calls)
    waker.join()


@when('"{name}" is {fault} with {count:d} calls in hand')
def step(context, name, fault, count):
    fleet = context.fleet
    entry = fleet.entries[name]
    calls = new_calls(context, count, struck=True, deadline_ms=SHORT_MS)
    for call in calls:
        first = fleet.document["pipelines"]
        stage = next(p for p in first if p["name"] == call.pipeline)["stages"][0]
        fleet.inject_call(stage["service"], call.text, SLOW)
    with ThreadPoolExecutor(1) as pool:
        made = pool.submit(call_all, context, [entry.address], calls)
        marks = {fingerprint(call.text) for call in calls}
        wait_until(lambda: marks & read_journal(fleet.journal).keys())
        entry.signal(NUMBERS[fault])
        context.injected.note(context.scenario.name, "queueing", fault)
        time.sleep(FROZEN_SECONDS)
        entry.wake()
        made.result()
    restart_ended(fleet, [entry])
    fleet.wait_for_entry(entry)


@when(
    'an entry is {fault} and its server does "{thens}" at "{stage}" of "{pipeline}", '
    "{form}"
)
def step(context, fault, thens, stage, pipeline, form):
    fleet = context.fleet
    entries = list(fleet.entries.values())
    context.calls = []
    names = thens.split(", ")
    futures = []
    everyone = [*entries, *fleet.servers.values()]
    with woken(everyone), ThreadPoolExecutor(len(names)) as pool:
        for entry, then_does in zip(entries, names, strict=False):
            both = {
                "fault": "signal",
                "name": f"entry {fault} and server {then_does}",
                "at": POSITIONS[stage],
                "pid": entry.popen.pid,
                "number": NUMBERS[fault],
                "then": then_does,
            }
            job = (context, pipeline, stage, form, [both], entry.address)
            futures.append(pool.submit(strike, *job))
    for future in futures:
        future.result()
    restart_ended(fleet, everyone)
    for process in fleet.servers.values():
        fleet.wait_for_port(process)
    for entry in entries:
        fleet.wait_for_entry(entry)


@when(
    'callers of "{name}" {do} while "{a}" of "{b}", "{c}" of "{d}" and "{e}" of "{f}" '
    "are run"
)
def step(context, name, do, a, b, c, d, e, f):
    context.texts = []
    for stage, pipeline in ((a, b), (c, d), (e, f)):
        text = context.injected.text()
        service = service_of(context.fleet.document, pipeline, stage)
        context.fleet.inject_call(service, text, STUCK)
        sock = post(context.fleet.entries[name].port, pipeline, text)
        wait_until(
            lambda t=text: fingerprint(t) in struck_marks(context.fleet.journal),
            what="the stage",
        )
        LEAVE[do](sock)
        context.injected.note(context.scenario.name, pipeline, stage, "caller", do)
        context.texts.append((text, service))


def post(port, pipeline, text):
    """Send a call over a socket of its own."""
    sock = socket.create_connection((ADDRESS, port), 10)
    body = json.dumps({"input": text})
    head = (
        f"POST /v1/pipelines/{pipeline} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    sock.sendall(f"{head}{body}".encode())
    return sock


def reset(sock):
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def half_close(sock):
    """Close the sending side; the entry takes the caller for gone and closes."""
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(1) == b""
    sock.close()


LEAVE = {
    "go away": socket.socket.close,
    "reset their connection": reset,
    "close their sending side": half_close,
}


@then('"{name}" has nothing in hand')
def step(context, name):
    wait_until(lambda: context.fleet.status(name)["in_hand"] == 0)


@then("no stage ran twice, and none after the one that was run")
def step(context):
    journal = read_journal(context.fleet.journal)
    for text, service in context.texts:
        services = [x[1] for x in journal[fingerprint(text)] if x[0] == "ran"]
        assert len(services) == len(set(services)), services
        assert services[-1] == service, services


@when('"{pipeline}" is called with an input nested {depth:d} deep')
def step(context, pipeline, depth):
    port = next(iter(context.fleet.entries.values())).port
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=10)
    body = '{"input": ' + "[" * depth + "]" * depth + "}"
    headers = {"Authorization": f"Bearer {KEY}"}
    connection.request("POST", f"/v1/pipelines/{pipeline}", body, headers)
    reply = json.loads(connection.getresponse().read())
    connection.close()
    call = Call(pipeline, "")
    call.reply = type("Reply", (), {"outcome": reply["outcome"]})
    context.calls = [call]
