"""Steps on what an entry does before it knows anything."""

import threading
import time

from behave import given, then, when

from boragestream.policy.first_knowledge import HOLD_SECONDS, StartupReadiness
from tests.standins.clock import SetClock

START_SECONDS = 15.0


@given('an entry that awaits "{one}" and "{other}"')
def step(context, one, other):
    context.clock = SetClock()
    context.first = StartupReadiness(context.clock, (one, other))
    context.first._settled = RecordedEvent()


@when('it hears "{events}"')
def step(context, events):
    for event in events.split(", "):
        if event.startswith("known "):
            context.first.note_known(event.removeprefix("known "))
        elif event == "unreachable":
            context.first.note_unreachable()


class RecordedEvent(threading.Event):
    """Notes for how long it would have been waited for, and returns at once."""

    def __init__(self):
        """Begin unset."""
        super().__init__()
        self.waits = []

    def wait(self, timeout=None):
        """Note a wait."""
        self.waits.append(0.0 if self.is_set() else timeout)
        return self.is_set()


@then("a request is {held}")
def step(context, held):
    context.first.wait_for_first_answers()
    expected = 0.0 if held == "not held" else HOLD_SECONDS
    assert context.first._settled.waits == [expected], context.first._settled.waits


@when("it has known nothing for {away:g} s")
def step(context, away):
    context.clock.seconds += away


@then("a caller is told to come back after {after:g} s")
def step(context, after):
    assert context.first.retry_delay_seconds() == after


def call_until_connected(site):
    """Call as soon as the entry listens."""
    until = time.monotonic() + START_SECONDS
    while True:
        try:
            return site.call("/safe/ok")
        except ConnectionRefusedError:
            assert time.monotonic() < until, "the entry never listened"
            time.sleep(0.005)


@when("the entry is killed, and {count:d} callers connect while it starts")
def step(context, count):
    site = context.site
    site.kill("entry-0")
    site.entries["entry-0"].start()
    context.answers = site.at_once(count, lambda _: call_until_connected(site))


@then("each of them is answered with success")
def step(context):
    assert [a.status for a in context.answers] == [200] * len(context.answers)


@when("the entry starts while the platform is out of reach")
def step(context):
    site = context.site
    site.store.down = "reset"
    site.kill("entry-0")
    site.entries["entry-0"].start()


@then("a caller is refused with {status:d} and told to stay away {after:g} s or more")
def step(context, status, after):
    answer = call_until_connected(context.site)
    assert answer.status == status, answer.status
    assert float(answer.headers["Retry-After"]) >= after, dict(answer.headers)


@then("once the platform is back a caller is answered")
def step(context):
    context.site.store.down = None
    context.site.wait_ready("entry-0")
    assert context.site.call("/safe/ok").status == 200
