"""Steps that choose entries for callers."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.policy.entry_choice import MIN_POOL, ChoosableEntry, entry_order


def entries(count):
    """Return some live entries of three data centres."""
    return [ChoosableEntry(f"e-{i}", f"centre-{i % 3}") for i in range(count)]


@given('{count:d} entries of which "{name}" refuses and the others are idle')
def step(context, count, name):
    context.entries = entries(count)
    context.loads = {e.name: float(e.name == name) for e in context.entries}


@given("{count:d} idle entries")
def step(context, count):
    context.entries = entries(count)
    context.loads = {e.name: 0.0 for e in context.entries}


@when('"{account}" asks {count:d} times')
def step(context, account, count):
    rng = random.Random(1)
    context.firsts = Counter(
        entry_order(account, 0.2, context.entries, context.loads, "centre-0", rng)[0]
        for _ in range(count)
    )


@then('"{name}" is named first less often than 1 in {part:d}')
def step(context, name, part):
    assert context.firsts[name] * part < context.firsts.total(), context.firsts


@then("no entry of its pool is named first more often than 1 in {part:d}")
def step(context, part):
    assert len(context.firsts) == MIN_POOL, context.firsts
    assert max(context.firsts.values()) * part < context.firsts.total(), context.firsts


@then("most accounts keep their pool when any entry goes")
def step(context):
    before, after = entries(30), entries(30)[1:]
    accounts = [f"account-{i}" for i in range(200)]
    kept = [a for a in accounts if pool(a, before) == pool(a, after)]
    assert len(kept) >= 0.8 * len(accounts), len(kept)


def pool(account, usable):
    """Return the pool of a small account."""
    order = entry_order(account, 0.0, usable, {}, "centre-0", random.Random(1))
    return set(order[:MIN_POOL])


@then("any answer names usable entries only, each once, and at least one of them")
def step(context):
    @settings(derandomize=True, deadline=None, max_examples=80)
    @drawn(st.integers(1, 40), st.floats(0, 1), st.integers(), st.text(max_size=5))
    def check(count, share, seed, account):
        usable = entries(count)
        rng = random.Random(seed)
        order = entry_order(account, share, usable, {"e-0": 2.0}, "centre-1", rng)
        assert order and len(set(order)) == len(order)
        assert set(order) <= {entry.name for entry in usable}

    check()
