"""Steps that split streams into events."""

import random
import tracemalloc

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.base.event_buffer import EventBuffer
from boragestream.serving.event_stream import EventSplitter, StreamBroken

EVENT = b"id: %d\ndata: words\n\n"
HALF_EVENT_BYTES = 9


@given("a caller that has the events up to {last}")
def step(context, last):
    context.splitter = EventSplitter(None if last == "none" else int(last))
    context.passed = []
    context.broken = None


@when('the parts "{parts}" come')
def step(context, parts):
    for part in parts.split(", "):
        if part == "break":
            context.splitter.discard_partial()
            continue
        word, _, number = part.rpartition(" ")
        event = EVENT % int(number)
        data = {
            "half": event[:HALF_EVENT_BYTES],
            "rest": event[HALF_EVENT_BYTES:],
            "": event,
        }[word]
        events = context.splitter.feed(data)
        if isinstance(events, StreamBroken):
            context.broken = events
            return
        context.passed += events


@then('the events "{events}" are passed on, and the stream {end}')
@then('the events "" are passed on, and the stream {end}')
def step(context, end, events=""):
    wanted = [EVENT % int(number) for number in events.split(", ") if number]
    assert context.passed == wanted, context.passed
    if end == "breaks at a gap":
        assert context.broken is not None
        return
    incomplete = context.splitter.finish() is not None
    assert incomplete is (end == "ends with half an event")


@when("{count:d} bytes of an event come in parts of {size:d} bytes")
def step(context, count, size):
    splitter = EventSplitter(None)
    tracemalloc.start()
    for _ in range(count // size):
        assert splitter.feed(b"x" * size) == []
    context.peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("at most {most:d} bytes were held at once")
def step(context, most):
    assert context.peak <= most, context.peak


@then("any parts of a stream give the events that it gives as a whole")
def step(context):
    words = st.sampled_from(
        [b"\n", b"\r\n", b"\n\n", b"\r", b"id: 1", b"data: x", b":"]
    )

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @any_of(st.lists(words, max_size=30).map(b"".join), st.integers())
    def check(stream, seed):
        rng = random.Random(seed)
        parts, whole, rest = EventBuffer(), EventBuffer(), stream
        found = []
        while rest:
            cut = rng.randint(1, 4)
            found += parts.take(rest[:cut])
            rest = rest[cut:]
        assert found == whole.take(stream)
        assert parts.blank == whole.blank

    check()
