"""Steps on retries, hedges, limits, ejections and costs, without processes."""

import random

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.policy.budgets import START_TOKENS, AttemptBudget
from boragestream.policy.circuits import CLOSED, after_failure, is_open
from boragestream.policy.concurrency import INITIAL_LIMIT, is_queueing, next_limit
from boragestream.policy.costs import CostTable, Purpose, TimeUse
from boragestream.policy.hedging import hedge_delay, hedge_share
from boragestream.policy.reports import LoadReport
from boragestream.policy.retries import FailedAttempt, retry_verdict
from boragestream.policy.times import RecentTimes

MILLISECOND = 0.001


@given("a failed attempt that {ran}, with {left:d} ms left of {needed:d} ms needed")
def step(context, ran, left, needed):
    context.failed_attempt = FailedAttempt(ran == "may have run", ran == "was not sent")
    context.left, context.needed = left, needed


@given("{attempts:d} attempts so far of a call that {kind} be repeated")
def step(context, attempts, kind):
    context.attempts, context.repeatable = attempts, kind == "may"


@given("the budget of retries is {budget}")
def step(context, budget):
    context.verdict = retry_verdict(
        context.failed_attempt,
        context.attempts,
        context.repeatable,
        context.left,
        context.needed,
        budget == "off",
        lambda: budget == "there",
    )


@then('the verdict is "{verdict}"')
def step(context, verdict):
    assert context.verdict.name == verdict, context.verdict


@then("at any share {count:d} first attempts earn that share and at most {more:d} more")
def step(context, count, more):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @any_of(st.floats(0, 1), st.integers(0, 99))
    def check(share, seed):
        rng = random.Random(seed)
        budget, spent = AttemptBudget(), 0
        for _ in range(count):
            budget.earn(share)
            if rng.random() < 0.7:
                spent += budget.spend()
        while budget.spend():
            spent += 1
        assert spent <= count * share + more, (share, spent)
        assert spent >= START_TOKENS

    check()


@given("a kind of call with times from {low:d} to {high:d} ms")
def step(context, low, high):
    steps = 200
    record_times(context, [low + (high - low) * i / steps for i in range(steps)])


@given("a kind of call of which every third takes {slow:d} ms, the others {usual:d} ms")
def step(context, slow, usual):
    record_times(context, [usual, usual, slow] * 60)


@given("a kind of call that was measured {count:d} times")
def step(context, count):
    record_times(context, [20] * count)


def record_times(context, times):
    """Record call durations in milliseconds."""
    context.times = RecentTimes()
    for time in times:
        context.times.add("kind", time * MILLISECOND)


@then("it is hedged after {after:d} ms")
def step(context, after):
    delay = hedge_delay(context.times, "kind")
    assert round(delay / MILLISECOND) == after, delay


@then("it is not hedged")
def step(context):
    assert hedge_delay(context.times, "kind") is None


@then("the share of hedges falls from {most:g} to 0 as the weight of cost rises to 1")
def step(context, most):
    shares = [hedge_share(most, weight / 10) for weight in range(11)]
    assert shares == sorted(shares, reverse=True)
    assert (shares[0], shares[-1]) == (most, 0)


@given("a server that answers {slots:d} calls at once in {time:d} ms")
def step(context, slots, time):
    context.slots, context.seconds = slots, time * MILLISECOND
    context.limits = {True: INITIAL_LIMIT, False: INITIAL_LIMIT}
    context.least = context.seconds


@when("an entry keeps as many calls there as its limit allows, {times:d} times")
def run_at_limit(context, times):
    """Run the calls of an entry that uses its whole limit, with and without reports."""
    for reports in context.limits:
        for _ in range(times):
            calls = int(context.limits[reports])
            seconds = context.seconds * max(1.0, calls / context.slots)
            report = LoadReport(calls, context.slots) if reports else None
            queueing = is_queueing(seconds, context.least, report)
            limit = next_limit(context.limits[reports], calls, queueing)
            context.limits[reports] = limit


@when("the server is half as fast, and an entry keeps the limit used {times:d} times")
def step(context, times):
    context.seconds *= 2
    run_at_limit(context, times)


@then(
    "the limit settles between {low:d} and {high:d}, "
    "whether the server reports its load or not"
)
def step(context, low, high):
    assert all(low <= limit <= high for limit in context.limits.values()), (
        context.limits
    )


@then(
    "ejections last from {low:g} to {high:g} s at first "
    "and at most {most:g} s after {count:d} failures"
)
def step(context, low, high, most, count):
    rng = random.Random(1)
    circuit, lasted = CLOSED, []
    for _ in range(count):
        circuit = after_failure(circuit, 0.0, False, rng)
        lasted.append(circuit.until)
    assert low / 1.1 <= lasted[0] <= high, lasted
    assert lasted[3] > lasted[0] and max(lasted) <= most, lasted


@then("one cut answer ejects no server, two in a row do")
def step(context):
    rng = random.Random(1)
    once = after_failure(CLOSED, 1.0, True, rng)
    twice = after_failure(once, 1.0, True, rng)
    assert [is_open(once, 1.0), is_open(twice, 1.0)] == [False, True]


@when("attempts of two accounts end in every way")
def step(context):
    context.costs = CostTable()
    for account, seconds in (("first", 1.0), ("second", 2.0)):
        for purpose in Purpose:
            for spent in TimeUse:
                context.costs.add(account, "p.s", purpose, spent, seconds)


@then("each account's page counts its own")
def step(context):
    pages = context.costs.snapshot()
    for account, seconds in (("first", 3.0), ("second", 6.0)):
        page = pages[account]["p.s"]
        assert {getattr(page, spent.value) for spent in TimeUse} == {seconds}, page
        assert (page.attempts, page.hedges, page.retries) == (15, 5, 5)
