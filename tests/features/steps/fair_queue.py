"""Steps that fill and empty a fair queue."""

from collections import Counter

from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.policy.fair_queue import FairQueue

PIPELINE = "caption"


@given('a queue of {many:d} items of "{large}" and {few:d} of "{small}"')
def step(context, many, large, few, small):
    context.queue = FairQueue()
    for name, count in ((large, many), (small, few)):
        for number in range(count):
            context.queue.push(name, 1.0, PIPELINE, number, (name, number))


@given('items of "{name}" with the deadlines {a:d}, {b:d} and {c:d}')
def step(context, name, a, b, c):
    context.queue = FairQueue()
    for deadline in (a, b, c):
        context.queue.push(name, 1.0, PIPELINE, deadline, (name, deadline))


@when("{count:d} items are taken")
def step(context, count):
    context.taken = [take(context.queue) for _ in range(count)]


def take(queue, can_begin=lambda _: True):
    """Pop an item; all items have the same cost."""
    return queue.pop(can_begin, lambda _: 1.0)


@then('one of them is of "{name}"')
def step(context, name):
    assert [n for n, _ in context.taken].count(name) == 1, context.taken


@then("they have the deadlines {a:d}, {b:d} and {c:d}")
def step(context, a, b, c):
    assert [d for _, d in context.taken] == [a, b, c], context.taken


@then("an item of another pipeline is taken first while theirs cannot begin")
def step(context):
    context.queue.push("small", 1.0, "chat", 9, ("small", 9))
    assert take(context.queue, lambda p: p == "chat") == ("small", 9)
    assert take(context.queue) == ("small", 1)


@then("any backlogged accounts get service by their weights")
def step(context):
    weights = st.lists(st.floats(0.1, 20), min_size=1, max_size=6)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given_data(weights, st.integers(1, 200))
    def check(weights, count):
        queue = FairQueue()
        for index, weight in enumerate(weights):
            for number in range(count):
                queue.push(str(index), weight, PIPELINE, number, str(index))
        served = Counter(take(queue) for _ in range(count))
        # Two backlogged accounts differ by at most one item of each.
        for a, weight_a in enumerate(weights):
            for b, weight_b in enumerate(weights):
                lag = served[str(a)] / weight_a - served[str(b)] / weight_b
                assert lag <= 1 / weight_a + 1 / weight_b + 1e-6, (served, weights)

    check()
