"""Steps on the records of parts of prompts that crash servers, without sockets."""

from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.entry.quarantine import QuarantinePart
from boragestream.policy.prompt_parts import (
    CRASHES_TO_BLOCK,
    PartCrashes,
    PartQuarantined,
    part_fingerprint,
)
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.servers import Server
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.prompt_guard import PromptGuard
from boragestream.serving.request import SentRecord
from tests.standins.clock import SetClock

SERVICE = "engine"
SERVER = Server("i-1", SERVICE, "10.9.0.1:80", "hall")


def fingerprints(text):
    """Return the fingerprints of parts."""
    return tuple(part_fingerprint(SERVICE, part) for part in text.split())


def new_crashes(clock, own="entry", names=("entry",)):
    """Return the records of one entry, and the table that holds them."""
    table = Quarantine(own, lambda: list(names), clock, threshold=CRASHES_TO_BLOCK)
    return PartCrashes(table, clock), table


@given("the records of the parts of prompts at one entry")
def step(context):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.crashes, context.table = new_crashes(context.clock)


def crash(context, text, times, gap=0.5):
    """Have servers crash one after the other before they answer a prompt."""
    for _ in range(times):
        parts = fingerprints(text)
        at_send = context.crashes.at_send(parts)
        context.clock.seconds += gap
        context.crashes.note_crash(parts, at_send)


@when('"{text}" crashes a server {times:d} times')
def step(context, text, times):
    crash(context, text, times)


@when('"{text}" is answered, and crashes a server {times:d} times')
def step(context, text, times):
    context.crashes.note_began(fingerprints(text))
    # Longer than what was cleared is trusted.
    context.clock.seconds += 10.0
    crash(context, text, times)


@when(
    '"{sound}" is answered, and "{text}" crashes a server {times:d} times '
    "within {w:d} s"
)
def step(context, sound, text, times, w):
    context.crashes.note_began(fingerprints(sound))
    crash(context, text, times, gap=w / times)


@when(
    '"{sound}" is answered, and "{text}" crashes a server {times:d} times '
    "from {later:d} s after it"
)
def step(context, sound, text, times, later):
    context.crashes.note_began(fingerprints(sound))
    context.clock.seconds += later
    crash(context, text, times)


@when('{count:d} servers crash at one moment under "{text}"')
def step(context, count, text):
    parts = fingerprints(text)
    at_send = context.crashes.at_send(parts)
    for _ in range(count):
        context.crashes.note_crash(parts, at_send)


def is_refused(context, text):
    """Return whether a request is refused."""
    return context.crashes.refused(fingerprints(text)) is not None


@then('requests with "{text}" may be sent')
def step(context, text):
    assert not is_refused(context, text)


@then('requests with "{text}" get refused')
def step(context, text):
    assert is_refused(context, text)


@given("{count:d} entries that know a blocked part")
def step(context, count):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    names = [f"e-{n}" for n in range(count)]
    context.entries = [new_crashes(context.clock, name, names) for name in names]
    context.part = fingerprints("x")
    blocked = context.entries[0][1].new_record(context.part[0], crashes=3)
    for _, table in context.entries:
        assert table.merge(blocked, 0.0)


def senders(context):
    """Return the entries that may send a request with the part now."""
    return [pair for pair in context.entries if pair[0].refused(context.part) is None]


@then("none of them sends a request with it within {seconds:d} s")
def step(context, seconds):
    for _ in range(seconds):
        context.clock.seconds += 1.0
        assert not senders(context)


@then(
    "within {seconds:d} s more one of them sends one, and no other for {turn:d} s",
)
def step(context, seconds, turn):
    for _ in range(seconds * 10):
        context.clock.seconds += 0.1
        sent = senders(context)
        if sent:
            break
    assert len(sent) == 1
    context.sender = sent[0]
    for _ in range(turn * 10 - 2):
        context.clock.seconds += 0.1
        assert not senders(context)


@then("within {seconds:d} s one of them sends one, and no other for {turn:d} s")
def step(context, seconds, turn):
    context.execute_steps(
        f"Then within {seconds} s more one of them sends one, and no other for {turn} s"
    )


@when("one of them admits a request with it in its turn")
def step(context):
    crashes, _ = context.entries[0]
    _, _, left = crashes.refused(context.part)
    context.clock.seconds += left
    context.guard = PromptGuard(crashes, SERVICE, ["x"], "r-1", context.clock)
    assert context.guard.refusal() is None


@then("the request may be sent {early:g} s later, and may not be sent {late:g} s later")
def step(context, early, late):
    context.clock.seconds += early
    assert context.guard.check_before_send() is None
    context.clock.seconds += late - early
    refused = context.guard.check_before_send()
    assert refused is not None and refused.left_seconds > 0


@when("it is answered there")
def step(context):
    crashes, table = context.sender
    crashes.note_began(context.part)
    spread(context, table)


def spread(context, table):
    """Have all entries merge what one of them has recorded."""
    record = table.record_for(context.part[0])
    for _, other in context.entries:
        other.merge(record, 0.0)


@then("all of them send requests with it")
def step(context):
    assert len(senders(context)) == len(context.entries)


@when("the server crashes under it")
def step(context):
    crashes, table = context.sender
    at_send = crashes.at_send(context.part)
    context.clock.seconds += 0.2
    assert crashes.note_crash(context.part, at_send)
    spread(context, table)


@when("an entry starts that knows nothing, and is given the records")
def step(context):
    names = [f"e-{n}" for n in range(len(context.entries) + 1)]
    context.new, table = new_crashes(context.clock, names[-1], names)
    known = context.entries[0][1]
    assert table.digest != known.digest
    for record, age in known.replicated_records():
        table.merge(record, age)
    assert table.digest == known.digest


@then("it refuses requests with the part")
def step(context):
    assert context.new.refused(context.part) is not None


@given('a request whose prompt has the parts "{text}"')
def step(context, text):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.crashes, context.table = new_crashes(context.clock)
    context.parts = text.split()


DELAYS = {
    "before its first event": None,
    "right after its first event": 0.1,
    "a second after its first event": 1.0,
}


@when("its server crashes {moment}, {times:d} times")
def step(context, moment, times):
    for number in range(times):
        guard = PromptGuard(
            context.crashes, SERVICE, context.parts, f"r-{number}", context.clock
        )
        assert guard.refusal() is None and guard.check_before_send() is None
        # What was cleared is no longer trusted at the next crash.
        context.clock.seconds += 5.0
        delay = DELAYS[moment]
        if delay is not None:
            guard.note_events()
            context.clock.seconds += delay
            guard.note_events()
        guard.note_crash(SERVER)


@then('the part "{text}" is {verdict}')
def step(context, text, verdict):
    assert is_refused(context, text) is (verdict == "blocked")


@then("a request with a blocked part that {run} is answered as {outcome}")
def step(context, run, outcome):
    sent = SentRecord()
    if run == "has run":
        sent.note_sending("i-1", True)
    request = SimpleNamespace(
        sent=sent,
        scope=CancelScope(1.0),
        route=SimpleNamespace(repeatable=True),
    )
    result = outcome_of(request, PartQuarantined(SERVICE, "x", 3, 29.0))
    assert type(result).__name__.lower() == outcome, result


@when("{count:d} prompts with a part of their own are answered")
def step(context, count):
    for number in range(count):
        context.crashes.note_began(fingerprints(f"p{number}"))


@then("at most {most:d} cleared parts are kept, the newest among them")
def step(context, most):
    cleared = context.crashes._cleared
    assert len(cleared) == most and fingerprints("p19999")[0] in cleared


@then("the part of the exchange about parts takes no byte in a message")
def step(context):
    _, table = new_crashes(SetClock())
    part = QuarantinePart(table, None, lambda name: None, lambda task: None, True)
    assert part.offer(200) == b""
