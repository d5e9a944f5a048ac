"""Steps on the shares of client accounts, in simulated time."""

import functools
import heapq
import itertools
import random
import unittest.mock
from dataclasses import replace
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from boragestream.base.events import Event
from boragestream.base.failures import AccountOverShare
from boragestream.base.outcomes import Refused
from boragestream.base.route_metrics import RouteMetrics
from boragestream.base.route_settings import AccountSettings, PlatformSettings
from boragestream.daemon.account_parts import make_account_parts, shares_fairly
from boragestream.document.calls import Piece, PieceResult
from boragestream.document.routes import PieceLimits, RouteAccount, key_digest
from boragestream.entry.piece_messages import PiecesAnswer, PiecesOrder
from boragestream.policy.account_shares import (
    AccountShares,
    Surplus,
)
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.demand import DemandTable
from boragestream.policy.max_min import weighted_max_min
from boragestream.policy.piece_queue import PieceBooking, PieceOrder, QueuedOrder
from boragestream.policy.queue_owners import StageQueue
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.route_table import RouteTable
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import ServiceQueue
from boragestream.policy.service_shares import ServiceShares
from boragestream.policy.stage_regions import StageRegions
from boragestream.policy.stage_servers import Batch
from boragestream.policy.thread_shares import ThreadShares
from boragestream.serving.forwarded_choice import ForwardedChoice
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_orders import PieceOrders
from boragestream.serving.piece_refusals import (
    answer_refusal,
    wait_answer,
    wait_refusal,
)
from boragestream.serving.stage_pieces import _StageRun
from boragestream.serving.surplus import refuse_surplus
from tests.standins.account_entries import CALL_SECONDS, AccountEntries
from tests.standins.account_load import AccountKind, AccountLoad
from tests.standins.clock import SetClock
from tests.standins.limits import lone_limits
from tests.standins.queue_parts import queue_parts

LIMITS = PieceLimits(1, 12, 0.2, 0.01, 100.0, 4.0)
# Four large accounts and twelve small ones.
SIZES = {f"a{n}": 4.0 if n < 4 else 1.0 for n in range(16)}
# Urgency, seconds to the latest start, part of an account's requests.
KINDS = ((0, 0.9, 0.3), (1, 0.9, 0.4), (2, 1.5, 0.3))
PIECES = 4
CALM_SECONDS = 30.0
SEEDS = (1, 2)
PLACES = 60


def account_kinds(servers, load, growth):
    """Return all kinds; ``growth`` returns an account's multiple in the surge."""
    call = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
    unit = load * servers * LIMITS.batch / call / sum(SIZES.values()) / PIECES
    return [
        AccountKind(
            f"{account}/{urgency}",
            urgency,
            PIECES,
            unit * size * part,
            slack,
            account=account,
            surge=growth(account),
        )
        for account, size in SIZES.items()
        for urgency, slack, part in KINDS
    ]


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


@then(
    'a capacity of {capacity:g} divided between demands "{demands}" with the weights '
    '"{weights}" has the level {level:g}'
)
def step(context, capacity, demands, weights, level):
    demand = {n: float(d) for n, d in enumerate(demands.split())}
    weight = {n: float(w) for n, w in enumerate(weights.split())}
    assert weighted_max_min(capacity, demand, weight) == level


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


FORWARD_SERVERS = [Server("s-1", "service", "10.0.0.1:80", "hall", "1")]


def forwarding_entry(context, shares):
    """Set up the choice of servers of an entry."""
    context.clock = SetClock()
    table = DemandTable("entry", context.clock)
    context.parts = SimpleNamespace(
        regions=SimpleNamespace(several=False),
        outstanding=None,
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


@given("the owner of a queue with shares")
def step(context):
    context.clock = SetClock()
    context.servers = [
        Server(f"s-{n}", "service", f"10.0.0.{n}:80", "hall", "1") for n in range(3)
    ]
    parts = queue_parts(
        context.clock,
        SimpleNamespace(live=lambda service: context.servers, all=context.servers),
        ColdServers(
            "own", lambda service: None, lambda server: [], bool, context.clock
        ),
        LIMITS,
        metrics=RouteMetrics(),
        shares=QueueShares,
    )
    context.batches = PieceBatches(parts, lambda order_id, results: None)
    # Calls are made by the test, each at the end of its usual time.
    context.submitted = []
    context.batches._calls = SimpleNamespace(
        submit=lambda work, *arguments: context.submitted.append(arguments),
        takes_messages=lambda server: True,
        release=None,
        check_overdue_calls=lambda: None,
    )


@when(
    'accounts use {load:g} of it for {calm:g} s, and then account "{account}" sends '
    "{factor:g} times as many for {surge:g} s"
)
def step(context, load, calm, account, factor, surge):
    rng, numbers = random.Random(1), itertools.count()
    owners = SimpleNamespace(own="owner")
    orders = PieceOrders(owners, context.clock)
    orders.set_batches(context.batches)
    context.answers = {}
    began, ending = context.clock.seconds, []
    call = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
    rate = load * len(context.servers) * LIMITS.batch / call / PIECES / 4
    rates = {name: rate for name in "abcd"}
    moments = sorted(
        (began + start + rng.random() * seconds, name)
        for name in rates
        for start, seconds, times in (
            (0, calm, 1.0),
            (calm, surge, factor if name == account else 1.0),
        )
        for _ in range(int(rates[name] * seconds * times))
    )
    for now, name in moments:
        while ending and ending[0][0] <= now:
            context.clock.seconds, _, batch = heapq.heappop(ending)
            results = [PieceResult(f"h{next(numbers)}", None, "") for _ in batch.pieces]
            context.batches._end_batch(StageQueue("service"), batch, results)
            context.batches.release([result.handle for result in results])
            context.batches._send_batches(StageQueue("service"))
            start_calls(context, ending, numbers)
        context.clock.seconds = now
        order_id = f"{name}/{next(numbers)}"
        message = PiecesOrder(
            order_id=order_id,
            service="service",
            request_id=order_id,
            stage=0,
            numbers=tuple(range(PIECES)),
            key=order_id,
            inputs=(),
            result_bytes=10.0,
            priority=0,
            invested=False,
            start_ms=900,
            left_ms=6000,
            account=name,
        )
        envelope = SimpleNamespace(sender="other")
        answer = orders.answer_order(envelope, message)
        context.answers.setdefault(name, []).append((order_id, answer))
        start_calls(context, ending, numbers)


def start_calls(context, ending, numbers):
    """Let each call that was submitted end after its usual time."""
    while context.submitted:
        arguments = context.submitted.pop(0)
        # Releases of results have other arguments than calls.
        batch = arguments[-1]
        if not isinstance(batch, Batch):
            continue
        end = context.clock.seconds + batch.seconds
        heapq.heappush(ending, (end, next(numbers), batch))


@then('other entries are told which orders of "{account}" are over its share')
def step(context, account):
    over = [a for _, a in context.answers[account] if a.over_share]
    assert len(over) > 50, len(over)
    assert all(not answer.taken and 0 <= answer.wait_ms <= 5000 for answer in over)


@then("no order of the others is refused")
def step(context):
    for name in "bcd":
        assert all(answer.taken for _, answer in context.answers[name]), name


@then("no piece of a refused order is in the queue")
def step(context):
    for _, answers in context.answers.items():
        for order_id, answer in answers:
            assert answer.taken or not context.batches.has_order(order_id)


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


@given('settings with fair shares {setting} and the contracts "{contracts}"')
@given('settings with fair shares {setting} and the contracts ""')
def step(context, setting, contracts=""):
    required = {"absent": None, "true": True, "false": False}[setting]
    context.settings = SimpleNamespace(
        accounts=AccountSettings(required),
        platform=PlatformSettings(tuple(contracts.split())),
    )


@then("shortages are divided between accounts")
def step(context):
    assert shares_fairly(context.settings)


@then("shortages are not divided between accounts")
def step(context):
    assert not shares_fairly(context.settings)
    inactive = make_account_parts(context.settings, "entry", "one", None, SetClock())
    assert inactive.new_queue() is None
    assert inactive.services is None
    assert inactive.threads(100) is None


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


@then("stages send orders without an account")
def step(context):
    run = SimpleNamespace(
        account="a",
        route=SimpleNamespace(name="route", stages=()),
        request=SimpleNamespace(request_id="r"),
        service="service",
        regions=None,
    )
    stages = SimpleNamespace(
        stage_regions=StageRegions(),
        engine_delays=SimpleNamespace(reserve_seconds=lambda route: 0.0),
        stage_delays=None,
        order_numbers=itertools.count(),
        fair_shares=False,
    )
    assert _StageRun(stages, run, "")._account == ""
    stages.fair_shares = True
    assert _StageRun(stages, run, "")._account == "a"


@then("orders of the previous release have no account")
def step(context):
    fields = {
        "type": "PiecesOrder",
        **dict.fromkeys(("order_id", "service", "request_id", "key"), "x"),
        **dict.fromkeys(("stage", "priority", "start_ms", "left_ms"), 1),
        **dict.fromkeys(("numbers", "inputs"), ()),
        "result_bytes": 1.0,
        "invested": False,
    }
    packed = msgspec.msgpack.encode(fields)
    order = msgspec.msgpack.decode(packed, type=PiecesOrder)
    assert order.account == ""
    answer = msgspec.msgpack.encode({"type": "PiecesAnswer", "taken": False})
    assert not msgspec.msgpack.decode(answer, type=PiecesAnswer).over_share


@when("a request is refused as surplus with a wait of {wait:d} ms")
def step(context, wait):
    context.metrics, context.events = RouteMetrics(), []
    surplus = Surplus("a7", wait / 1000, 80.0, 10.0, 1.5)
    emitted = unittest.mock.patch(
        "boragestream.serving.surplus.emit",
        lambda event, **details: context.events.append((event, details)),
    )
    with emitted:
        context.failure = refuse_surplus(context.metrics, "service", "r-1", surplus)


@then('it is refused with the code "{code}" and a Retry-After of {seconds:g} s')
def step(context, code, seconds):
    run = SimpleNamespace(sent=SimpleNamespace(may_have_run=False))
    outcome = outcome_of(run, context.failure)
    assert isinstance(context.failure, AccountOverShare)
    assert isinstance(outcome, Refused)
    assert outcome.failure.code == code
    assert outcome.retry_after == seconds, outcome.retry_after
    # The owner of a queue reports the same to the entry that sent the order.
    surplus = Surplus("a7", seconds, 80.0, 10.0, 1.5)
    answer = wait_answer(surplus)
    assert answer_refusal("service", "a7", answer) == context.failure
    assert wait_refusal("service", surplus) == context.failure


@then("the event names the account, its demand, its weight and the level")
def step(context):
    [(event, details)] = context.events
    assert event is Event.SURPLUS_REFUSED
    assert details == {
        "request": "r-1",
        "account": "a7",
        "place": "service",
        "demand": 80.0,
        "weight": 10.0,
        "level": 1.5,
        "wait_ms": 1700,
    }


@then("the metrics name its share and its demand")
def step(context):
    text = context.metrics.text()
    labels = '{account="a7",place="service"}'
    for line in (
        f"boragestream_account_share{labels} 15.0",
        f"boragestream_account_demand{labels} 80.0",
        f"boragestream_account_surplus_refused_total{labels} 1.0",
    ):
        assert line in text, line
