"""Steps on the shares of client accounts at engines and plain services."""

import random
import unittest.mock
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.failures import AccountOverShare
from boragestream.base.route_metrics import RouteMetrics
from boragestream.policy.demand import DemandTable
from boragestream.policy.service_shares import ServiceShares
from boragestream.serving.forwarded_choice import ForwardedChoice
from tests.standins.account_entries import CALL_SECONDS, AccountEntries
from tests.standins.account_kinds import CALM_SECONDS, FORWARD_SERVERS, SIZES
from tests.standins.clock import SetClock
from tests.standins.limits import lone_limits

PLACES = 60


@given("{entries:d} entries before a service with {load:g} of its capacity asked for")
def step(context, entries, load):
    context.entries, context.lost, context.unknown = entries, 0.0, 0.0
    unit = load * PLACES / CALL_SECONDS / sum(SIZES.values())
    context.rates = {account: unit * size for account, size in SIZES.items()}


@given("half of the reports are lost and half of the entries are unknown to each")
def step(context):
    context.lost = context.unknown = 0.5


@given("no entry receives a report")
def step(context):
    context.lost = 1.0


def play_entries(context, factor, shares):
    """Return the run of one surge."""
    run = AccountEntries(
        context.entries, PLACES, context.lost, context.unknown, 1, shares
    )
    surge = (CALM_SECONDS, CALM_SECONDS + context.seconds)
    run.run(context.rates, lambda a: factor if a == context.account else 1.0, surge)
    return run


def others_attainment(context, run):
    """Return the share answered of all requests of the other accounts."""
    kinds = [kind for kind in run.came if kind[0] != context.account]
    served = sum(run.served.get(kind, 0) for kind in kinds)
    return served / sum(run.came[kind] for kind in kinds)


@when("account {account:d} sends {factor:g} times its demand to them for {seconds:g} s")
def step(context, account, factor, seconds):
    context.account, context.seconds, context.factor = f"a{account}", seconds, factor
    context.run = play_entries(context, factor, True)


@then(
    "the attainment of all other accounts there is within {bound:g} of that without it"
)
def step(context, bound):
    calm = others_attainment(context, play_entries(context, 1.0, True))
    surge = others_attainment(context, context.run)
    assert surge >= calm - bound, (calm, surge)


@then("without shares it is lower by {bound:g} or more")
def step(context, bound):
    shared = others_attainment(context, context.run)
    alike = others_attainment(context, play_entries(context, context.factor, False))
    assert alike <= shared - bound, (shared, alike)


@then(
    "all requests of account {account:d} there have an attainment of {least:g} or more"
)
def step(context, account, least):
    kinds = [kind for kind in context.run.came if kind[0] == f"a{account}"]
    served = sum(context.run.served.get(kind, 0) for kind in kinds)
    came = sum(context.run.came[kind] for kind in kinds)
    assert served >= least * came, (served, came)


@then("less than {part:g} of all requests there are refused as surplus")
def step(context, part):
    refused, requests = sum(context.run.surplus.values()), context.run.requests
    assert refused < part * requests, (refused, requests)


def forwarding_entry(context, shares):
    """Set up the choice of servers of an entry."""
    context.clock = SetClock()
    table = DemandTable("entry", context.clock)
    context.parts = SimpleNamespace(
        regions=SimpleNamespace(several=False),
        outstanding=None,
        oversized=None,
        seated=None,
        servers=SimpleNamespace(live=lambda service: FORWARD_SERVERS),
        cold=SimpleNamespace(usable=lambda servers: servers),
        backoffs=SimpleNamespace(usable=lambda servers: servers),
        limited=lone_limits(context.clock),
        metrics=RouteMetrics(),
        shares=ServiceShares(table, lambda: 1, context.clock) if shares else None,
    )


def forward(context, rates, seconds, full):
    """Forward requests; return the refusals before their stages, by account."""
    rng, refused = random.Random(1), {account: [] for account in rates}
    moments = sorted(
        (context.clock.seconds + rng.random() * seconds, account)
        for account, rate in rates.items()
        for _ in range(int(rate * seconds))
    )
    for number, (now, account) in enumerate(moments):
        context.clock.seconds = now
        run = SimpleNamespace(
            service="service",
            account=account,
            priority=0,
            regions=None,
            request=SimpleNamespace(request_id=f"r-{number}"),
            version=None,
        )
        choice = ForwardedChoice(context.parts, run)
        refusal = choice.refusal(has_results=False)
        if refusal is not None:
            refused[account].append(refusal)
        elif full and rng.random() < 0.5:
            choice.note_full()
        else:
            choice.note_served()
        # It is counted once, whatever number of attempts follows.
        assert choice.refusal(has_results=True) is None or refusal is not None
    return refused


@given(
    "an entry that forwards {rate:g} requests a second of each of 4 accounts to servers"
)
def step(context, rate):
    forwarding_entry(context, True)
    context.rates = dict.fromkeys("abcd", rate)
    forward(context, context.rates, 30, full=False)


@given("an entry without shares that forwards {rate:g} requests a second of 4 accounts")
def step(context, rate):
    forwarding_entry(context, False)
    context.rates = dict.fromkeys("abcd", rate)
    forward(context, context.rates, 30, full=False)


@when('its servers are full and account "{account}" sends {factor:g} times its demand')
def step(context, account, factor):
    context.surge = {**context.rates, account: factor * context.rates[account]}
    context.events = []
    emitted = unittest.mock.patch(
        "boragestream.serving.surplus.emit",
        lambda event, **details: context.events.append((event, details)),
    )
    with emitted:
        context.refused = forward(context, context.surge, 6, full=True)


@then('requests of "{account}" are refused as surplus and no request of the others is')
def step(context, account):
    refused = context.refused.pop(account)
    assert len(refused) > 100, len(refused)
    assert all(isinstance(failure, AccountOverShare) for failure in refused)
    assert not any(context.refused.values()), context.refused
    context.refused[account] = refused


@then("each refusal has an event")
def step(context):
    refused = sum(len(failures) for failures in context.refused.values())
    assert len(context.events) == refused
    assert {details["account"] for _, details in context.events} == {"a"}


@then('once servers refuse nothing, requests of "{account}" are refused no more')
def step(context, account):
    forward(context, context.surge, 10, full=False)
    refused = forward(context, context.surge, 5, full=False)
    assert not refused[account], len(refused[account])


@then("no request is refused as surplus")
def step(context):
    assert not any(context.refused.values())
    assert not context.events
