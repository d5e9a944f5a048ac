"""Steps that read the answers of servers that send any bytes."""

import threading
import time

from behave import given, then, when

from boragestream.backend.attempt import (
    OpenAnswer,
    ServerErred,
    ServerRefused,
    open_attempt,
)
from boragestream.backend.calls import StageCall
from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.failures import AttemptCancelled, AttemptFailure
from boragestream.backend.forwarded_call import (
    CallLine,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import SystemClock
from boragestream.base.failures import CallerGone, DeadlinePassed, EntryCutOff
from boragestream.base.memory_budget import MemoryBudget
from boragestream.platform.reader import PlatformUnreachable, get_value
from boragestream.platform.wire import read_answer_head
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server
from boragestream.serving.health_probe import HealthProbe
from boragestream.serving.server_probe import ServerProbe
from tests.standins.background import in_background
from tests.standins.fleet import wait_until
from tests.standins.scripted_server import ScriptedServer

BUDGET_BYTES = 160 * 1_048_576
SECONDS = 10.0
SHORT_SECONDS = 0.4
BODY = b"the whole body"
UPLOAD = bytes(32 * 1_048_576)
CALL = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
HEADERS = (
    b"Request-Id: r-1\r\nServer-Seal: s\r\nServer-Limit: 12\r\nServer-Load: 1,20,30\r\n"
)
CHUNKS = b"9\r\nthe whole\r\n5\r\n body\r\n0\r\nX-Sum: 1\r\n\r\n"
# What servers of pipelines say of themselves, and what probes are answered.
STATEMENTS = b"X-Request-Id: r-1\r\nX-Attempt-Id: a-1\r\nX-Request-Limit: 12\r\n"
ANSWERS = {
    "with a length": (b"Content-Length: %d\r\n\r\n" % len(BODY), BODY),
    "in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", CHUNKS),
    "without a length": (b"\r\n", BODY),
}
ENDS = {"ends": "end", "is reset": "reset"}
# How long a part of a body has been read when its call is cancelled.
PART_SECONDS = 0.1
CANCELLATIONS = {
    "the deadline passes": DeadlinePassed("wait"),
    "the caller leaves": CallerGone(),
    "the entry turns out to be cut off": EntryCutOff("service"),
}


def prepare(context):
    """Start a server and what its calls share."""
    context.backend = ScriptedServer()
    context.add_cleanup(context.backend.close)
    context.heads, context.oversized = [], []
    context.results = []
    clock = SystemClock()
    context.line = CallLine(
        read_answer_head,
        ConnectionKeeper(),
        clock,
        lambda service: 0,
        note_head=lambda server, head, sent_at: context.heads.append(head),
        memory=MemoryBudget(BUDGET_BYTES, clock),
        note_oversized=lambda server, bound: context.oversized.append(
            (server.name, bound)
        ),
    )
    watchdog = Watchdog(clock)
    in_background(context, watchdog.run, watchdog.stop)
    context.watchdog = watchdog


def backend_server(context):
    """Return the server as it is listed."""
    return Server("server", "service", context.backend.address, "hall")


def make_call(context, seconds=SECONDS, stream=False, cancelled=None, body=b""):
    """Make a call; return the whole body or the failure.

    ``cancelled`` is why the call is cancelled once the server has sent its script, and
    ``body`` is what the call uploads.
    """
    scope = CancelScope(context.line.clock.now() + seconds)
    context.watchdog.open(scope)
    if cancelled is not None:
        calls = context.backend.calls
        wait = (scope, calls, cancelled)
        threading.Thread(target=cancel_later, args=(context, *wait)).start()
    server = backend_server(context)
    call = OutgoingCall("GET", "r-1", lambda left: CALL, body=body)
    try:
        answer = open_forwarded_call(context.line, server, call, scope)
        if isinstance(answer, AttemptFailure):
            return answer
        if not stream:
            return answer.read()
        *parts, last = [b"", *answer.parts()]
        return last if isinstance(last, AttemptFailure) else b"".join([*parts, last])
    finally:
        context.watchdog.close(scope)


def cancel_later(context, scope, calls, reason):
    """Cancel a call some time after the server has taken it."""
    wait_until(lambda: context.backend.calls > calls)
    time.sleep(PART_SECONDS)
    scope.cancel(reason)


@given("a server that sends an answer {framed}")
def step(context, framed):
    prepare(context)
    framing, body = ANSWERS[framed]
    context.head, context.body = STATUS + HEADERS + framing, body
    context.backend.script(context.head + context.body)


@given("a server that says of itself what it can")
def step(context):
    prepare(context)
    framing, context.body = ANSWERS["with a length"]
    context.head = STATUS + STATEMENTS + framing


@given('a server whose answer has the line "{line}" in its head')
def step(context, line):
    prepare(context)
    framing, body = ANSWERS["with a length"]
    if line.startswith("Content-Length"):
        framing = b"\r\n"
    head = STATUS + unescape(line) + b"\r\n" + HEADERS + framing
    context.backend.script(head + body)


def unescape(text):
    """Return the bytes of a text in which control characters are escaped."""
    return text.encode().decode("unicode_escape").encode("latin-1")


@given('a server whose answer has the status line "{line}"')
def step(context, line):
    prepare(context)
    framing, body = ANSWERS["with a length"]
    head = unescape(line) + b"\r\n" + HEADERS + framing
    context.backend.script(head + body)


@given('a server whose answer has the trailer "{line}"')
def step(context, line):
    prepare(context)
    framing, _ = ANSWERS["in chunks"]
    body = CHUNKS.replace(b"X-Sum: 1", unescape(line))
    context.backend.script(STATUS + HEADERS + framing + body)


@when("each cut of its head is sent, and the connection {ends}")
def step(context, ends):
    for size in range(len(context.head)):
        context.backend.script(context.head[:size], then=ENDS[ends])
        context.results += [make_call(context), make_call(context, stream=True)]


def is_answered_in_pipeline(context):
    """Make a call of a pipeline; return whether anything was taken from its answer."""
    stated = []
    answer = open_attempt(
        StageCall("r-1", "/", b"{}", False, 0, False),
        "server",
        context.backend.address,
        "a-1",
        ConnectionKeeper(),
        CancelScope(context.line.clock.now() + SECONDS),
        context.line.clock,
        sending=lambda: None,
        note_limit=lambda limit, sent_at, whole: stated.append(limit),
        note_brittle=lambda brittle, sent_at, whole: stated.append(brittle),
    )
    if isinstance(answer, OpenAnswer):
        answer.close()
    return bool(stated) or isinstance(answer, ServerRefused | ServerErred)


def is_read_from_platform(context):
    """Read a value of the platform; return whether there was an answer."""
    answer = get_value(context.backend.address, "/", SECONDS)
    return not isinstance(answer, PlatformUnreachable)


def is_answered_to_probe(context):
    """Probe a server; return whether it answered."""
    probe = ServerProbe(
        context.line, lambda server: CALL, context.watchdog, context.line.clock
    )
    return probe(backend_server(context), SECONDS).answered


def is_answered_to_health_probe(context):
    """Probe a server of a pipeline; return whether it answered."""
    clock = context.line.clock
    probe = HealthProbe(ServerReach(clock, lambda service: 2), clock)
    return probe(backend_server(context), SECONDS).answered


READERS = {
    "a call of a pipeline": is_answered_in_pipeline,
    "a read of the platform": is_read_from_platform,
    "a probe of a server": is_answered_to_probe,
    "a probe of a pipeline's server": is_answered_to_health_probe,
}


@when("{reader} is sent each cut of its head")
def step(context, reader):
    answered = READERS[reader]
    context.answered = []
    for size in range(len(context.head)):
        context.backend.script(context.head[:size])
        context.answered.append(answered(context))
    context.backend.script(context.head + context.body)
    context.answered.append(answered(context))


@then("no cut counted as an answer, and the whole one did")
def step(context):
    *cut, whole = context.answered
    assert whole
    assert not any(cut), cut.index(True)


@when("each cut of its body is sent, and the connection {ends}")
def step(context, ends):
    for size in range(len(context.body)):
        context.backend.script(context.head + context.body[:size], then=ENDS[ends])
        context.results += [make_call(context), make_call(context, stream=True)]


@when("half of its body is sent, and the connection is reset")
def step(context):
    half = context.head + context.body[: len(context.body) // 2]
    context.backend.script(half, then="reset")
    context.results = [make_call(context), make_call(context, stream=True)]


@when("half of its body is sent, and the {event}")
def step(context, event):
    half = context.head + context.body[: len(context.body) // 2]
    context.backend.script(half, then="hold")
    reason = CANCELLATIONS[f"the {event}"]
    context.results = [
        make_call(context, cancelled=reason),
        make_call(context, stream=True, cancelled=reason),
    ]


@when("a long call is made, and after {part} the connection {ends}")
def step(context, part, ends):
    sent = {
        "its head": context.head,
        "half of its body": context.head + context.body[: len(context.body) // 2],
    }
    context.backend.script(sent[part], then=ENDS[ends])
    make_long_calls(context)


@when("a long call is made to a server that {reads} of it")
def step(context, reads):
    if reads == "reads all":
        context.backend.reads = len(CALL) + len(UPLOAD)
    make_long_calls(context)


def make_long_calls(context):
    """Make calls whose upload does not fit into the buffers of a connection."""
    context.results = [
        make_call(context, body=UPLOAD),
        make_call(context, stream=True, body=UPLOAD),
    ]


@when("the last bytes of its head are not sent before the deadline")
def step(context):
    context.backend.script(context.head[:-1], then="hold")
    context.results = [
        make_call(context, SHORT_SECONDS),
        make_call(context, SHORT_SECONDS, stream=True),
    ]


@when('interim answers with the statuses "{statuses}" come before it')
def step(context, statuses):
    interim = b"".join(
        b"HTTP/1.1 %d Interim\r\nX-Note: 1\r\n\r\n" % int(status)
        for status in statuses.split(", ")
    )
    context.backend.script(interim + context.head + context.body)
    context.results = [make_call(context), make_call(context, stream=True)]


@when("the call is made")
def step(context):
    context.results = [make_call(context), make_call(context, stream=True)]


@then("no call is answered")
@then("the call failed")
@then("the call failed, and is not answered in part")
def step(context):
    check_none_answered(context)


def check_none_answered(context):
    """Check that each call failed."""
    answered = [r for r in context.results if not isinstance(r, AttemptFailure)]
    assert context.results and not answered, (len(answered), len(context.results))


@then("no call is answered, and nothing was taken from a head")
def step(context):
    check_none_answered(context)
    assert not context.heads, len(context.heads)


@then("the call failed for its deadline, and nothing was taken from a head")
def step(context):
    for result in context.results:
        assert isinstance(result, AttemptCancelled), result
        assert isinstance(result.reason, DeadlinePassed), result
    assert not context.heads, len(context.heads)


@then("the call is answered with the whole body")
def step(context):
    assert context.results == [BODY, BODY], context.results
