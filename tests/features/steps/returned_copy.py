"""Steps on tables of published values whose store comes back from a copy."""

import codecs
import http.client
import json
import random

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.platform import store as store_module
from boragestream.platform.reader import PlatformAnswer
from boragestream.platform.store import Store
from boragestream.policy.publication import Position
from boragestream.policy.published_table import AnswerStatus
from tests.standins.clock import SetClock
from tests.standins.copied_store import ORDERS, CopiedStore, Follower

CHECKS = settings(max_examples=300, derandomize=True, deadline=None, database=None)
# Longer than anything is held.
LONG_SECONDS = 60.0


@given('a copy of the store with "{text}"')
def step(context, text):
    copied(context, text, 1)


@given('a copy of the store with "{text}", in era {era:d}')
def step(context, text, era):
    copied(context, text, era)


def copied(context, text, era):
    """Begin with an entry that knows what a copy holds."""
    context.clock = SetClock()
    context.store = CopiedStore()
    context.store.era = era
    context.store.write(text)
    context.first = Follower(context.clock, context.store)
    context.first.ask()
    context.copy = context.store.copy()
    context.late = None


@given('after the copy "{text}" was acknowledged')
def step(context, text):
    for word in text.split():
        context.store.write(word)
        context.first.ask()
    context.late = context.first.servers.changes_since(None)
    context.late_read = context.store.read(orders=False)
    context.late_watch = context.store.watch(False, context.copy[3])


@given("the other entry knows of it too")
def step(context):
    context.other.ask()


@given('"{text}" was written, and all is read as the history is gone')
def step(context, text):
    context.store.write(text)
    for table, orders in context.first.tables:
        table.apply_answer(context.store.read(orders))


@given('another copy, after which "{text}" was acknowledged')
@given('a later copy, after which "{text}" was acknowledged')
def step(context, text):
    context.later_copy = context.store.copy()
    context.store.write(text)
    context.first.ask()


@given("another entry that knows as much, and is then cut off")
def step(context):
    context.other = Follower(context.clock, context.store)
    context.other.ask()


@when("the store comes back from the copy")
def step(context):
    context.store.return_from(context.copy)
    context.first.ask()


@when("the store comes back from the later copy")
def step(context):
    context.store.return_from(context.later_copy)
    context.first.ask()


@when('the store comes back from the copy and "{text}" is written before anybody asks')
def step(context, text):
    context.store.return_from(context.copy)
    context.store.write(text)
    context.first.ask()


@when('the store comes back from the copy and passes "{text}", and a watch is answered')
def step(context, text):
    context.store.return_from(context.copy)
    context.store.write(text)
    table = context.first.servers
    answer = context.store.watch(False, table.revision)
    context.standing = table.answer_status(answer)
    assert not table.apply_answer(answer)


@then("all is to be read")
def step(context):
    assert context.standing is AnswerStatus.UNCONNECTED


@given("the other entry knows of it too, and asks the first what has changed since")
def step(context):
    context.other.ask()
    context.question = context.other.servers.position


@when("the store comes back from the copy, and the other entry asks it first")
def step(context):
    context.store.return_from(context.copy)
    context.other.ask()


@when("the first answers what the other entry asked before the return")
def step(context):
    asked = context.question
    answer = context.first.servers.changes_since(asked.revision, asked.era)
    context.other.servers.apply_relayed(answer)


@given("a watch that is on its way")
def step(context):
    context.asked = context.first.servers.position


@when('"{text}" is written, but nobody asks')
def step(context, text):
    context.store.write(text)


@when("the watch is answered")
def step(context):
    table = context.first.servers
    answer = context.store.watch(False, context.asked.revision)
    assert table.answer_status(answer, context.asked) is AnswerStatus.OUTDATED
    # The next one that the entry sends itself is connected.
    assert table.answer_status(answer, table.position) is AnswerStatus.USABLE


@when("all is asked again")
def step(context):
    context.first.ask()


@when('"{text}" is written')
def step(context, text):
    context.store.write(text)
    context.first.ask()


@when('the store stops naming its era and "{text}" is written')
def step(context, text):
    context.store.names_era = False
    context.execute_steps(f'when "{text}" is written')


@when("{seconds:g} seconds pass")
def step(context, seconds):
    context.clock.seconds += seconds


@when("a new entry reads the store, and then hears of the first")
def step(context):
    context.new = Follower(context.clock, context.store)
    context.new.ask()
    context.new.hear(context.first)


@when("the other entry reads the store, and then hears of the first")
def step(context):
    context.other.ask()
    context.other.hear(context.first)


@when("the other entry reads the store")
def step(context):
    context.other.ask()


@when("the other entry hears of the first")
def step(context):
    context.other.hear(context.first)


@when("{answer} of the era before comes late")
def step(context, answer):
    table = context.first.servers
    if "message" in answer:
        table.apply_relayed(context.late)
    else:
        late = context.late_read if "read" in answer else context.late_watch
        assert table.answer_status(late) is AnswerStatus.OUTDATED
        table.apply_answer(late)


@then('"{key}" counts as {shown}')
def step(context, key, shown):
    found = context.first.shown(key)
    assert found == shown, found


@then('at the {which} entry "{listed}')
def step(context, which, listed):
    entry = getattr(context, which)
    for part in listed.split(", "):
        key, _, shown = part.replace('"', "").partition(" is ")
        found = entry.shown(key)
        assert found == shown, (key, found)


@then("nothing is held")
def step(context):
    first = context.first
    assert not first.servers.held and not first.operators.held


@then("at the other entry nothing is held")
def step(context):
    other = context.other
    other.look_again()
    assert not other.servers.held and not other.operators.held


@when("the store names its era as {named}")
def step(context, named):
    headers = http.client.HTTPMessage()
    if named != "nothing":
        headers["Store-Era"] = codecs.decode(json.loads(named), "unicode_escape")
    body = json.dumps({"events": [], "store_revision": 3}).encode()
    answered, store_module.get_value = (
        store_module.get_value,
        lambda address, target, seconds: PlatformAnswer(200, headers, body),
    )
    try:
        context.changes = Store("10.0.0.1:80").watch("servers/", 2, 0.0)
    finally:
        store_module.get_value = answered


@then("the era is {era:d}")
def step(context, era):
    assert context.changes.era == era


@then("after any returns, writes, reads and messages all tables end as the store is")
def step(context):
    moves = st.lists(
        st.sampled_from(
            ["write", "write", "copy", "return", "ask", "ask", "hear", "hear", "wait"]
            + ["start", "late", "late", "late watch"]
        ),
        max_size=40,
    )

    @CHECKS
    @any_of(moves, st.integers())
    def check(steps, seed):
        mixed_followers(steps, random.Random(seed))

    check()


def mixed_followers(steps, rng):
    """Let three entries meet a store and one another, and compare them at the end."""
    clock, store = SetClock(), CopiedStore()
    store.write("a=0 b=0 op/a")
    entries = [Follower(clock, store) for _ in range(3)]
    for entry in entries:
        entry.ask()
    copies, late = [store.copy()], entries[0].servers.changes_since(None)
    watched = None
    for move in steps:
        entry, other = rng.sample(entries, 2)
        if move == "write":
            key = rng.choice(["a", "b", "c", "op/a", "op/b"])
            if rng.random() < 0.4:
                store.write(f"{key}-")
            else:
                store.write(key if "/" in key else f"{key}={rng.randrange(4)}")
        elif move == "copy":
            copies.append(store.copy())
        elif move == "return":
            store.return_from(copies[-rng.randint(1, min(2, len(copies)))])
        elif move == "ask":
            entry.ask()
        elif move == "hear":
            entry.hear(other)
        elif move == "start":
            started = Follower(clock, store)
            entries[entries.index(entry)] = started
            if rng.random() < 0.5:
                started.ask()
        elif move == "late":
            entry.servers.apply_relayed(late)
            after = rng.choice([None, entry.servers.revision])
            late = other.servers.changes_since(after, entry.servers.era) or late
        elif move == "late watch":
            if watched is not None:
                table, asked, answer = watched
                if table.answer_status(answer, asked) is AnswerStatus.USABLE:
                    table.apply_answer(answer)
            watched = late_watch(entry, store, rng)
        else:
            clock.seconds += rng.choice([0.5, 3.0, 10.0, 40.0])
        positions = [e.servers.position or Position(0, 0) for e in entries]
        assert max(positions) <= Position(store.era, store.revision)
    settle(clock, store, entries, rng)


def late_watch(entry, store, rng):
    """Return a watch that is answered now, from what the entry knew before a return."""
    table, known = entry.servers, entry.servers.position
    if known is None:
        return None
    if rng.random() < 0.5:
        entry.ask()
    answer = store.watch(False, known.revision)
    return None if answer is None else (table, known, answer)


def settle(clock, store, entries, rng):
    """Have all entries meet the store or one that has, and the time of holds end."""
    first, *others = rng.sample(entries, len(entries))
    first.ask()
    for entry in others:
        entry.hear(first)
        if entry.servers.position != first.servers.position:
            entry.ask()
    clock.seconds += LONG_SECONDS
    for entry in entries:
        entry.look_again()
        entry.ask()
        servers = {k: v for k, v in store.values.items() if not k.startswith(ORDERS)}
        assert entry.servers.values == servers, (entry.servers.values, servers)
        orders = {k for k in store.values if k.startswith(ORDERS)}
        assert set(entry.operators.values) == orders
