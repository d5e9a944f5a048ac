"""Steps on the probes of brittle servers, without sockets."""

import random

from behave import given, then, when

from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server
from boragestream.serving.reach_checks import ProbeResult
from boragestream.serving.seated_probes import SeatedProbe
from tests.standins.clock import SetClock
from tests.standins.limits import lone_limits, lone_seats

PROBE_SECONDS = 0.4
CALL_SECONDS = 10.0
SETTLED_SECONDS = 4.0
LINGER_SECONDS = 0.5


def take(context):
    """Return a seat at the server; None if no place is free."""
    return context.seated.acquire_now(context.server, CALL_SECONDS)


@given("a brittle server with {places:d} places, of which {taken:d} is taken")
@given("a brittle server with {places:d} places, of which {taken:d} are taken")
def step(context, places, taken):
    context.clock = SetClock()
    context.server = Server("s-1", "plain", "10.9.0.1:80", "hall", "1", slots=places)
    context.seated = lone_seats(lone_limits(context.clock), context.clock)
    services = context.seated.seats.services
    services.note_answer(context.server, True, context.clock.now(), True)
    # The granting entry grants all places once it has been the first for some time.
    context.seated.seats.release(take(context))
    context.clock.seconds += SETTLED_SECONDS
    context.taken = [take(context) for _ in range(taken)]
    assert None not in context.taken
    loads = LoadTable(context.clock, random.Random(1))
    context.hung, context.probed = False, 0

    def probe(server, seconds):
        context.probed += 1
        return ProbeResult(answered=not context.hung, hung=context.hung)

    context.probe = SeatedProbe(probe, context.seated, loads)


@when("it is probed")
def step(context):
    context.result = context.probe(context.server, PROBE_SECONDS)


@when("it is probed and does not answer")
def step(context):
    context.hung = True
    context.result = context.probe(context.server, PROBE_SECONDS)


@when("one place becomes free and it is probed again")
def step(context):
    context.seated.seats.release(context.taken.pop())
    # Until then this entry expects that the places are taken.
    context.clock.seconds += CALL_SECONDS / 2
    context.result = context.probe(context.server, PROBE_SECONDS)


@then("the probe was not sent")
def step(context):
    assert not context.result.sent and not context.probed


@then("the probe was sent")
def step(context):
    assert context.result.sent and context.probed == 1


@then("its place is free again")
def step(context):
    assert take(context) is not None


@then("its place is taken for at most half a second more")
def step(context):
    assert take(context) is None
    context.clock.seconds += LINGER_SECONDS
    assert take(context) is not None
