"""Steps on entries that follow the platform's store, in simulated time."""

import random

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.policy.publication import Change, Changes, Snapshot
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.watchers import is_first_watcher
from tests.standins.clock import SetClock
from tests.standins.following import TICK_SECONDS, SimulatedSite

CHECKS = settings(max_examples=200, derandomize=True, deadline=None, database=None)


@given(
    "{count:d} entries in {centres:d} data centres, "
    "each change to be known within {bound:g} s"
)
def step(context, count, centres, bound):
    context.site = SimulatedSite(count, centres, bound)
    context.calls = 0


@given("requests come to all of them")
def step(context):
    context.site.used = True


@given("they have run for {seconds:g} seconds")
def step(context, seconds):
    context.site.run(seconds)
    assert context.site.known_everywhere()
    context.site.worst = 0.0
    context.calls = context.site.store.calls


@given('"{key}" is published, and all have run for {seconds:g} seconds')
def step(context, key, seconds):
    context.site.publish(key)
    context.execute_steps(f"given they have run for {seconds:g} seconds")


@when("{count:d} changes are published over {seconds:g} seconds")
def step(context, count, seconds):
    site = context.site
    context.began = site.clock.now()
    for number in range(count):
        site.publish("a", str(number).encode())
        site.run(seconds / count)
    context.seconds = site.clock.now() - context.began
    context.made = site.store.calls - context.calls
    site.run(site.bound)


@when("a change is published")
def step(context):
    context.site.worst = 0.0
    context.site.publish()


@then("each was known everywhere within {bound:g} s")
def step(context, bound):
    assert context.site.worst <= bound, context.site.worst
    assert context.site.known_everywhere()


@then("it is known everywhere within {bound:g} s")
def step(context, bound):
    site = context.site
    took = site.run(bound, site.known_everywhere)
    assert site.known_everywhere(), took


@then("an entry made at most {most:g} calls of the store a minute")
def step(context, most):
    calls = context.made / len(context.site.entries) / (context.seconds / 60)
    assert calls <= most, calls


@then("an entry made at most {most:g} calls of the store altogether")
def step(context, most):
    calls = context.site.store.calls / len(context.site.entries)
    assert calls <= most, calls


@when("a change is published, and then for {seconds:g} s the store loses all questions")
def step(context, seconds):
    site = context.site
    site.publish()
    # Whoever waits hears of it, and asks anew in the silence.
    site.run(TICK_SECONDS)
    site.store.loses = True
    site.run(seconds)
    site.store.loses = False


@then("what each entry knows was confirmed at least {seconds:g} s ago")
def step(context, seconds):
    ages = [entry.confirming.age() for entry in context.site.entries]
    assert min(ages) >= seconds, ages


def first_watcher(site):
    """Return the entry that asks before all others."""
    running = site.running()
    return next(e for e in running if is_first_watcher(e.name, running))


@when("the first of the watchers is killed")
def step(context):
    first_watcher(context.site).alive = False


@when("the first of the watchers is cut off from the other entries")
def step(context):
    first_watcher(context.site).alone = True


@when("the first of the watchers is turned away by the store")
def step(context):
    context.site.store.turned_away = {first_watcher(context.site).name}


@when("the watchers are killed")
def step(context):
    for entry in context.site.watching():
        entry.alive = False


@when("the watchers are cut off from the other entries")
def step(context):
    for entry in context.site.watching():
        entry.alone = True


@when("the watchers are turned away by the store")
def step(context):
    context.site.store.turned_away = {e.name for e in context.site.watching()}


@when("one entry that does not watch is cut off from the others")
def step(context):
    site = context.site
    watching = site.watching()
    next(e for e in site.entries if e not in watching).alone = True


@when("one entry begins anew")
def step(context):
    context.started = context.site.entries[-1]
    context.started.starts()


@then("that entry knows it within {seconds:g} s")
def step(context, seconds):
    site, entry = context.site, context.started
    site.run(seconds, lambda: entry.table.revision == site.store.revision)
    assert entry.table.revision == site.store.revision


@when("the store is down for {seconds:g} seconds")
def step(context, seconds):
    site = context.site
    calls = site.store.calls
    site.store.down = True
    site.run(seconds)
    site.store.down = False
    context.made = site.store.calls - calls


@then("it was called at most {most:d} times meanwhile")
def step(context, most):
    assert context.made <= most, context.made


@when("the store answers one entry in five, none of which watches")
def step(context):
    site = context.site
    watching = site.watching()
    others = [e for e in site.entries if e not in watching]
    served = {e.name for e in others[:: len(others) * 5 // len(site.entries)]}
    site.store.turned_away = {e.name for e in site.entries if e.name not in served}


@when("the entries run for {seconds:g} seconds")
def step(context, seconds):
    context.site.run(seconds)


@when("the history is dropped after a change")
def step(context):
    context.site.publish()
    context.site.store.forget()


@when(
    'the {change} of "{key}" comes {seconds:g} s after a change, unheard by any watch'
)
def step(context, change, key, seconds):
    site = context.site
    # Whoever waits hears of the change, and asks anew.
    site.publish()
    site.run(seconds)
    site.store.silent = True
    change_key(context, change, key)


def change_key(context, change, key):
    """Remove or rewrite a key."""
    site = context.site
    context.old_value = site.store.values[key]
    site.publish(key, None if change == "removal" else b"later")
    context.changed_at = site.clock.now()


@when("the history is dropped and the watches are cut a second later")
def step(context):
    context.site.run(1.0)
    context.site.store.drop_history(context.site.running())


@when("all calls are lost for {seconds:g} s")
def step(context, seconds):
    context.site.store.loses = True
    context.site.run(seconds)
    context.site.store.loses = False


@when('"{key}" is removed')
def step(context, key):
    change_key(context, "removal", key)


@then('no entry uses the old "{key}" later than {bound:g} s after its {change}')
def step(context, key, bound, change):
    site, old = context.site, context.old_value
    left = bound - (site.clock.now() - context.changed_at)
    site.run(left, lambda: site.unused_everywhere(key, old))
    assert site.unused_everywhere(key, old)


@when('"{key}" lapses while the store is down for {seconds:g} seconds')
def step(context, key, seconds):
    site = context.site
    site.store.down = True
    site.run(seconds)
    site.publish(key, None)
    site.store.down = False


@then('every entry that knows of the store\'s return still holds "{key}"')
def step(context, key):
    assert all(key in e.table.values for e in context.site.running())


@then('no entry holds "{key}"')
def step(context, key):
    for entry in context.site.running():
        entry.table.drop_expired()
        assert key not in entry.table.values


@given("an entry that has just started and has not been answered")
def step(context):
    context.site = SimulatedSite(1, 1, 2.0)
    context.site.store.down = True


@then("the age of what it knows is a finite number of milliseconds")
def step(context):
    assert int(context.site.entries[0].following.age() * 1000) > 0


@then("it looks whether to ask twice a second, not all the time")
def step(context):
    assert context.site.entries[0].following.pause_seconds("servers") == 0.5


@then("whatever order tables of three entries meet in, none loses or revives a value")
def step(context):
    moves = st.lists(
        st.sampled_from(["put", "remove", "own", "relay", "stale"]), max_size=40
    )

    @CHECKS
    @any_of(moves, st.integers())
    def check(steps, seed):
        mixed_tables(steps, random.Random(seed))

    check()


def mixed_tables(steps, rng):
    """Let three tables meet a store and one another; compare them with the store."""
    clock = SetClock()
    tables = [PublishedTable(clock.now, 3) for _ in range(3)]
    truth = {1: {"a": b"0"}}
    history = []
    for table in tables:
        table.apply_answer(Snapshot(1, {"a": b"0"}))
    old = tables[0].changes_since(None)
    for move in steps:
        revision = max(truth)
        table, other = rng.sample(tables, 2)
        if move in ("put", "remove"):
            key = rng.choice("abc")
            value = str(revision).encode() if move == "put" else None
            values = dict(truth[revision])
            values.pop(key, None)
            if value is not None:
                values[key] = value
            truth[revision + 1] = values
            history.append(Change(key, revision + 1, value))
        elif move == "own":
            after = rng.choice([table.revision, 1])
            changes = tuple(c for c in history if c.revision > after)
            table.apply_answer(Changes(revision, changes))
        elif move == "relay":
            table.apply_relayed(other.changes_since(table.revision))
        else:
            table.apply_relayed(old)
            old = other.changes_since(rng.choice([None, 1]))
        for one in tables:
            assert one.values == truth[one.revision], (move, one.values)


def come_back(site, copy):
    """Have the store come back from a copy, and count its calls from here."""
    site.store.return_from(copy)
    # Revisions are given out again.
    site.published.clear()
    return site.store.calls


def acknowledge_changes(site, count):
    """Publish changes that are known everywhere."""
    for number in range(count):
        site.publish("a", f"lost {number}".encode())
        site.run(1.0)


@when(
    "the store is away for {away:g} s and comes back from a copy of {count:d} changes "
    "before"
)
def step(context, away, count):
    site = context.site
    copy = site.store.copy()
    acknowledge_changes(site, count)
    site.store.down = True
    site.run(away)
    site.store.down = False
    context.calls = come_back(site, copy)


@when("the store comes back twice within {seconds:g} s, at last from an older copy")
def step(context, seconds):
    site = context.site
    older = site.store.copy()
    acknowledge_changes(site, 2)
    copy = site.store.copy()
    acknowledge_changes(site, 2)
    come_back(site, copy)
    site.run(seconds)
    context.calls = come_back(site, older)


@then("the store was asked at most {most:d} times since its return")
def step(context, most):
    made = context.site.store.calls - context.calls
    assert made <= most, made


@when("half of the entries are turned away by the store")
def step(context):
    site = context.site
    site.store.turned_away = {entry.name for entry in site.entries[::2]}


@when("the simulated store has no history to any watch for {seconds:g} seconds")
def step(context, seconds):
    site = context.site
    site.store.refuses_watches = True
    calls = site.store.calls
    context.seconds = seconds
    site.publish()
    site.run(seconds)
    context.made = site.store.calls - calls


@then("an entry made at most {most:g} calls of the store a second")
def step(context, most):
    calls = context.made / len(context.site.entries) / context.seconds
    assert calls <= most, calls
