"""Steps on the order of a stream's events."""

import re
import signal
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.answer_reader import AnswerReader
from boragestream.base.outcomes import Answered, Failed, Failure
from boragestream.caller.delegated_calls import DelegatedStream
from boragestream.caller.streaming import RelayedReply
from boragestream.serving.event_stream import MAX_EVENT_BYTES, EventSplitter
from tests.standins.fleet import wait_until
from tests.standins.route_server import EVENTS
from tests.standins.route_site import HOST, KEY
from tests.standins.stream_caller import Tries, read_stream, run_all
from tests.standins.stream_shapes import StreamShape

EVENT = b"id: %d\ndata: %d words\n\n"


# Events without a number, or whose number can't be read, and what is no event.
UNNUMBERED = {
    "plain": b"data: words\n\n",
    "spaced": b"id:  2\ndata: words\n\n",
    "comment": b": alive\n\n",
    "retry": b"retry: 1000\n\n",
    "gap": EVENT % (9, 9),
}

OK, MALFORMED = 200, 400
# The data of an event whose server writes short ones.
DATA_OF = b"%d v"
HAD_EVENTS = 2
SHORT_PAUSE_SECONDS = 0.05
LONG_PAUSE_SECONDS = 0.3
MAX_TRIES = 8
# The number within the data of an event.
DATA = re.compile(rb"^data: (\d+) ", re.MULTILINE)


def written(word):
    """Return the bytes of an event that a scenario names."""
    if word in UNNUMBERED:
        return UNNUMBERED[word]
    if word == "long":
        return b"id: " + b"9" * 40 + b"\ndata: words\n\n"
    if word == "endless":
        return b"data: " + b"x" * MAX_EVENT_BYTES
    if word.startswith("other"):
        return EVENT.replace(b"words", b"other") % ((int(word[len("other") :]),) * 2)
    return EVENT % (int(word), int(word))


def feed(context, parts, framed=True):
    """Feed what one server sends; return whether its stream is whole."""
    for part in filter(None, parts.split(", ")):
        if part == "break":
            context.splitter.discard_partial()
            return False
        events = context.splitter.feed(b"".join(map(written, part.split())))
        if isinstance(events, Failure):
            # Guards against an end behind a read that failed, which raised an error.
            context.splitter.finish(framed)
            context.splitter.discard_partial()
            return False
        context.passed += events
    whole = context.splitter.finish(framed) is None
    context.splitter.discard_partial()
    return whole


@given('a stream of {count:d} events whose first server sends "{parts}"')
def step(context, count, parts):
    context.splitter, context.passed, context.count = EventSplitter(None), [], count
    context.whole = feed(context, f"{parts}, break")


@when("another server goes on properly")
def step(context):
    first = (context.splitter.last or 0) + 1
    numbers = " ".join(str(n) for n in range(first, context.count + 1))
    context.whole = feed(context, numbers)


@then("another server may go on with it")
def step(context):
    assert context.splitter.resumable


@then("another server may not go on with it")
def step(context):
    assert not context.splitter.resumable


@given("a caller that goes on behind event {last:d}")
def step(context, last):
    context.splitter, context.passed = EventSplitter(last), []


@when('another server sends "{parts}"')
@when('another server sends ""')
def step(context, parts=""):
    context.whole = feed(context, parts)


@when('servers send "{parts}" without framing')
def step(context, parts):
    for sent in parts.split("; "):
        word = "" if sent == "nothing" else sent
        context.whole = feed(context, word, framed=False)


@then('"{numbers}" is passed on, and the stream is {end}')
@then('"" is passed on, and the stream is {end}')
def step(context, end, numbers=""):
    passed = [event for event in context.passed if event != UNNUMBERED["comment"]]
    assert passed == [written(n) for n in numbers.split()], context.passed
    assert context.whole is (end == "whole")


@then("the events come once and in order, and the stream is whole")
def step(context):
    assert context.passed == [written(str(n)) for n in range(1, context.count + 1)]
    assert context.whole


@when('{count:d} streams "{path}" are read at all entries, whole or not')
def step(context, count, path):
    site, entries = context.site, list(context.site.entries)
    context.answers = site.at_once(
        count, lambda n: site.call(path, entry=entries[n % len(entries)])
    )


def set_engines(context, name, value):
    """Set an attribute of all engines until the scenario ends."""
    engines = context.site.of_kind("engine")
    for engine in engines:
        context.add_cleanup(setattr, engine, name, getattr(engine, name))
        setattr(engine, name, value)


@given("engines that go on with streams {way}")
def step(context, way):
    set_engines(context, "goes_on", "proper" if way == "properly" else way)


@given("engines whose streams have {count:d} events")
def step(context, count):
    context.count = count
    set_engines(context, "events", count)


def in_order(answer):
    """Return whether an answer has events from the first one on, each once."""
    return answer.events == list(range(1, len(answer.events) + 1))


@then("the events of each come once and in order, and it is {whole}")
def step(context, whole):
    for answer in context.answers:
        assert in_order(answer), answer.body
        assert answer.whole is (whole == "whole"), answer.body
        assert not answer.whole or len(answer.events) == EVENTS, answer.body


@then("each has its first events once and is cut")
def step(context):
    for answer in context.answers:
        numbers = [int(n) for n in DATA.findall(answer.body)]
        assert numbers and numbers == list(range(1, len(numbers) + 1)), answer.body
        assert not answer.whole


@then("each has {count:d} events, once and in order, and is whole")
def step(context, count):
    for answer in context.answers:
        assert answer.events == list(range(1, count + 1)), answer.body
        assert answer.status == OK and answer.whole


@then("no event has the data of another one")
def step(context):
    for answer in context.answers:
        numbers = [int(n) for n in DATA.findall(answer.body)]
        assert numbers == answer.events and b"other" not in answer.body, answer.body


@when('callers go on with streams "{path}" behind event {last:d}')
def step(context, path, last):
    context.answers = context.site.at_once(
        4, lambda n: context.site.call(path, Last_Event_Id=str(last))
    )


@then("each fails with {status:d} under its own id")
def step(context, status):
    for answer in context.answers:
        assert answer.status == status, (answer.status, answer.body)
        assert answer.headers["Request-Id"] == answer.request_id


@then('each gets the events "{numbers}" and the end, in {runs:d} runs')
@then('each gets the events "" and the end, in {runs:d} runs')
def step(context, runs, numbers=""):
    wanted = [int(n) for n in numbers.split(", ") if n]
    for answer in context.answers:
        assert answer.status == OK and answer.whole, answer.body
        assert answer.events == wanted, answer.body
        assert context.site.runs(answer.request_id) == runs


@when('a caller goes on with stream "{path}" behind event "{number}"')
def step(context, path, number):
    context.answer = context.site.call(path, Last_Event_Id=number)


@then("it is told so, and no server is asked")
def step(context):
    assert context.answer.status == MALFORMED, context.answer.body
    assert context.site.runs(context.answer.request_id) == 0


@then('it gets the events "{numbers}"')
@then('it gets the events ""')
def step(context, numbers=""):
    answer = context.answer
    assert answer.status == OK and answer.whole
    assert answer.events == [int(n) for n in numbers.split(", ") if n], answer.body


def read_raw(site, version, path, when_begun=lambda: None):
    """Read a stream; return its events, and how the connection ended."""
    host, _, port = site.fields["entry-0"]["listen"]["front"].partition(":")
    lines = [
        f"POST {path} HTTP/{version}",
        f"Host: {HOST}",
        f"Request-Id: h-{next(site.numbers)}",
        "Deadline-Ms: 5000",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 0",
        "Connection: close",
    ]
    data = b""
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            while read := sock.recv(4096):
                data += read
                if DATA.search(data):
                    when_begun()
        except ConnectionResetError:
            return DATA.findall(data), "is reset"
    return DATA.findall(data), "ends"


@when('a caller of HTTP/{version} reads stream "{path}"')
def step(context, version, path):
    context.read = read_raw(context.site, version, path)


@when('a caller of HTTP/1.0 reads stream "{path}", and its entry is killed')
def step(context, path):
    site = context.site
    context.read = read_raw(site, "1.0", path, lambda: site.kill("entry-0"))


@then("it gets {count:d} events, and the connection {ends}")
def step(context, count, ends):
    events, ended = context.read
    assert (len(events), ended) == (count, ends), context.read


@then("it gets some events, and the connection is reset")
def step(context):
    events, ended = context.read
    assert events and ended == "is reset", context.read


RELAYED = [
    b'event: token\ndata: {"text":"one"}\n\n',
    b'event: token\ndata: {"text":"event: end"}\n\n',
    b'event: end\ndata: {"tokens":2}\n\n',
]


@given("an entry that streams two tokens and their end, {framing}")
def step(context, framing):
    body, head = b"".join(RELAYED), b"Transfer-Encoding: chunked"
    if framing == "with a length":
        head = b"Content-Length: %d" % len(body)
    else:
        chunks = [b"%x\r\n%b\r\n" % (len(event), event) for event in RELAYED]
        body = b"".join(chunks) + b"0\r\n\r\n"
    context.relayed = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n", body


def relay(head, body):
    """Relay an answer; return what the caller gets, and how it ended."""
    near, far = socket.socketpair()
    with near, far:
        far.sendall(head + body)
        far.shutdown(socket.SHUT_WR)
        reader = AnswerReader(near, method="POST")
        reader.begin()
        stream = DelegatedStream(reader, lambda: None)
        request = SimpleNamespace(
            scope=SimpleNamespace(reason=None),
            request_id="r",
            outcome_of=lambda failure, retry_after: Failed(failure, retry_after),
        )
        ends = []
        reply = RelayedReply(stream, request, ends.append, lambda request: 0.0)
        return b"".join(reply), ends[0]


@when("its stream is relayed, cut behind each of its bytes")
def step(context):
    head, body = context.relayed
    cuts = range(len(body) + 1)
    context.relays = [(n == len(body), relay(head, body[:n])) for n in cuts]


@then('each caller got whole events, which end with "end" only if it was not cut')
def step(context):
    for whole, (got, end) in context.relays:
        events = got.split(b"\n\n")
        assert events.pop() == b"", got
        ended = events.pop()
        assert [e + b"\n\n" for e in events] == RELAYED[: len(events)], got
        if ended + b"\n\n" == RELAYED[-1]:
            # The end of the framing alone may be missing.
            assert len(events) == len(RELAYED) - 1 and isinstance(end, Answered), got
            continue
        assert ended.startswith(b"event: error\ndata: {"), got
        assert not whole and isinstance(end, Failed), got


@when('streams "{path}" are read, cut behind each byte')
def step(context, path):
    site, entries = context.site, list(context.site.entries)
    shape = StreamShape.parse(path.rpartition("/")[2])
    numbers = range(1, context.count + 1)
    longest = len(shape.body([(n, DATA_OF % n) for n in numbers]))
    paths = [f"{path}-stop={n}" for n in range(longest)]
    with ThreadPoolExecutor(8) as pool:
        context.answers = list(
            pool.map(
                lambda n: site.call(paths[n], entry=entries[n % 2]), range(longest)
            )
        )


@when('{count:d} streams with stages "{path}" are read at all entries')
def step(context, count, path):
    site, entries = context.site, list(context.site.entries)
    context.answers = site.at_once(
        count,
        lambda n: site.call(path, entry=entries[n % 2], Pieces="2,1", Piece_Key="k"),
    )


def begin_twice(context, count, second_entry):
    """Have callers begin a stream and take it up elsewhere while they read on."""
    site, entries = context.site, list(context.site.entries)
    set_engines(context, "event_seconds", SHORT_PAUSE_SECONDS)

    def one(number):
        first, second, taken_up = Tries(), Tries(), []

        def take_up(events):
            if taken_up or len(events) < HAD_EVENTS:
                return
            second.events, second.began = events[:HAD_EVENTS], first.request_id
            entry = entries[(number + second_entry) % len(entries)]
            taken_up.append(pool.submit(read_stream, site, second, entry, "/chat/ok"))

        read_stream(site, first, entries[number % 2], "/chat/ok", seen=take_up)
        taken_up[0].result()
        return first, second

    with ThreadPoolExecutor(2 * count) as pool:
        context.pairs = list(pool.map(one, range(count)))


@when("{count:d} callers take a stream up at the same entry while they read on")
def step(context, count):
    begin_twice(context, count, 0)


@when("{count:d} callers take a stream up at the other entry while they read on")
def step(context, count):
    begin_twice(context, count, 1)


@then("both tries of each get every event behind their last one, once and in order")
def step(context):
    for pair in context.pairs:
        assert all(tries.whole for tries in pair), pair


@when(
    '{count:d} callers take a stream "{path}" up at entries in turn until it is whole'
)
def step(context, count, path):
    site, entries = context.site, list(context.site.entries)

    def one(number):
        tries = Tries()
        for attempt in range(MAX_TRIES):
            entry = entries[(number + attempt) % len(entries)]
            read_stream(site, tries, entry, path)
            if tries.statuses[-1] == OK:
                break
        return tries

    run_all(context, count, one)


@then("their events came once and in order, over more than one try")
def step(context):
    for tries in context.tries:
        assert tries.whole and len(tries.seconds) > 1, tries


@given("an entry that is cut off from all engines")
def step(context):
    site, cut = context.site, "entry-1"
    site.cut_off([cut], "refused")
    wait_until(
        lambda: site.call("/draft/ok", entry=cut) and "cut_off_from" in site.log(cut),
        what="cut off",
    )
    set_engines(context, "event_seconds", LONG_PAUSE_SECONDS)


@when("{count:d} streams are read there, and the entry that serves most of them {fate}")
def step(context, count, fate):
    site, cut = context.site, "entry-1"
    before = len(site.events(cut, "request_delegated"))
    with ThreadPoolExecutor(count) as pool:
        reading = [
            pool.submit(read_stream, site, Tries(), cut, "/chat/ok")
            for _ in range(count)
        ]
        time.sleep(2 * LONG_PAUSE_SECONDS)
        delegated = site.events(cut, "request_delegated")[before:]
        # Entries know one another by their addresses for peers.
        names = {site.fields[n]["listen"]["control"]: n for n in site.entries}
        busiest = Counter(names[event["entry"]] for event in delegated).most_common(1)
        strike(site, busiest[0][0], fate)
        context.tries = [each.result() for each in reading]
    site.heal()


def strike(site, name, fate):
    """Have a fault strike an entry, or what its servers send it."""
    if fate == "is killed":
        site.kill(name)
    elif fate == "loses its connections":
        for server in site.of_kind("engine"):
            server.drop(site.fields[name]["ip"])
    else:
        site.signal(name, signal.SIGSTOP)
        time.sleep(1)
        site.signal(name, signal.SIGCONT)


@then("no stream is out of order, and none looks whole before its last event")
def step(context):
    for tries in context.tries:
        numbers = [number for number, _ in tries.events]
        assert numbers == list(range(1, len(numbers) + 1)), tries
        assert tries.whole or tries.statuses[-1] != OK, tries


@then("at least {most:d} in ten are whole")
def step(context, most):
    whole = sum(tries.whole for tries in context.tries)
    broken = [tries for tries in context.tries if not tries.whole]
    names = ("attempt_failed", "stream_not_resumed")
    reasons = [
        (name, event.get("failure") or event.get("reason"))
        for name in context.site.entries
        for kind in names
        for event in context.site.events(name, kind)
    ]
    assert whole * 10 >= len(context.tries) * most, (whole, broken, reasons)
