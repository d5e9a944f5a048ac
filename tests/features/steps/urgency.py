"""Steps on the urgency of requests, by account and by route."""

from behave import given, then, when

from boragestream.document.routes import PieceLimits, RouteAccount
from boragestream.policy.urgency import least_priority, urgency
from tests.standins.stage_load import Kind, play

LIMITS = PieceLimits(1, 12, 0.2, 0.01, 100.0, 4.0)
PIECES = 4
SLACK_SECONDS = 0.9
SIMULATED_SECONDS = 40.0
SEEDS = range(5)


def urgency_of(context, request):
    """Return the urgency of a request written as ``account/route``."""
    account, route = request.split("/")
    own = None if account == "-" else int(account)
    return urgency(int(route), own, context.least)


@given('accounts of the priorities "{priorities}"')
def step(context, priorities):
    parsed = [] if priorities == "none" else [int(p) for p in priorities.split()]
    accounts = [RouteAccount(f"a-{n}", frozenset(), p) for n, p in enumerate(parsed)]
    context.least = least_priority(accounts)


@then('requests "{requests}" are the more urgent the earlier they stand')
def step(context, requests):
    found = [urgency_of(context, request) for request in requests.split(", ")]
    assert found == sorted(set(found)), found


@then('a request "{one}" is as urgent as "{other}"')
def step(context, one, other):
    assert urgency_of(context, one) == urgency_of(context, other)


@given(
    "a stage of {servers:d} servers that is asked for {load:g} times what they can do"
)
def step(context, servers, load):
    call = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
    context.servers = servers
    context.per_second = load * servers * LIMITS.batch / call / PIECES


@when("half of the requests are of a kind two levels less urgent")
def step(context):
    half = context.per_second / 2
    least = least_priority([RouteAccount("a", frozenset(), 1)])
    kinds = [
        Kind("urgent", urgency(0, 1, least), PIECES, half, SLACK_SECONDS),
        Kind("other", urgency(2, 1, least), PIECES, half, SLACK_SECONDS),
    ]
    played = [
        play(kinds, LIMITS, context.servers, SIMULATED_SECONDS, seed) for seed in SEEDS
    ]
    context.in_time = {
        kind.name: sum(p[kind.name][0] for p in played) / len(played) for kind in kinds
    }


@then("the urgent kind begins in time in {most:g} of its requests or more")
def step(context, most):
    assert context.in_time["urgent"] >= most, context.in_time


@then("in a fifth more of them than the other kind")
def step(context):
    found = context.in_time
    assert found["urgent"] >= found["other"] + 0.2, found
