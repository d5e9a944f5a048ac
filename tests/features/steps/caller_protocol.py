"""Steps that send bytes to the caller port of an entry."""

import json
import re
import time

from behave import then, when

from boragestream.operator.client import Client
from tests.standins import caller
from tests.standins.sites import example_key

KEY = example_key("patan-counter")
LIMIT = 1_048_576


def post(headers=(), body=b"", key=KEY, **options):
    """Return a request that carries a key."""
    return caller.post(headers, body, key=key, **options)


def sized(body, headers=(), key=KEY, **options):
    """Return a request with a key and the correct length of its body."""
    return caller.sized(body, headers, key=key, **options)


GOOD = b'{"input": 1}'
CHUNKED = b"Transfer-Encoding: chunked"
LENGTH = b"Content-Length: 12"
CASES = {
    "length and chunked": post([LENGTH, CHUNKED], b"c\r\n%b\r\n0\r\n\r\n" % GOOD),
    "chunked in HTTP 1.0": post([CHUNKED], GOOD).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "two lengths": post([LENGTH, b"Content-Length: 5"], GOOD),
    "negative length": post([b"Content-Length: -1"], GOOD),
    "folded header": post([LENGTH, b"X-A: a", b" b: c"], GOOD),
    "bare line feed": post([LENGTH, b"X-A: a\nX-B: b"], GOOD),
    "space before colon": post([LENGTH, b"X-A : a"], GOOD),
    "no request line": b"hello\r\n\r\n",
    "broken chunk": post([CHUNKED], b"zz\r\n%b\r\n0\r\n\r\n" % GOOD),
    "unknown transfer encoding": post([b"Transfer-Encoding: gzip"], GOOD),
    "long header": post([LENGTH, b"X-A: " + b"a" * 20000], GOOD),
    "long body announced": post([b"Content-Length: %d" % (LIMIT + 1)]),
    "long body in chunks": post([CHUNKED], b"%x\r\n" % (2 * LIMIT) + b"a" * 2 * LIMIT),
    "body that is not JSON": sized(b"{input"),
    "body that is no object": sized(b"[1]"),
    "body with another field": sized(b'{"input": 1, "x": 2}'),
    "body nested too deeply": sized(b'{"input": ' + b"[" * 100_000 + b"}"),
    "body with a lone surrogate": sized(b'{"input": "\xed\xa0\x80"}'),
    "empty body": sized(b""),
    "no key": sized(GOOD, key=""),
    "key in another encoding": sized(GOOD, key="ключ"),
    "unknown pipeline": sized(GOOD, path=b"/v1/pipelines/%e0%a4%a"),
    "path in another encoding": sized(GOOD, path=b"/v1/%ff%fe"),
    "path of raw bytes": sized(GOOD, path=b"/v1/\xff\xfe"),
    "path with a zero byte": sized(GOOD, path=b"/v1/%00"),
    "wrong method": sized(GOOD).replace(b"POST", b"BREW"),
    "wrong method for a ticket": sized(GOOD, path=b"/v1/tickets/x"),
    "deadline of letters": sized(GOOD, [b"X-Deadline-Ms: soon"]),
    "deadline of other digits": sized(GOOD, [b"X-Deadline-Ms: \xb2\xb3"]),
    "deadline of a thousand digits": sized(GOOD, [b"X-Deadline-Ms: " + b"9" * 1000]),
    "deadline that has passed": sized(GOOD, [b"X-Deadline-Ms: -5"]),
    "long ticket": sized(GOOD, [b"Idempotency-Key: " + b"t" * 300]),
}


@when('the bytes of "{case}" are sent to the caller port of "{name}"')
def step(context, case, name):
    port = context.fleet.entries[name].port
    context.answer = caller.exchange(port, CASES[case])


@then('it answers {status:d} with "{failure}"')
def step(context, status, failure):
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert re.match(rb"HTTP/1.[01] %d " % status, head), context.answer
    assert b"application/problem+json" in head, context.answer
    problem = json.loads(body)
    assert problem["type"] == f"urn:boragestream:refused:{failure}", problem
    assert KEY.encode() not in context.answer, context.answer


@then('"{name}" still serves')
def step(context, name):
    address = context.fleet.entries[name].address
    reply = Client(KEY, ()).call("caption", "x", address=address)
    assert reply.outcome == "answered", reply


@when('{count:d} callers send a byte of their bodies again and again to "{name}"')
def step(context, count, name):
    port = context.fleet.entries[name].port
    context.slow = [caller.connect(port) for _ in range(count)]
    for sock in context.slow:
        sock.sendall(post([b"Content-Length: 1000"]))
        sock.settimeout(0.01)


@then("each of their connections is closed")
def step(context):
    until = time.monotonic() + caller.WAIT_SECONDS
    while context.slow and time.monotonic() < until:
        context.slow = [sock for sock in context.slow if not is_closed(sock)]
    assert not context.slow, len(context.slow)


def is_closed(sock):
    """Send one more byte; return whether the other side has closed."""
    try:
        sock.sendall(b"a")
        return sock.recv(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
