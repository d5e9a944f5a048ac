"""Steps on the shares of client accounts at the threads of an entry."""

import heapq
import itertools
import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.document.routes import RouteAccount, key_digest
from boragestream.policy.route_table import RouteTable
from boragestream.policy.thread_shares import ThreadShares
from tests.standins.account_kinds import CALM_SECONDS, SIZES
from tests.standins.clock import SetClock


@given("an entry of {threads:d} threads that 16 accounts use to {load:g}")
def step(context, threads, load):
    context.threads, context.load = threads, load


@when("account {account:d} sends {factor:g} times its demand to its threads")
def step(context, account, factor):
    context.surging = f"a{account}"
    play_threads(context, lambda a: factor if a == context.surging else 1.0)


@when("all accounts send {factor:g} times their demand to its threads")
def step(context, factor):
    context.surging = ""
    play_threads(context, lambda a: factor)


def play_threads(context, growth):
    """Play a load on the threads of an entry, with a surge of 12 s at the end.

    A request that finds no thread is refused to whoever sends it, as without shares.
    """
    clock, rng = SetClock(0.0), random.Random(1)
    context.shares = shares = ThreadShares(context.threads, clock)
    context.clock = clock
    context.refused, context.full, context.came = {}, {}, {}
    numbers, moments = itertools.count(), []
    end = CALM_SECONDS + 12.0
    for account, size in SIZES.items():
        for begin, until, factor in (
            (0.0, CALM_SECONDS, 1.0),
            (CALM_SECONDS, end, growth(account)),
        ):
            rate = factor * context.load * context.threads * size / sum(SIZES.values())
            now = begin + rng.expovariate(rate)
            while now < until:
                moments.append((now, next(numbers), account, None))
                now += rng.expovariate(rate)
    heapq.heapify(moments)
    context.in_use = {}
    while moments and moments[0][0] < end:
        now, _, account, began = heapq.heappop(moments)
        clock.seconds = now
        if began is not None:
            context.in_use[account] -= 1
            shares.end(account, now - began)
            continue
        context.came[account] = context.came.get(account, 0) + 1
        if sum(context.in_use.values()) >= context.threads:
            context.full[account] = context.full.get(account, 0) + 1
            continue
        surplus = shares.begin(account)
        if surplus is not None:
            context.refused.setdefault(account, []).append(surplus)
            continue
        context.in_use[account] = context.in_use.get(account, 0) + 1
        # A request takes a second on average.
        done = now + 0.5 + rng.random()
        heapq.heappush(moments, (done, next(numbers), account, now))


@then("no request of the other accounts is refused")
def step(context):
    others = (set(context.refused) | set(context.full)) - {context.surging}
    assert not others, (context.refused.keys(), context.full)


@then("requests of account {account:d} are refused with a time to return")
def step(context, account):
    refused = context.refused[f"a{account}"]
    assert len(refused) > 50, len(refused)
    assert all(0 < surplus.wait_seconds <= 5 for surplus in refused)


@then("a thread that was refused to account {account:d} serves another account at once")
def step(context, account):
    while context.shares.begin(f"a{account}") is None:
        pass
    assert sum(context.in_use.values()) < context.threads
    assert context.shares.begin("a9") is None


@then("refusals as surplus are less than {part:g} of all requests")
def step(context, part):
    refused = sum(len(surplus) for surplus in context.refused.values())
    assert refused < part * sum(context.came.values()), refused


@given('an entry of {threads:d} threads and a key of the account "{account}"')
def step(context, threads, account):
    context.clock = SetClock()
    context.shares = ThreadShares(threads, context.clock)
    context.names = [account]


@when('a request with the key begins, and the key moves to the account "{account}"')
def step(context, account):
    # A request keeps the version of the routes that was in force at its arrival.
    context.key = key_digest("key")
    tables = [
        SimpleNamespace(
            accounts={context.key: RouteAccount(n, frozenset({context.key}))}
        )
        for n in (*context.names, account)
    ]
    route = SimpleNamespace(public=False)
    context.arrived = [RouteTable.account(t, route, "key").name for t in tables]
    assert context.shares.begin(context.arrived[0]) is None


@then('its thread counts for "{account}" until it ends')
def step(context, account):
    assert context.shares.in_hand == {account: 1}, context.shares.in_hand


@then('the next request with the key counts for "{account}"')
def step(context, account):
    assert context.shares.begin(context.arrived[1]) is None
    context.shares.end(context.arrived[0], 0.5)
    assert context.shares.in_hand == {account: 1}, context.shares.in_hand
