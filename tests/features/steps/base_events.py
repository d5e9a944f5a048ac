"""Steps that compare the catalogue of events with the code, and look for keys."""

import ast
import copy
import re
from pathlib import Path

from absl import logging
from behave import given, then, when

import boragestream
from boragestream.base.events import Event
from tests.standins import caller
from tests.standins.fleet import OPERATOR_KEY, PEER_KEY, wait_until
from tests.standins.sites import example_key

ROOT = Path(boragestream.__file__).parents[1]
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| ([^|]*) ?\|", re.MULTILINE)
LEVELS = {logging.INFO: "info", logging.WARNING: "warning", logging.ERROR: "error"}
KEY = example_key("patan-counter")
PLAIN_KEY = "a-key-that-was-not-hashed"


@given("the catalogue in docs/EVENTS.md")
def step(context):
    page = (ROOT / "docs" / "EVENTS.md").read_text()
    context.rows = ROW.findall(page)
    assert context.rows


@then("each event of the code stands in it once, with its number and level")
def step(context):
    # Two events with one number would be one member with two names.
    assert len(Event.__members__) == len({event.number for event in Event})
    listed = sorted((int(n), name, level) for n, name, level, _ in context.rows)
    known = sorted((e.number, e.name, LEVELS[e.level]) for e in Event)
    assert listed == known, set(listed) ^ set(known)


@then("it lists no event that the code does not have")
def step(context):
    assert {row[1] for row in context.rows} <= set(Event.__members__)


def trees():
    """Return the syntax tree of each module but the one that defines the events."""
    paths = sorted((ROOT / "boragestream").rglob("*.py"))
    return [ast.parse(p.read_text()) for p in paths if p.name != "events.py"]


def named_event(node):
    """Return the name of the event that an expression names, or None."""
    is_event = isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    return node.attr if is_event and node.value.id == "Event" else None


@then("each event is used somewhere in the code")
def step(context):
    used = {named_event(node) for tree in trees() for node in ast.walk(tree)}
    assert set(Event.__members__) <= used, set(Event.__members__) - used


@then("each field that is emitted is listed")
def step(context):
    listed = {row[1]: set(row[3].replace(" ", "").split(",")) for row in context.rows}
    calls = [n for t in trees() for n in ast.walk(t) if isinstance(n, ast.Call)]
    emits = [c for c in calls if isinstance(c.func, ast.Name) and c.func.id == "emit"]
    assert emits
    for call in emits:
        event = named_event(call.args[0])
        fields = {keyword.arg for keyword in call.keywords}
        known = listed[event] if event else set().union(*listed.values())
        assert fields <= known, (event, fields - known)


@when("keys are sent in every place where they do not belong")
def step(context):
    key = KEY.encode()
    good = b'{"input": 1}'
    requests = [
        caller.sized(good, [b"Authorization: Basic " + key]),
        caller.sized(good, [b"Authorization: bearer " + key]),
        caller.sized(good, [b"Authorization: " + key + b" \n x"]),
        caller.sized(good, [b" folded " + key], key=KEY),
        caller.sized(good, [b"X-Deadline-Ms: " + key], key=KEY),
        caller.sized(good, [b"Idempotency-Key: " + key * 20], key=KEY),
        caller.sized(good, [b"Idempotency-Key: " + key], key=KEY),
        caller.sized(good, [b"X-Request-Id: " + key], key=KEY),
        caller.sized(good, path=b"/" + key, key=KEY),
        caller.sized(good, path=b"/v1/pipelines/" + key, key=KEY),
        caller.sized(good, path=b"/v1/requests/" + key, key=KEY),
        caller.sized(good, path=b"/v1/pipelines/caption?key=" + key),
        caller.sized(b'{"' + key + b'": 1}', key=KEY),
        caller.sized(b'{"input": "' + key, key=KEY),
        caller.sized(key, key=KEY),
        caller.sized(good, path=b"/v1/status", key=OPERATOR_KEY),
        caller.sized(good, key=OPERATOR_KEY),
        key + b" / HTTP/1.1\r\n\r\n",
    ]
    port = context.fleet.entries["entry-1"].port
    context.answers = [caller.exchange(port, request) for request in requests]
    peer_port = context.fleet.entries["entry-1"].extra["peer_port"]
    with caller.connect(peer_port) as sock:
        sock.sendall(PEER_KEY.encode() * 100)
    document = copy.deepcopy(context.fleet.document)
    document["version"] += 1
    document["client_accounts"][0]["key_digests"] = [PLAIN_KEY]
    context.fleet.publish(document)


@then("no answer repeats a key")
def step(context):
    for answer in context.answers:
        assert answer
        assert KEY.encode() not in answer, answer
        assert OPERATOR_KEY.encode() not in answer, answer


@then("each entry has logged that the document is invalid")
def step(context):
    number = f'"event":{Event.CONFIGURATION_INVALID.number}'
    for entry in context.fleet.entries.values():
        wait_until(lambda log=entry.log: number in log.read_text())


@then("no log holds a key")
def step(context):
    keys = [KEY, OPERATOR_KEY, PEER_KEY, PLAIN_KEY]
    for entry in context.fleet.entries.values():
        log = entry.log.read_text()
        held = [key for key in keys if key in log]
        assert not held, (entry.name, held)
