"""Steps that split streams into events."""

import random
import tracemalloc

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.base.event_buffer import EventBuffer
from boragestream.serving.event_stream import (
    EventSplitter,
    StreamBroken,
    StreamOversized,
)

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


# How the n-th event of a stream without end looks.
ENDLESS = {
    "blank events": lambda n: b"\n\n",
    "comments": lambda n: b": alive\n\n",
    "duplicate events": lambda n: EVENT % 100,
    "new events": lambda n: EVENT % (101 + n),
    "unnumbered events": lambda n: b"data: words\n\n",
}
# Above each bound, so that the test ends.
MOST_EVENTS = 200_000


@when("{kind} come without end")
def step(context, kind):
    for number in range(MOST_EVENTS):
        context.broken = context.splitter.feed(ENDLESS[kind](number))
        if not isinstance(context.broken, list):
            break


@then('the stream breaks at the bound "{bound}"')
def step(context, bound):
    assert context.broken == StreamOversized(bound), context.broken


@when("{count:d} duplicate events come from each of three servers")
def step(context, count):
    context.fed = []
    for _ in range(3):
        context.fed += [context.splitter.feed(EVENT % 100) for _ in range(count)]
        context.splitter.discard_partial()


@then("the stream has not broken")
def step(context):
    assert all(fed == [] for fed in context.fed)


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
