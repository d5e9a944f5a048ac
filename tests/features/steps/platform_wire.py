"""Steps on the translation of the platform's forms."""

import json
import re
from pathlib import Path

from behave import given, then, when

import boragestream
from boragestream.document.calls import CallHead, RequestMalformed, RunClaim
from boragestream.document.routes import CallKind, key_digest
from boragestream.platform.prompt_cache import read_cached_parts
from boragestream.platform.published import PublishedMalformed, read_route_document
from boragestream.platform.wire import encode_call, read_answer_head, read_request
from tests.standins.answered import answered

ROOT = Path(boragestream.__file__).parent
WIRE_NAMES = re.compile(
    r"Server-Seal|[^-]Not-Run|kv[-_](key|range|watch|events|list|move|pin|handle)"
    r"|hold-take|stage-(run|free)|Prompt-Prefix|Token-Counts|Piece-Key|gap_target_ms"
    r"|Expect-Instance|(?<!-)Deadline-Ms|api_keys|store_revision|tombstone|cold_left_ms"
    r"|headroom_mb|op/config"
)
BASE = {"Request-Id": "r-1", "Host": "A.example:80", "Deadline-Ms": "900"}


def read(headers):
    """Decode a request with some headers."""
    return read_request("POST", "/x/1?q=2", list(headers.items()), b"body")


@when('a caller sends the header "{name}" with "{value}"')
@when('a caller sends the header "{name}" with ""')
def step(context, name, value=""):
    context.headers = {**BASE, name: value}


@when('the header "{name}" with "{value}"')
def step(context, name, value):
    context.headers[name] = value


def encoded(context):
    """Return the head of the call for the request."""
    request = read(context.headers)
    assert not isinstance(request, RequestMalformed), request
    head = CallHead("i-1", 0.75, "account", 3, 12, ("h1", "h2"))
    return encode_call(request, head, request.host_header).decode()


@then('the server\'s call does not carry "{value}"')
def step(context, value):
    assert value not in encoded(context), encoded(context)


@then('the server\'s call carries "{line}"')
def step(context, line):
    text = encoded(context)
    assert f"\r\n{line}\r\n" in text, text
    assert text.startswith("POST /x/1?q=2 HTTP/1.1\r\n")
    assert text.endswith("\r\nContent-Length: 4\r\n\r\n")


@then('it carries "{one}" and "{two}" and "{three}"')
def step(context, one, two, three):
    lines = encoded(context).split("\r\n")
    for line in (one, two, three):
        assert lines.count(line) == 1, (line, lines)


@then('the prompt\'s parts are "{parts}"')
def step(context, parts):
    found = [f"{part.identity} {part.tokens}" for part in read(context.headers).prompt]
    assert ", ".join(found) == parts


@then("the request is malformed")
def step(context):
    assert isinstance(read(context.headers), RequestMalformed)


@when('a server answers {status:d} with "{header}"')
def step(context, status, header):
    text = f"HTTP/1.1 {status} Some\r\n{header}\r\nContent-Length: 0\r\n\r\n"
    context.head = read_answer_head(answered(text.encode()))


@then('the request "{claim}"')
def step(context, claim):
    assert context.head.claim is RunClaim[claim]
    assert not any(
        n.lower() in ("not-run", "connection") for n, _ in context.head.headers
    )


@given("a published configuration with fields that nobody knows")
def step(context):
    route = {
        "name": "r",
        "host": "A.Example",
        "prefix": "/x/",
        "kind": "stream",
        "timeout_ms": 6000,
        "goal_ms": 910,
        "priority": 1,
        "backends": [{"service": "e", "weight": 9}, {"service": "f", "weight": 1}],
        "attempts": 2,
        "stages": [{"service": "s", "after": [], "bytes": 8000, "odd": 1}],
        "resumable": True,
        "later": {"a": 1},
    }
    pieces = {"slots": 1, "batch": 18, "call_ms": 200.0, "item_ms": 9.5}
    context.published = json.dumps(
        {
            "version": 7,
            "routes": [route],
            "services": [
                {"name": "e", "max_conns": 480, "engine": {"slots": 96, "new": 1}},
                {"name": "s", "pieces": pieces},
            ],
            "limits": {"max_body_bytes": 10, "idle_timeout_ms": 1500},
            "tenants": [{"name": "t", "api_keys": ["secret-9"], "priority": 0}],
            "unheard": [],
        }
    ).encode()


@then("its routes, services, accounts and limits are those of the text")
def step(context):
    document = read_route_document(context.published)
    route = document.routes[0]
    assert (route.host, route.kind) == ("a.example", CallKind.STREAM)
    assert (route.timeout_seconds, route.objective_seconds) == (6.0, 0.91)
    assert [t.service for t in route.targets] == ["e", "f"]
    assert route.repeatable and route.stages[0].result_bytes == 8000
    assert document.services[1].pieces.batch == 18
    assert document.accounts[0].key_digests == {key_digest("secret-9")}
    assert (document.limits.body_bytes, document.limits.idle_seconds) == (10, 1.5)


@then("no key stands in what it prints")
def step(context):
    assert "secret-9" not in repr(read_route_document(context.published))


@then("a text that is no configuration is a failure")
def step(context):
    for text in (
        b"",
        b"{}",
        b"[]",
        b"\xff",
        b'{"version":1,"routes":[{"kind":"odd"}]}',
    ):
        assert isinstance(read_route_document(text), PublishedMalformed), text


@then('no module outside of "{folder}" names a header, call or field of the wire')
def step(context, folder):
    found = [
        (str(path.relative_to(ROOT)), match.group())
        for path in ROOT.rglob("*.py")
        if path.relative_to(ROOT).parts[0] != folder
        for match in [WIRE_NAMES.search(path.read_text())]
        if match
    ]
    assert not found, found


@when('an engine lists "{text}" as cached')
def step(context, text):
    body = b"[" * 100_000 if text == "[nested]" else text.encode()
    context.cached = read_cached_parts(body)


@then('it has cached "{parts}"')
def step(context, parts):
    expected = None
    if parts != "unreadable":
        pairs = (part.split() for part in parts.split(", "))
        expected = {identity: int(tokens) for identity, tokens in pairs}
    assert context.cached == expected, context.cached


@then('it has cached ""')
def step(context):
    assert context.cached == {}, context.cached
