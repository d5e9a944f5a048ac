"""Steps on the decisions about membership."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.base.clock import SystemClock
from boragestream.policy.membership import (
    FINAL_STATES,
    Member,
    MemberState,
    merge,
    prevailing_record,
)
from boragestream.policy.peers import EntryTable, ListedEntry
from boragestream.policy.watchers import select_watchers

EXAMPLES = 300
NAMES = ("entry-1", "entry-2", "entry-3")

members = st.builds(
    Member,
    name=st.sampled_from(NAMES),
    incarnation=st.sampled_from("abc"),
    generation=st.integers(1, 3),
    counter=st.integers(0, 2),
    state=st.sampled_from(MemberState),
)
tables = st.lists(members, max_size=6).map(
    lambda listed: merge({}, {member.name: member for member in listed})
)
# What happens at one of three entries, and which other entry it concerns.
events = st.tuples(
    st.sampled_from(("deliver", "suspect", "replace", "leave")),
    st.sampled_from(NAMES),
    st.sampled_from(NAMES),
    st.text("abcdef", min_size=3, max_size=6),
)


def listed(name, leaving=False):
    """Return an entry of a list."""
    return ListedEntry(name, "127.0.0.1:1", "127.0.0.1:2", "hall", leaving)


def new_table(name, incarnation):
    """Return the table of an entry that has read the list."""
    table = EntryTable(name, incarnation, SystemClock())
    table.apply_list([listed(n) for n in NAMES])
    return table


def deliver(source, target):
    """Give one table every record of another."""
    for member in source.table.records.values():
        target.merge(member)


@then("merging arbitrary records is commutative, associative and idempotent")
def step(context):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @for_all(tables, tables, tables)
    def check(a, b, c):
        assert merge(a, b) == merge(b, a)
        assert merge(merge(a, b), c) == merge(a, merge(b, c))
        assert merge(a, a) == a
        assert merge(merge(a, b), b) == merge(a, b)
        for name in a.keys() & b.keys():
            assert is_sticky(a[name], b[name])

    check()


def is_sticky(one, other):
    """Return whether "leaving" of one incarnation survives another word of it."""
    lives = {(m.generation, m.incarnation) for m in (one, other)}
    final = any(m.state in FINAL_STATES for m in (one, other))
    return (
        len(lives) > 1
        or not final
        or prevailing_record(one, other).state in FINAL_STATES
    )


@then(
    "after arbitrary lives, suspicions and deliveries all tables agree with the running"
)
def step(context):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @for_all(st.lists(events, max_size=25))
    def check(happened):
        running = {name: new_table(name, f"first-{name}") for name in NAMES}
        for number, (event, name, other, incarnation) in enumerate(happened):
            happen(running, event, name, other, f"{incarnation}-{number}")
        for _ in range(2 * len(NAMES)):
            for name in NAMES:
                for other in NAMES:
                    deliver(running[name], running[other])
        own = {name: table.own for name, table in running.items()}
        for table in running.values():
            assert table.table.records == own, (happened, own)
        digests = {table.table.digests for table in running.values()}
        assert len(digests) == 1

    check()


def happen(running, event, name, other, incarnation):
    """Let one event happen."""
    if event == "deliver":
        deliver(running[name], running[other])
    elif event == "suspect" and name != other:
        running[name].note_unreachable(other)
    elif event == "replace":
        running[name] = new_table(name, incarnation)
    elif event == "leave":
        running[name].announce_state(MemberState.LEAVING)


@given('a table that knows "{name}" in incarnation "{incarnation}"')
def step(context, name, incarnation):
    context.entry_table = new_table("entry-1", "own")
    context.known = Member(name, incarnation)
    context.entry_table.merge(context.known)


@when('the list says that "{name}" is "{states}"')
def step(context, name, states):
    entries = [listed(name, state == "leaving") for state in states.split(", ")]
    context.entry_table.apply_list(entries)


@when(
    'the table hears of "{name}" in generation {generation:d} '
    'and incarnation "{incarnation}"'
)
def step(context, name, generation, incarnation):
    successor = replace(context.known, generation=generation, incarnation=incarnation)
    context.entry_table.merge(successor)


@when('"{name}" does not answer')
def step(context, name):
    context.confirm = context.entry_table.note_unanswered(name)


@when('"{name}" does not answer another entry either')
def step(context, name):
    context.entry_table.note_unreachable(name)


@then("others are asked to probe it")
def step(context):
    assert context.confirm


@then('"{name}" is believed "{state}"')
def step(context, name, state):
    assert context.entry_table.state(name).name.lower() == state


@then(
    "of 3, 30 and 300 entries 2 watch, and a missing watcher is replaced by one other"
)
def step(context):
    for count in (3, 30, 300):
        names = {f"entry-{i}" for i in range(count)}
        chosen = select_watchers(names)
        assert len(chosen) == 2
        for missing in chosen:
            rest = select_watchers(names - {missing})
            assert len(rest) == 2
            assert rest > chosen - {missing}
