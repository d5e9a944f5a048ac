"""Steps on an entry with bounded memory, under callers and servers that read slowly.

Each scenario guards against an entry that grows until the platform ends it, that keeps
bytes of requests that have ended, or that tells callers something untrue meanwhile.
"""

import re
import select
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.memory_site import (
    BODY_BYTES,
    LARGE_BYTES,
    SMALL_BUFFER,
    MemorySite,
    read_all,
    try_send,
)
from tests.standins.route_site import KEY

# The time that callers which do not read give their requests, and that it takes until
# their output counts as not read afterwards.
WAIT_MS = 1500
STALLED_SECONDS = 1.2
CHUNK_BYTES = 50_000
EVENTS = 100
GIVEN_UP = "slow_reader_abandoned"
SECONDS = 30


@given("an entry of {memory:d} MB")
def step(context, memory):
    context.site = MemorySite(memory)
    context.add_cleanup(context.site.close)
    context.site.start()
    context.silent = []
    context.add_cleanup(lambda: [sock.close() for sock in context.silent])


def ask_and_read_nothing(context, path="/safe/large", wait_ms=WAIT_MS):
    """Send a request over a connection that the scenario keeps; return its id."""
    request_id = f"silent-{len(context.silent)}"
    sock = context.site.connect(SMALL_BUFFER)
    context.silent.append(sock)
    head = context.site.head(path, 0, wait_ms=wait_ms, request_id=request_id)
    try_send(sock, head)
    return request_id


@when("{count:d} callers ask for large answers and read nothing")
def step(context, count):
    for _ in range(count):
        ask_and_read_nothing(context)


@when(
    "{count:d} callers send {part:d} bytes of a body of {size:d} bytes and then nothing"
)
def step(context, count, part, size):
    body = b"x" * part
    for _ in range(count):
        sock = context.site.connect()
        context.silent.append(sock)
        sock.setblocking(False)
        try_send(sock, context.site.head("/safe/ok", size))
        try_send(sock, body)


@when("{count:d} callers ask for large answers one after another and read nothing")
def step(context, count):
    for number in range(count):
        ask_and_read_nothing(context)
        wait_until(lambda n=number: context.site.held() > n * LARGE_BYTES * 0.8)


@when("the deadlines of the callers that do not read have passed")
def step(context):
    time.sleep(WAIT_MS / 1000 + STALLED_SECONDS)


@then("the entry stays within its budget and under {resident:d} MB")
def step(context, resident):
    memory = context.site.memory()
    assert context.site.held() <= memory["memory_limit_bytes"], memory
    assert context.site.resident_mb() < resident


@then("{count:d} other callers are answered at once or when they return")
def step(context, count):
    for _ in range(count):
        answer = context.site.call_again("/safe/ok")
        assert answer.status == 200, answer.status


@when("{count:d} callers send a body of {size:d} bytes at once")
def step(context, count, size):
    body = b"x" * size
    context.answers = context.site.at_once(
        count, lambda _: context.site.call("/safe/ok", body=body)
    )


@then("each is answered, or refused with a time to return and not run")
def step(context):
    for answer in context.answers:
        assert answer is not None, "a caller got a connection reset"
        runs = context.site.runs(answer.request_id)
        if answer.status == 503:
            assert float(answer.headers["Retry-After"]) > 0
            assert runs == 0
        else:
            assert (answer.status, runs) == (200, 1), answer.status
    assert 200 in {answer.status for answer in context.answers}


@then("its directory and its readiness check answer")
def step(context):
    assert context.site.ready("entry-0") == 200
    assert context.site.directory("entry-0")


@when("the callers that do not read have gone")
def step(context):
    for sock in context.silent:
        sock.close()


@then("the entry holds nothing")
def step(context):
    wait_until(lambda: context.site.held() == 0, what="all bytes are returned")


@when("a caller sends the head of a request with a body of {size:d} bytes, {how}")
def step(context, size, how):
    site = context.site
    more = {"Expect": "100-continue"} if "continue" in how else {}
    context.sock = site.connect()
    context.body = b"x" * size
    context.request_id = "head-first"
    head = site.head("/safe/ok", size, request_id=context.request_id, **more)
    context.sock.sendall(head)


@when("{count:d} callers send {headers:d} headers each and a part of a body")
def step(context, count, headers):
    more = {f"h{number}": "" for number in range(headers)}
    for number in range(count):
        sock = context.site.connect()
        context.silent.append(sock)
        head = context.site.head("/safe/ok", 10, request_id=f"m-{number}", **more)
        sock.sendall(head + b"x")
        wait_until(lambda n=number: context.site.held() > n * headers * 100)


@then("the last of them is refused by its id, and the others are not answered")
def step(context):
    *others, last = context.silent
    last.settimeout(SECONDS)
    answer = last.recv(65536)
    assert answer.startswith(b"HTTP/1.1 503 "), answer
    assert b"m-2" in answer, answer
    for sock in others:
        sock.setblocking(False)
        assert not readable(sock)


def readable(sock):
    """Return whether a connection has brought anything."""
    return bool(select.select([sock], [], [], 0)[0])


@then("it is refused with a time to return, and not run")
def step(context):
    head = b""
    while b"memory-exhausted\n" not in head:
        part = context.sock.recv(65536)
        assert part, head
        head += part
    assert head.startswith(b"HTTP/1.1 503 "), head
    assert float(re.search(rb"(?i)retry-after: (\S+)", head).group(1)) > 0
    assert context.request_id.encode() in head
    assert context.site.runs(context.request_id) == 0


@then("the refusal is logged with the request's id, its bytes and the budget")
def step(context):
    def refusals():
        return [e for e in context.site.events() if e["name"] == "memory_refused"]

    wait_until(refusals, what="the refusal is logged")
    event = refusals()[0]
    assert event["request"] == context.request_id, event
    assert event["bytes"] == len(context.body)
    assert event["budget"] == context.site.memory()["memory_limit_bytes"]


@when("it sends the body all the same")
def step(context):
    try_send(context.sock, context.body)


@then("its connection ends without a reset")
def step(context):
    assert read_all(context.sock) == (b"", False)


def send_chunked(sock, size, end=b"0\r\n\r\n"):
    """Send a chunked body."""
    for _ in range(size // CHUNK_BYTES):
        try_send(sock, b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES))
    try_send(sock, end)


@when("a caller sends a chunked body of {size:d} bytes")
def step(context, size):
    context.request_id = "chunked"
    more = {"Transfer-Encoding": "chunked", "Connection": "close"}
    context.sock = context.site.connect()
    context.sock.sendall(
        context.site.head("/safe/ok", request_id=context.request_id, **more)
    )
    send_chunked(context.sock, size)
    context.size = size


@then("the chunked body is answered with {status:d}, and ran {runs:d} times")
def step(context, status, runs):
    data, was_reset = read_all(context.sock)
    assert not was_reset
    assert data.startswith(b"HTTP/1.1 %d " % status), data[:200]
    assert context.site.runs(context.request_id) == runs
    if runs:
        sizes = [len(s.bodies.get(context.request_id, b"")) for s in plain(context)]
        assert max(sizes) == context.size


def plain(context):
    """Return the plain servers."""
    return context.site.of_kind("plain")


@when('a caller asks for "{path}" and reads nothing for {ms:d} ms')
def step(context, path, ms):
    context.path = path
    ask_and_read_nothing(context, path, ms)
    context.late_at = time.monotonic() + ms / 1000


@then("no request is in hand, and the entry holds output")
def step(context):
    def is_buffered():
        return context.site.in_hand() == 0 and context.site.memory()["output"] > 0

    wait_until(is_buffered, what="the answer is in the connection's buffer")
    # The deadline ends streams, which would free the thread even without a budget.
    assert time.monotonic() < context.late_at


@when("the caller reads on after its deadline")
def step(context):
    time.sleep(max(0.0, context.late_at - time.monotonic()) + STALLED_SECONDS)
    context.data = read_answer(context.silent[0])


def read_answer(sock):
    """Return an answer with its head, as far as it comes."""
    data = b""
    try:
        while not is_whole(data):
            part = sock.recv(65536)
            if not part:
                return data
            data += part
    except ConnectionError:
        pass
    return data


def is_whole(data):
    """Return whether a large answer has come to its end."""
    head, _, body = data.partition(b"\r\n\r\n")
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    return len(body) == LARGE_BYTES


@then("it has the whole answer")
def step(context):
    assert is_whole(context.data), len(context.data)
    if context.path.startswith("/chat"):
        assert context.data.count(b"data: ") == EVENTS


@then("no slow reader has been given up")
def step(context):
    assert context.site.memory()["slow_readers_abandoned_total"] == 0


@when("a caller sends a body of {size:d} bytes")
def step(context, size):
    context.answer = context.site.call("/safe/ok", body=b"x" * size)


@then("the large body is answered")
def step(context):
    assert context.answer.status == 200, context.answer.status


@then("the first connections were reset, and each other one gets the whole answer")
def step(context):
    count = int(context.site.memory()["slow_readers_abandoned_total"])
    assert 0 < count < len(context.silent), count
    whole = [is_whole(read_answer(sock)) for sock in context.silent]
    assert whole == [False] * count + [True] * (len(whole) - count), whole
    context.given_up = count


@then("the log names each request that was given up, with its bytes and seconds")
def step(context):
    def given_up():
        return [e for e in context.site.events() if e["name"] == GIVEN_UP]

    wait_until(lambda: len(given_up()) == context.given_up, what="the log")
    events = given_up()
    names = [f"silent-{number}" for number in range(context.given_up)]
    assert [event["request"] for event in events] == names, events
    assert all(e["bytes"] > 0 and e["seconds"] >= 1 for e in events), events


@when('a caller sends a body of {size:d} bytes to "{path}"')
def step(context, size, path):
    context.answer = context.site.call(path, body=b"x" * size)


@then("the answer has the status {status:d}, and the request ran {runs:d} times")
def step(context, status, runs):
    assert context.answer.status == status, context.answer.body
    assert context.site.runs(context.answer.request_id) == runs


@then("the log names the server that stopped reading")
def step(context):
    def failures():
        return [
            event["failure"]
            for event in context.site.events()
            if event["name"] == "attempt_failed"
            and event["request"] == context.answer.request_id
        ]

    wait_until(failures, what="the failure is logged")
    assert len(failures()) == 1, failures()
    assert failures()[0].startswith("call-unread server="), failures()


@when("{count:d} callers send small requests one after another")
def step(context, count):
    for _ in range(count):
        assert context.site.call("/safe/ok").status == 200


@then("the log names the server that crashed, with its bound of {size:d} bytes")
def step(context, size):
    def bounded():
        return [e for e in context.site.events() if e["name"] == "server_bounded"]

    wait_until(bounded, what="the bound is logged")
    event = bounded()[0]
    assert event["request"] == context.answer.request_id, event
    assert event["bytes"] == size, event


def send_then_close(context, data, answered=0):
    """Send bytes, read some of the answer, and close the connection."""
    sock = context.site.connect(SMALL_BUFFER)
    try_send(sock, data)
    read = b""
    while len(read) < answered and (part := sock.recv(answered)):
        read += part
    sock.close()
    return read


def end_refused(context, site):
    """Have a request refused for memory."""
    answer = site.call("/safe/ok", body=b"x" * 3_000_000)
    assert answer.status == 503, answer.status


def end_gone_waiting(context, site):
    """Close the connection while a server works."""
    sock = site.connect()
    sock.sendall(site.head("/safe/slow", 0, request_id="gone"))
    wait_until(lambda: site.runs("gone") == 1)
    sock.close()


def end_two_at_once(context, site):
    """Send two requests behind one another, and read both answers."""
    head = site.head("/safe/ok", 4, Connection="keep-alive")
    last = site.head("/safe/ok", 4, Connection="close")
    sock = site.connect()
    sock.sendall(head + b"body" + last + b"body")
    assert read_all(sock)[0].count(b"HTTP/1.1 200") == 2


def end_malformed_chunk(context, site):
    """Send a chunk without a size."""
    head = site.head("/safe/ok", Transfer_Encoding="chunked")
    good = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    assert b" 400 " in send_then_close(context, head + good + b"no size\r\n", 20)


def call_for(path, status, **more):
    """Return a function that sends a request and checks its answer's status."""

    def end(context, site):
        answer = site.call(path, **more)
        assert answer.status == status, answer.status

    return end


ENDS = {
    "answered": call_for("/safe/large", 200, body=b"x" * 100_000),
    "refused for memory": end_refused,
    "caller gone within the head": lambda context, site: send_then_close(
        context, site.head("/safe/ok", 10)[:80]
    ),
    "caller gone within the body": lambda context, site: send_then_close(
        context, site.head("/safe/ok", 1_000_000) + b"x" * 300_000
    ),
    "caller gone within a chunked body": lambda context, site: send_then_close(
        context,
        site.head("/safe/ok", Transfer_Encoding="chunked")
        + b"%x\r\n%s" % (CHUNK_BYTES, b"x" * (CHUNK_BYTES // 2)),
    ),
    "caller gone before the answer": end_gone_waiting,
    "caller gone within the answer": lambda context, site: send_then_close(
        context, site.head("/safe/large", 0), 1000
    ),
    "caller gone within the stream": lambda context, site: send_then_close(
        context, site.head("/chat/large", 0), 1000
    ),
    "caller gone after a refusal": lambda context, site: send_then_close(
        context, site.head("/safe/ok", 3_000_000) + b"x" * 100_000, 20
    ),
    "malformed chunk": end_malformed_chunk,
    "two lengths": lambda context, site: send_then_close(
        context, site.head("/safe/ok", 10, Transfer_Encoding="chunked"), 20
    ),
    "body too long": lambda context, site: send_then_close(
        context, site.head("/safe/ok", BODY_BYTES + 1), 20
    ),
    "unknown key": call_for("/safe/ok", 401, Authorization=f"Bearer not-{KEY}"),
    "two requests at once": end_two_at_once,
    "blank lines": lambda context, site: send_then_close(context, b"\r\n\r\n\r\n"),
    "answer cut": call_for("/unsafe/cut", 502),
    "stream cut": call_for("/draft/cut", 200),
}


@when('a request ends as "{end}"')
def step(context, end):
    ENDS[end](context, context.site)
