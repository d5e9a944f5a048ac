"""Steps on the shares of client accounts at a stage, in simulated time."""

import functools
from dataclasses import replace

from behave import given, then, when

from boragestream.document.calls import Piece
from boragestream.policy.account_shares import (
    Surplus,
)
from boragestream.policy.piece_queue import PieceBooking, PieceOrder, QueuedOrder
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.service_queue import ServiceQueue
from tests.standins.account_kinds import (
    CALM_SECONDS,
    FORWARD_SERVERS,
    KINDS,
    LIMITS,
    PIECES,
    SIZES,
    account_kinds,
)
from tests.standins.account_load import AccountLoad

SEEDS = (1, 2)


@functools.cache
def play(servers, load, surging, factor, seconds, shares, new_owner_at=None):
    """Return by kind the requests in time and all, and the refused surplus.

    :param surging: the account that sends a multiple; empty for all.
    """
    totals, surplus = {}, {}

    def growth(account):
        return factor if surging in ("", account) else 1.0

    for seed in SEEDS:
        surge = (CALM_SECONDS, CALM_SECONDS + seconds)
        run = AccountLoad(LIMITS, servers, seed, shares, surge, new_owner_at)
        run.run(account_kinds(servers, load, growth), surge[1] + 2)
        for kind, (in_time, _, come) in run.begun.items():
            if kind:
                total = totals.setdefault(kind, [0, 0])
                total[0] += in_time
                total[1] += come
        for account, refused in run.surplus.items():
            surplus.setdefault(account, []).extend(refused)
    return totals, surplus


def by_group(totals, without=""):
    """Return the attainment by kind of the large and of the small accounts.

    The few requests of one small account in a run say little, so that accounts of one
    size count together.
    """
    groups = {}
    for kind, (in_time, come) in totals.items():
        account, urgency = kind.split("/")
        if account != without:
            group = groups.setdefault((SIZES[account], urgency), [0, 0])
            group[0] += in_time
            group[1] += come
    return {key: in_time / come for key, (in_time, come) in groups.items()}


@given(
    "a stage of {servers:d} servers with {load:g} of its capacity asked for by 16 "
    "accounts"
)
def step(context, servers, load):
    context.servers, context.load, context.new_owner_at = servers, load, None


@given("a new owner without state {seconds:g} s before the surge")
def step(context, seconds):
    context.new_owner_at = CALM_SECONDS - seconds


@when("account {account:d} sends {factor:g} times its demand for {seconds:g} s")
def step(context, account, factor, seconds):
    context.account = f"a{account}"
    context.play = functools.partial(play, context.servers, context.load)
    context.surge = (context.account, factor, seconds)
    context.totals, context.surplus = context.play(
        *context.surge, True, context.new_owner_at
    )


@when("all accounts send {factor:g} times their demand for {seconds:g} s")
def step(context, factor, seconds):
    context.play = functools.partial(play, context.servers, context.load)
    context.surge = ("", factor, seconds)
    context.totals, context.surplus = context.play(*context.surge, True)


@then(
    "each kind of the other accounts is within {bound:g} of its attainment without it"
)
def step(context, bound):
    calm, _ = context.play(
        context.account, 1.0, context.surge[2], True, context.new_owner_at
    )
    before = by_group(calm, context.account)
    after = by_group(context.totals, context.account)
    lost = {kind: before[kind] - after[kind] for kind in before}
    assert max(lost.values()) <= bound, lost


@then("without shares some kind of the others loses {bound:g} or more")
def step(context, bound):
    calm, _ = context.play(context.account, 1.0, context.surge[2], False)
    surge, _ = context.play(*context.surge, False)
    before, after = by_group(calm, context.account), by_group(surge, context.account)
    assert max(before[kind] - after[kind] for kind in before) >= bound, after


@then(
    "surplus is refused of account {account:d} with a time to return of up to "
    "{most:g} s"
)
def step(context, account, most):
    refused = context.surplus[f"a{account}"]
    others = sum(len(r) for a, r in context.surplus.items() if a != f"a{account}")
    assert len(refused) > 20 * others, (len(refused), others)
    assert all(0 <= surplus.wait_seconds <= most for surplus in refused)
    assert len({surplus.wait_seconds for surplus in refused}) > 10


@then("each kind of all accounts is within {bound:g} of its attainment without shares")
def step(context, bound):
    before = by_group(context.play(*context.surge, False)[0])
    after = by_group(context.totals)
    assert all(abs(before[k] - after[k]) <= bound for k in before), (before, after)


@then("refused surplus is less than {part:g} of all requests")
def step(context, part):
    refused = sum(len(surplus) for surplus in context.surplus.values())
    assert refused < part * sum(come for _, come in context.totals.values()), refused


@then("all kinds of account {account:d} have an attainment of {least:g} or more")
def step(context, account, least):
    for kind, (in_time, come) in context.totals.items():
        if kind.startswith(f"a{account}/"):
            assert in_time >= least * come, (kind, in_time, come)


@then("no surplus is refused")
def step(context):
    assert not context.surplus, context.surplus


@then("the more urgent a kind of account {account:d} is, the higher is its attainment")
def step(context, account):
    shares = [context.totals[f"a{account}/{urgency}"] for urgency, _, _ in KINDS]
    found = [in_time / come for in_time, come in shares]
    assert found == sorted(found, reverse=True), found
    assert found[0] > found[-1] + 0.2, found


@given('the queue of 1 server with shares, and orders of accounts "{names}" for 20 s')
def step(context, names):
    context.shares = QueueShares()
    context.queue = ServiceQueue(shares=context.shares)
    context.now = 0.0
    for number in range(20):
        for name in names.split():
            book(context, f"{name}/{number}", name)
            context.queue.drop(f"{name}/{number}")
        context.now += 1.0
    context.calm = context.shares.accounts.demands(context.now)


def book(context, order_id, account):
    """Book an order and return the decision."""
    booking = PieceBooking(
        order_id, "service", order_id, order_id, PIECES, 0, account=account
    )
    start_by, expires = context.now + 1.5, context.now + 6.0
    return context.queue.book(
        booking, start_by, expires, LIMITS, FORWARD_SERVERS, context.now
    )


@when('account "{account}" books {count:d} orders of 4 pieces within a second')
def step(context, account, count):
    context.booked = {}
    for number in range(count):
        context.now += 1.0 / count
        order_id = f"{account}/surge-{number}"
        context.booked[order_id] = book(context, order_id, account)


@then("some of its bookings are refused as surplus")
def step(context):
    over = [wait for wait in context.booked.values() if isinstance(wait, Surplus)]
    assert 0 < len(over) < len(context.booked), context.booked


@then("the orders of its accepted bookings are accepted")
def step(context):
    for order_id, refused in context.booked.items():
        if refused is not None:
            continue
        pieces = tuple(Piece(order_id, 0, n, order_id, ()) for n in range(PIECES))
        order = PieceOrder(
            order_id, "service", pieces, 10.0, 0, invested=True, account="a"
        )
        queued = QueuedOrder(order, context.now + 1, context.now + 5, list(pieces))
        wait = context.queue.submit(queued, LIMITS, FORWARD_SERVERS, context.now)
        assert wait is None, (order_id, wait)


@then("its demand is that of {count:d} orders")
def step(context, count):
    # Recent demand is an average over two seconds, of which the surge took one.
    demand = context.shares.accounts.demands(context.now + 0.25)["a"]
    most = context.calm["a"] + count * PIECES * 0.5
    assert 0.5 * most <= demand <= most, (demand, most)


@when(
    "account {account:d} sends {factor:g} times its demand for {seconds:g} s without "
    "shares"
)
def step(context, account, factor, seconds):
    surge = (CALM_SECONDS, CALM_SECONDS + seconds)
    kinds = account_kinds(
        context.servers, context.load, lambda a: factor if a == f"a{account}" else 1.0
    )
    named = AccountLoad(LIMITS, context.servers, 1, False, surge)
    named.run(kinds, surge[1])
    nameless = AccountLoad(LIMITS, context.servers, 1, False, surge)
    nameless.run([replace(kind, account="") for kind in kinds], surge[1])
    context.decisions = named.begun, nameless.begun


@then("decisions are the same as those for orders without an account")
def step(context):
    named, nameless = context.decisions
    assert named == nameless
