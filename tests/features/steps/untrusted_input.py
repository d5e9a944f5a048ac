"""Steps that give any input that Hypothesis can think of to what reads it."""

import copy
import io
import json
import tempfile
import threading
from pathlib import Path

import pynng
from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings, target
from hypothesis import strategies as st

from boragestream.base.clock import SystemClock
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.base.outcomes import Failure
from boragestream.base.shapes import Fault, build
from boragestream.caller.reading import CallerRequest, check_operator, read_request
from boragestream.document import Document, check_document, parse_document
from boragestream.entry.messages import (
    MessageRefused,
    Probe,
    Sender,
    open_envelope,
    seal,
)
from boragestream.operator.trace import read_trace
from boragestream.platform.instances import parse_instances
from boragestream.policy.configuration import ConfigurationInForce
from tests.standins.fleet import ADDRESS
from tests.standins.sites import example_document, example_key

EXAMPLES = 200
BUDGET_BYTES = 100_000_000
quietly = settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
JSON = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
)
FIELDS = st.sampled_from(["schema_version", "version", "pipelines", "policies", "x"])
SENDER = Sender("cooperative", "entry-1", "1", b"a-key-of-16-bytes")


def is_checked(record, faults):
    """Tell whether there is a record, or else faults that are typed."""
    typed = all(isinstance(fault, Fault) for fault in faults)
    return typed and (record is None) == bool(faults)


@then("the checks of any JSON data give a record or faults with places")
def step(context):
    @quietly
    @any_of(JSON | st.dictionaries(FIELDS, JSON))
    def check(data):
        assert is_checked(*build(data, Document))
        assert is_checked(*check_document(data))

    check()


@then("the parsers of any bytes give a record or faults")
def step(context):
    @quietly
    @any_of(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    def check(data):
        assert is_checked(*parse_document(data))
        assert is_checked(*parse_instances(data))
        with tempfile.NamedTemporaryFile() as file:
            Path(file.name).write_bytes(data)
            lines, faults = read_trace(Path(file.name))
        assert all(isinstance(fault, Fault) for fault in faults), faults

    check()
    for data in (b"[" * 100_000, b'{"a":' * 100_000, b"\xff\xfe", b"1e999999"):
        assert is_checked(*parse_document(data))
        assert is_checked(*parse_instances(data))


@then("any replaced part gives a document or faults, and never raises")
def step(context):
    @quietly
    @any_of(st.data(), JSON)
    def check(data, value):
        document = copy.deepcopy(context.document)
        part = document
        while True:
            keys = list(part) if isinstance(part, dict) else list(range(len(part)))
            key = data.draw(st.sampled_from(keys))
            inner = part[key]
            deeper = isinstance(inner, dict | list) and inner
            if not deeper or data.draw(st.booleans()):
                break
            part = inner
        part[key] = value
        built, faults = check_document(document)
        assert is_checked(built, faults)
        target(float(built is not None))

    check()


@then("the opening of any bytes, and of any damaged message, is refused with a type")
def step(context):
    whole = seal(SENDER, Probe())
    assert not isinstance(open_envelope(SENDER, whole), MessageRefused)

    @quietly
    @any_of(st.binary(), st.integers(0, len(whole) - 1), st.integers(1, 255))
    def check(data, place, change):
        assert isinstance(open_envelope(SENDER, data), MessageRefused)
        damaged = bytearray(whole)
        damaged[place] ^= change
        assert isinstance(open_envelope(SENDER, bytes(damaged)), MessageRefused)
        cut = whole[:place]
        assert isinstance(open_envelope(SENDER, cut), MessageRefused)

    check()


@given('the example document of "{site}" in force')
def step(context, site):
    configuration = ConfigurationInForce(site)
    document, faults = check_document(example_document(site))
    assert not faults
    configuration.offer(document)
    context.in_force = configuration.current


@then("the reading of any headers and body gives a request or a typed failure")
def step(context):
    header = st.text(st.characters(max_codepoint=255))
    own_key = f"Bearer {example_key('patan-counter')}"
    budget = MemoryBudget(BUDGET_BYTES, SystemClock())
    held = MemoryCharge(budget, MemoryKind.ANSWER)
    body = st.binary() | JSON.map(lambda v: json.dumps({"input": v}).encode())
    names = st.sampled_from(["caption", "order-status"]) | st.text()
    read = 0

    @quietly
    @any_of(header | st.just(own_key), header, header, header, body, names)
    def check(key, deadline, ticket, accept, content, name):
        nonlocal read
        environ = {
            "HTTP_AUTHORIZATION": key,
            "HTTP_X_DEADLINE_MS": deadline,
            "HTTP_IDEMPOTENCY_KEY": ticket,
            "HTTP_ACCEPT": accept,
            "wsgi.input": io.BytesIO(content),
        }
        request = read_request(environ, name, context.in_force, 1000, held)
        assert isinstance(request, CallerRequest | Failure), request
        assert isinstance(check_operator(environ, ()), Failure)
        read += isinstance(request, CallerRequest)
        without = {k: v for k, v in environ.items() if k != "HTTP_X_DEADLINE_MS"}
        without["wsgi.input"] = io.BytesIO(content)
        request = read_request(without, name, context.in_force, 1000, held)
        assert isinstance(request, CallerRequest | Failure), request
        read += isinstance(request, CallerRequest)

    check()
    assert read, "no input was good, so that nothing was shown"


@when('a frame of {size:d} bytes is sent to the peer port of "{name}"')
def step(context, size, name):
    port = context.fleet.entries[name].extra["peer_port"]
    with pynng.Req0(dial=f"tcp://{ADDRESS}:{port}", send_timeout=30_000) as sock:
        closed = threading.Event()
        sock.add_post_pipe_remove_cb(lambda _: closed.set())
        sock.send(bytes(size))
        assert closed.wait(30), "the connection was not closed"
