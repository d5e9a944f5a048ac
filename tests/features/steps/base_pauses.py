"""Steps on requests that are read after a pause."""

from behave import given, then, when

from boragestream.base.pauses import PauseMeter
from tests.standins.clock import SetClock


@given("a process that last ticked at {seconds:d} s")
def step(context, seconds):
    context.clock = SetClock(0.0)
    context.clock.seconds = seconds
    context.meter = PauseMeter(context.clock)


@when("{paused:g} s go by, it ticks {ticks} and {read:g} s later a request is read")
def step(context, paused, ticks, read):
    context.clock.seconds += paused
    if ticks == "once":
        context.meter.tick()
    context.clock.seconds += read
    context.arrived = context.meter.now()


@then("the request arrived at {seconds:g} s")
def step(context, seconds):
    assert abs(context.arrived - seconds) < 1e-6, context.arrived
