"""Steps on servers that send bytes without end."""

from behave import given, then, when

from boragestream.backend.failures import AnswerTooLarge, AttemptFailure
from boragestream.operator.route_samples import read_samples
from boragestream.policy.oversized_answers import AVOID_SECONDS, OversizedAnswers
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server
from boragestream.serving.health_probe import HealthProbe
from tests.features.steps.whole_answers import (
    BODY,
    HEADERS,
    READERS,
    STATUS,
    backend_server,
    make_call,
    prepare,
)
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until

HEAD = STATUS + HEADERS
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FRAMED = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
BLOCK = b"x" * 65_536
# What comes first, and what is repeated without end.
ENDLESS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "other interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "header lines": (HEAD, b"X-Header: %s\r\n" % (b"v" * 1000) * 100),
    "a header": (HEAD + b"X-Header: ", BLOCK),
    "short lines of a head": (HEAD + b"A: b\r\n" * 200 + b"\r\n", BLOCK),
    "a body that has no length": (HEAD + b"\r\n", BLOCK),
    "a body of a huge length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "large chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "chunks of a byte": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "a chunk's size": (CHUNKED, b"1" * 65_536),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"T: v\r\n" * 10_000),
    "other bytes": (b"", BLOCK),
}
EVENT = b"id: 1\ndata: word\n\n"
LARGE = b"x" * (15 * 1_048_576)
SOUND = {
    "some interim heads": (b"HTTP/1.1 102 Processing\r\n\r\n" * 4 + FRAMED, BODY),
    "many headers": (
        STATUS + b"X-Header: value\r\n" * 60 + FRAMED[len(STATUS) :],
        BODY,
    ),
    "many trailers": (
        CHUNKED + b"e\r\n" + BODY + b"\r\n0\r\n" + b"X-T: v\r\n" * 60 + b"\r\n",
        BODY,
    ),
    "1000 chunks of a byte": (
        CHUNKED + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n",
        b"x" * 1000,
    ),
    "an event in each of 10000 chunks": (
        CHUNKED + (b"%x\r\n" % len(EVENT) + EVENT + b"\r\n") * 10_000 + b"0\r\n\r\n",
        EVENT * 10_000,
    ),
    "15 MiB without a length": (HEAD + b"\r\n" + LARGE, LARGE),
}
MEGABYTE = 1_048_576
BYTE_SECONDS = 0.05
SERVERS = [Server(f"s-{n}", "service", f"host-{n}", "hall") for n in range(6)]


@given("a server whose answers have {what} without end")
def step(context, what):
    prepare(context)
    context.backend.script(*ENDLESS[what])


@given("a server whose answers have {what}")
def step(context, what):
    prepare(context)
    answer, context.whole = SOUND[what]
    context.backend.script(answer)


@when("it is called, and its answer is read whole and as a stream")
def step(context):
    context.results = [make_call(context), make_call(context, stream=True)]


@then('both calls fail at the bound "{bound}", and their connections were closed')
def step(context, bound):
    for result in context.results:
        assert isinstance(result, AnswerTooLarge), result
        assert result.limit == bound, result
    wait_until(lambda: context.backend.ended == 2, what="the end of the connections")


@then("both calls fail, and their connections were closed")
def step(context):
    for result in context.results:
        assert isinstance(result, AttemptFailure), result
    wait_until(lambda: context.backend.ended == 2, what="the end of the connections")


@when("{reader} reads its answer")
def step(context, reader):
    READERS[reader](context)


@then("at most {megabytes:d} MB were sent before its connection was closed")
def step(context, megabytes):
    backend = context.backend
    wait_until(lambda: backend.ended == 1, what="the end of the connection")
    sent = backend.repeats * len(backend.repeated)
    assert sent <= megabytes * MEGABYTE, sent


@then("the bound was noted for the server")
def step(context):
    bounds = [result.limit for result in context.results]
    assert context.oversized == [("server", bound) for bound in bounds]


@then("both calls are answered whole")
def step(context):
    assert context.results == [context.whole] * 2, [len(r) for r in context.results]


@given("a server that sends the head of its answer byte by byte without end")
def step(context):
    prepare(context)
    context.backend.script(HEAD + b"X-Header: ", b"x", pause=BYTE_SECONDS)


@when("a probe of a pipeline's server has {seconds:f} s")
def step(context, seconds):
    clock = context.line.clock
    probe = HealthProbe(ServerReach(clock, lambda service: 2), clock)
    context.result = probe(backend_server(context), seconds)


@then("it has ended as one that hangs before the server's {number:d}th byte")
def step(context, number):
    assert context.result.hung and not context.result.answered, context.result
    wait_until(lambda: context.backend.ended, what="the end of the connection")
    assert context.backend.repeats < number, context.backend.repeats


@given("a record of oversized answers")
def step(context):
    context.clock = SetClock(100.0)
    context.record = OversizedAnswers(context.clock)


@when("an answer of one of six servers goes beyond a bound")
def step(context):
    context.record.note(SERVERS[0])


@when("answers of four of six servers go beyond a bound")
def step(context):
    for server in SERVERS[:4]:
        context.record.note(server)


@then("calls that may run only once go to the five others for 10 s")
def step(context):
    assert list(context.record.without_suspects(SERVERS)) == SERVERS[1:]
    context.clock.seconds += AVOID_SECONDS - 0.1
    assert list(context.record.without_suspects(SERVERS)) == SERVERS[1:]


@then("they go to all six again after that")
def step(context):
    context.clock.seconds += 0.2
    assert list(context.record.without_suspects(SERVERS)) == SERVERS


@then("calls that may run only once go to all six")
def step(context):
    assert list(context.record.without_suspects(SERVERS)) == SERVERS


@given("six plain servers, of which one answers with trailers without end")
def step(context):
    site = context.site
    zones = [server.zone for server in site.of_kind("plain")]
    for zone in zones * 2:
        site.add_server("plain", zone)
    count = len(site.servers)
    wait_until(
        lambda: any(e.get("instances") == count for e in site.events()),
        what="the server list",
    )
    for server in site.of_kind("plain"):
        server.work_seconds = 0.02
    context.endless = site.of_kind("plain")[0]
    chunk = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    context.endless.endless = (chunk, b"T: v\r\n" * 10_000)


@when(
    '{count:d} requests "{one}" and {other:d} requests "{two}" are sent, {n:d} at once'
)
def step(context, count, one, other, two, n):
    def call_all(number):
        once = [context.site.call(one) for _ in range(count // n)]
        repeatable = [context.site.call(two, "GET", None) for _ in range(other // n)]
        return once, repeatable

    results = context.site.at_once(n, call_all)
    context.once = [answer for once, _ in results for answer in once]
    context.repeatable = [answer for _, more in results for answer in more]


@then("all that may be repeated are answered, and of the others all but {most:d}")
def step(context, most):
    assert all(a.status == 200 and a.whole for a in context.repeatable)
    lost = [a for a in context.once if a.status != 200 or not a.whole]
    assert len(lost) <= most, len(lost)
    assert context.endless.runs, "the server got no call"


@then("the server and the bound are logged, and the bound is counted")
def step(context):
    site, bound = context.site, "8192 bytes of trailers"
    address = f"{site.fields['entry-0']['ip']}:9464"
    samples = read_samples(address).labelled("oversized_answers_total", "bound")
    (labels, count), *others = samples
    assert labels == (bound,) and not others, labels

    def logged():
        return site.events(kind="answer_oversized")

    # Lines are written out a while after they are logged.
    wait_until(lambda: len(logged()) == count, what="the lines")
    server = context.endless.identity
    assert {(e["server"], e["bound"]) for e in logged()} == {(server, bound)}
