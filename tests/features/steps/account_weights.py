"""Steps on the weights of client accounts and on the division between them."""

from behave import given, then, when

from boragestream.policy.account_shares import (
    AccountShares,
)
from boragestream.policy.max_min import weighted_max_min


@then(
    'a capacity of {capacity:g} divided between demands "{demands}" with the weights '
    '"{weights}" has the level {level:g}'
)
def step(context, capacity, demands, weights, level):
    demand = {n: float(d) for n, d in enumerate(demands.split())}
    weight = {n: float(w) for n, w in enumerate(weights.split())}
    assert weighted_max_min(capacity, demand, weight) == level


@given("shares without recorded demand")
def step(context):
    context.shares = AccountShares()


@then("a first request of an account is no surplus at any capacity")
def step(context):
    for number, capacity in enumerate((1e-3, 1.0, 1e3)):
        now = 100.0 + number / 100
        context.shares.record("a", 4, now)
        assert context.shares.take("a", 4, 0, capacity, now) is None


@given(
    'shares with accounts "{names}" at {first:g}, {second:g} and {third:g} a second '
    "for {seconds:g} s"
)
def step(context, names, first, second, third, seconds):
    context.shares, context.now = AccountShares(), 0.0
    context.rates = dict(zip(names.split(), (first, second, third), strict=True))
    send(context, context.rates, seconds)


def send(context, rates, seconds):
    """Record requests at even intervals."""
    moments = sorted(
        (context.now + (n + 0.5) / rate, account)
        for account, rate in rates.items()
        for n in range(int(rate * seconds))
    )
    for now, account in moments:
        context.shares.record(account, 1, now)
    context.now += seconds


@when('account "{account}" sends its first request')
def step(context, account):
    context.shares.record(account, 1, context.now)


@when('account "{account}" sends {rate:g} a second for {seconds:g} s')
def step(context, account, rate, seconds):
    send(context, {**context.rates, account: rate}, seconds)


@then('the weight of "{account}" is the mean of the others\' within {bound:g}')
def step(context, account, bound):
    weights = context.shares.weights(context.now)
    own = weights.pop(account)
    assert abs(own - sum(weights.values()) / len(weights)) <= bound, (own, weights)


@then('the weight of "{account}" is at most {factor:g} times that of "{other}"')
def step(context, account, factor, other):
    weights = context.shares.weights(context.now)
    assert weights[account] <= factor * weights[other], weights
