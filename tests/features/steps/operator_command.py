"""Steps that run the command line within the test's process."""

import contextlib
import io
import json
import os
from pathlib import Path
from unittest import mock

from behave import given, then, when

from boragestream.operator.command import main
from tests.standins.answers import expected_text
from tests.standins.fleet import ADDRESS, OPERATOR_KEY
from tests.standins.scripted_server import ScriptedServer
from tests.standins.sites import example_key

TOKENS = 8
LEVELS = b"[" * 100_000 + b"]" * 100_000
REPLIES = {
    "100,000 levels": b'{"x":%s}' % LEVELS,
    "5,000 digits": b'{"x":%s}' % (b"9" * 5000),
}


class Writes(io.StringIO):
    """Counts the texts written beside keeping them."""

    def __init__(self):
        """Begin with none."""
        super().__init__()
        self.texts = []

    def write(self, text):
        """Keep a text."""
        self.texts.append(text)
        return super().write(text)


def run(context, arguments):
    """Run the command line and keep its exit code and output."""
    entries = context.fleet.entries
    places = {
        "ENTRIES": ",".join(context.fleet.addresses()),
        "ENTRY-1": f"{ADDRESS}:{entries['entry-1'].port}",
        "ENTRY-LOGS": " ".join(str(e.log) for e in entries.values()),
        "KEYS": str(context.fleet.folder / "keys.toml"),
        "RESULTS": str(context.fleet.folder / "results.jsonl"),
        "PLACE": getattr(context, "place", ""),
        "TRACE": str(context.fleet.folder / "trace.jsonl"),
    }
    for name, value in places.items():
        arguments = arguments.replace(name, value)
    keys = {
        "BORAGESTREAM_KEY": getattr(context, "key", ""),
        "BORAGESTREAM_OPERATOR_KEY": OPERATOR_KEY,
    }
    context.output = Writes()
    with (
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(context.output),
        mock.patch.dict(os.environ, keys),
    ):
        try:
            context.code = int(main(arguments.split()))
        except SystemExit as end:
            context.code = end.code or 0


@given('the key "{key}" in the environment')
def step(context, key):
    context.key = key


@given("a place that replies {reply}")
def step(context, reply):
    server = ScriptedServer()
    context.add_cleanup(server.close)
    body = REPLIES[reply]
    server.script(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    context.place = server.address


@given('the next call of each "{service}" server meets "{fault}" {times:d} times')
def step(context, service, fault, times):
    for name, server in context.fleet.servers.items():
        if server.extra["service"] == service and fault != "none":
            context.fleet.inject(name, {"fault": fault, "times": times})


@given('each "{service}" server stalls in the middle of its next stream')
def step(context, service):
    for name, server in context.fleet.servers.items():
        if server.extra["service"] == service:
            context.fleet.inject(name, {"fault": "stream-stall", "seconds": 0.2})


@given("a file of the example keys")
def step(context):
    accounts = [a["name"] for a in context.fleet.document["client_accounts"]]
    lines = [f'{name} = "{example_key(name)}"' for name in accounts]
    path = context.fleet.folder / "keys.toml"
    path.write_text("\n".join(["[keys]", *lines]))


@when('boragestream runs "{arguments}"')
def step(context, arguments):
    run(context, arguments)


@when('a trace states that "{pipeline}" is refused')
def step(context, pipeline):
    line = {"at_ms": 0, "account": "patan-counter", "pipeline": pipeline, "input": 1}
    write_trace(context, json.dumps({**line, "expect": ["refused"]}))


@when("a trace has the line {line}")
def step(context, line):
    write_trace(context, line)


def write_trace(context, text):
    """Write the trace file of the scenario."""
    Path(context.fleet.folder / "trace.jsonl").write_text(text)


@then("its exit code is {code:d}")
def step(context, code):
    assert context.code == code, (context.code, context.output.getvalue())


@then('its output holds "{text}"')
def step(context, text):
    assert text in context.output.getvalue(), context.output.getvalue()


@then('it has printed the tokens for "{text}" in several writes')
def step(context, text):
    written = [text for text in context.output.texts if text.strip()]
    assert "".join(written) == expected_text(text, TOKENS), written
    assert len(written) > 1, written


def at(context, place):
    """Return what stands at a place of the printed JSON."""
    value = json.loads(context.output.getvalue())
    parts = place.split(".")
    while parts:
        # The name of a stage holds a dot itself.
        joined = ".".join(parts[:2])
        key = joined if isinstance(value, dict) and joined in value else parts[0]
        parts = parts[len(key.split(".")) :]
        value = value[int(key) if isinstance(value, list) else key]
    return value


@then('its JSON at "{place}" counts {count:d}')
def step(context, place, count):
    assert len(at(context, place)) == count, at(context, place)


@then('its JSON at "{place}" is {value}')
def step(context, place, value):
    assert at(context, place) == json.loads(value), at(context, place)


@then('its JSON at "{place}" exceeds {value:d}')
def step(context, place, value):
    assert at(context, place) > value, at(context, place)


@then("no whole key digest is in its output")
def step(context):
    for account in context.fleet.document["client_accounts"]:
        for digest in account["key_digests"]:
            assert digest not in context.output.getvalue()
