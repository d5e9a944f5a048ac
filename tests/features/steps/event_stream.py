"""Steps on the splitter of streams."""

from behave import given, then, when

from boragestream.serving.event_stream import EventSplitter, StreamBroken

EVENT = b"id: %d\ndata: words\n\n"
HALF = 9


@given("a caller that has the events up to {last}")
def step(context, last):
    context.splitter = EventSplitter(None if last == "none" else int(last))
    context.passed = []
    context.broken = None


@when('the parts "{parts}" come')
def step(context, parts):
    for part in parts.split(", "):
        if part == "break":
            context.splitter.drop_rest()
            continue
        word, _, number = part.rpartition(" ")
        event = EVENT % int(number)
        data = {"half": event[:HALF], "rest": event[HALF:], "": event}[word]
        events = context.splitter.take(data)
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
    half = context.splitter.finish() is not None
    assert half is (end == "ends with half an event")
