"""Steps on what an entry reckons with when it plans a request, without a process."""

from behave import given, then

from boragestream.policy.caller_waits import CallerWaits
from boragestream.policy.connection_shares import idle_connections


@given('callers of a route that wait "{waits}" seconds')
def step(context, waits):
    context.waits = CallerWaits()
    for wait in waits.split():
        context.waits.waited("route", float(wait))


@then("one that waits {wait:g} s has waited {waited:g} s before")
def step(context, wait, waited):
    found = context.waits.waited("route", wait)
    assert abs(found - waited) < 0.01, found
    assert context.waits.waited("another route", wait) == 0.0


@then(
    "{entries:d} entries keep {most:d} idle connections each to a server that takes "
    "{limit:d}"
)
def step(context, entries, most, limit):
    assert idle_connections(limit, entries) == most
