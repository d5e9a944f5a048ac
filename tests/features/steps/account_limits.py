"""Steps that enforce account limits over several entries in one process."""

import random

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.document import ClientAccount
from boragestream.entry.demand import DemandPart
from boragestream.policy.account_limits import AccountLimits
from boragestream.policy.demand import DemandTable
from tests.standins.clock import SetClock

STEP_SECONDS = 0.05
ROUND_SECONDS = 1.0
BUDGET = 500
# Reports state rates in hundredths, so that sums may differ by rounding.
ROUNDING = 0.1
EXAMPLES = settings(derandomize=True, deadline=None, max_examples=40)


class Member:
    """One entry, reduced to its account limits."""

    def __init__(self, name, names, clock):
        self.name = name
        self.table = DemandTable(name, clock)
        self.table.set_listed(names)
        self.limits = AccountLimits(name, self.table, clock)
        self.part = DemandPart(name, "1", self.table, self.limits.demands, lambda: 0.0)


class Group:
    """Entries that share the limits of one account."""

    def __init__(self, count, **limits):
        self.clock = SetClock()
        self.account = ClientAccount("lab", ("0" * 64,), **limits)
        names = [chr(ord("a") + i) for i in range(count)]
        self.members = {n: Member(n, names, self.clock) for n in names}
        self.rng = random.Random(1)
        self.admitted = {}

    def exchange_reports(self, sides):
        """Let every entry exchange reports with one other entry of its side."""
        for side in sides:
            for name in side:
                others = [n for n in side if n != name]
                if others:
                    self.exchange_messages(
                        self.members[name], self.members[self.rng.choice(others)]
                    )

    def exchange_messages(self, one, other):
        """Exchange one message in each direction."""
        data, answer = one.part.offer(BUDGET), other.part.offer(BUDGET)
        other.part.take(one.name, data)
        one.part.take(other.name, answer)

    def send_requests(self, rates, seconds, sides=None):
        """Send requests at given rates; count those admitted in the second half."""
        sides = sides or [list(self.members)]
        self.admitted = dict.fromkeys(self.members, 0)
        due = dict.fromkeys(rates, 0.0)
        steps = round(seconds / STEP_SECONDS)
        for step in range(steps):
            self.clock.seconds += STEP_SECONDS
            if step % round(ROUND_SECONDS / STEP_SECONDS) == 0:
                self.exchange_reports(sides)
            for name, rate in rates.items():
                due[name] += rate * STEP_SECONDS
                while due[name] >= 1:
                    due[name] -= 1
                    entered = self.enter(name)
                    self.admitted[name] += entered and step >= steps / 2
        self.counted = seconds / 2

    def enter(self, name):
        """Make one request that ends at once; return whether it was admitted."""
        limits = self.members[name].limits
        if limits.enter(self.account) is not None:
            return False
        limits.leave(self.account)
        return True

    def rate_share(self, name):
        """Return an entry's share of the rate limit."""
        return self.members[name].limits.shares(self.account)[0]


@given('{count:d} entries that hold "{limit}" at {value:d}')
def step(context, count, limit, value):
    context.group = Group(count, **{limit: value})


@when('"{name}" is asked {rate:d} times a second for {seconds:d} seconds')
def step(context, name, rate, seconds):
    context.group.send_requests({name: rate}, seconds)


@when("both are asked {rate:d} times a second for {seconds:d} seconds")
@when("all are asked {rate:d} times a second for {seconds:d} seconds")
def step(context, rate, seconds):
    context.group.send_requests(dict.fromkeys(context.group.members, rate), seconds)


@when('"{b}" is silent and "{a}" gets {rate:d} a second for {n:d} seconds')
def step(context, b, a, rate, n):
    context.group.send_requests({a: rate}, n, sides=[[a], [b]])


@when("they are cut in 2 sides and asked {rate:d} times a second for {n:d} seconds")
def step(context, rate, n):
    names = list(context.group.members)
    context.sides = [names[: len(names) // 2], names[len(names) // 2 :]]
    context.group.send_requests(dict.fromkeys(names, rate), n, context.sides)


@when('"{name}" wakes up after {seconds:d} seconds')
def step(context, name, seconds):
    context.group.clock.seconds += seconds
    context.group.enter(name)


@when("{count:d} requests come to each at once, round after round")
def step(context, count):
    group = context.group
    context.in_hand = dict.fromkeys(group.members, 0)
    for _ in range(8):
        group.clock.seconds += ROUND_SECONDS
        group.exchange_reports([list(group.members)])
        for name, member in group.members.items():
            for _ in range(context.in_hand[name]):
                member.limits.leave(group.account)
            answers = [member.limits.enter(group.account) for _ in range(count)]
            context.in_hand[name] = answers.count(None)
            context.refused = answers[-1]


@then("{count:d} are in hand together")
def step(context, count):
    assert sum(context.in_hand.values()) == count, context.in_hand


@then("a caller over the limit is told the limit's name and when to return")
def step(context):
    reached, seconds = context.refused
    assert reached.limit == "concurrency" and seconds > 0, context.refused


@then('"{name}" lets in between {low:d} and {high:d} a second')
def step(context, name, low, high):
    rate = context.group.admitted[name] / context.group.counted
    assert low <= rate <= high, rate


@then('"{name}" holds {rate:d} a second before any report')
def step(context, name, rate):
    context.group.enter(name)
    assert context.group.rate_share(name) == rate


@then('"{name}" holds {rate:d} a second at the most')
def step(context, name, rate):
    assert context.group.rate_share(name) <= rate, context.group.rate_share(name)


@then("each side lets in {rate:d} a second at the most")
def step(context, rate):
    for side in context.sides:
        total = sum(context.group.admitted[n] for n in side) / context.group.counted
        assert total <= rate * 1.02, (side, total)


@then("whatever the entries are asked for, their shares never add up to more")
def step(context):
    rates = st.lists(st.integers(0, 60), min_size=3, max_size=3)

    @EXAMPLES
    @drawn(st.lists(rates, min_size=1, max_size=6), st.integers(1, 50))
    def check(phases, limit):
        group = Group(3, requests_per_second=float(limit))
        for phase in phases:
            asked = dict(zip(group.members, phase, strict=True))
            for name, rate in asked.items():
                for _ in range(rate):
                    group.enter(name)
            group.clock.seconds += ROUND_SECONDS
            offers = {n: m.part.offer(BUDGET) for n, m in group.members.items()}
            for member in group.members.values():
                for name, data in offers.items():
                    member.part.take(name, data)
            group.clock.seconds += ROUND_SECONDS
            held = [group.rate_share(n) for n in group.members]
            assert sum(held) <= limit + ROUNDING, (held, limit)

    check()


@then("any report that is offered is taken as it was")
def step(context):
    count = st.integers(0, 1000)

    @EXAMPLES
    @drawn(count, count)
    def check(rate, in_hand):
        group = Group(2, requests_per_second=100.0, concurrency=50)
        a, b = group.members.values()
        for _ in range(min(rate, 100)):
            a.limits.enter(group.account)
        group.clock.seconds += ROUND_SECONDS
        b.part.take("a", a.part.offer(BUDGET))
        reported = b.table.unexpired_reports()["a"][1].accounts
        own = a.limits.demands()
        for key, demand in own.items():
            assert abs(reported[key].held_rate - demand.held_rate) <= 0.01
            assert reported[key].slots == demand.slots

    check()


@then("garbage on the exchange is left alone")
def step(context):
    group = Group(2, requests_per_second=100.0)
    b = group.members["b"]
    for data in (b"\xc1", b"\x91\x01", random.Random(1).randbytes(200)):
        b.part.take("a", data)
    assert not b.table.unexpired_reports()
