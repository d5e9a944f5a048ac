"""Steps about the owners of backend servers."""

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from boragestream.policy.ownership import (
    LEASE_SECONDS,
    WAIT_SECONDS,
    Candidate,
    Ownership,
    Standing,
    owner_of,
)

SERVER = ("engine-1", "here")
CENTRES = ("here", "there")
NAMES = ("entry-1", "entry-2", "entry-3")
STEP_SECONDS = 2
PROVE = settings(derandomize=True, deadline=None, max_examples=300)

candidates = st.lists(
    st.builds(Candidate, st.text("abc", min_size=1), st.sampled_from(CENTRES)),
    min_size=1,
    unique_by=lambda c: c.name,
)
# Each published list: the seconds since the one before, and the live entries.
published = st.lists(
    st.tuples(st.integers(1, 80), st.sets(st.sampled_from(NAMES))),
    min_size=1,
    max_size=8,
)
# Each read: whose, the seconds since its reader's last, how long it takes, and at
# which share of that time the platform looks at its list.
reads = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.integers(0, 10) | st.integers(0, 40),
        st.integers(0, 5) | st.integers(0, 40),
        st.floats(0, 1),
    ),
    min_size=20,
    max_size=60,
)


@then(
    "the order of the candidates changes no owner, who is in the server's data centre"
)
def step(context):
    @PROVE
    @drawn(candidates, st.randoms(use_true_random=False))
    def agrees(names, rng):
        owner = owner_of(*SERVER, names)
        shuffled = list(names)
        rng.shuffle(shuffled)
        assert owner_of(*SERVER, shuffled) == owner
        here = {c.name for c in names if c.data_centre == SERVER[1]}
        assert not here or owner in here

    agrees()


@then("taking one candidate out moves no server of the others")
def step(context):
    @PROVE
    @drawn(candidates, st.text("xyz", min_size=1))
    def stays(names, server):
        owner = owner_of(server, "here", names)
        for gone in names:
            left = [c for c in names if c != gone]
            if gone.name != owner:
                assert owner_of(server, "here", left) == owner

    stays()


REGULAR = [("entry-1", 10, 0, 0.0)]
# Each of these breaks a rule left out: waits count from the answer, leases from the
# question, and a list that was missed ends what was owned.
SLOW_ANSWER = (
    [(1, {"entry-1"}), (59, {"entry-2"})],
    [*REGULAR * 5, ("entry-1", 9, 0, 0.0), ("entry-2", 41, 19, 1.0)]
    + [("entry-2", 0, 0, 0.0), ("entry-2", 10, 0, 0.0)],
)
OLD_ANSWER = (
    [(1, {"entry-1"}), (40, {"entry-2"})],
    [*REGULAR * 3, ("entry-1", 9, 0, 0.0), ("entry-1", 1, 18, 0.0)]
    + [("entry-2", 41, 0, 0.0)]
    + [("entry-2", 10, 0, 0.0)] * 3,
)
MISSED_LIST = (
    [(1, {"entry-1"}), (60, {"entry-2"}), (18, {"entry-1"})],
    [*REGULAR * 6, ("entry-1", 19, 0, 0.0), ("entry-1", 10, 0, 0.0)]
    + [("entry-2", 61, 0, 0.0), ("entry-2", 17, 0, 0.0)],
)


def list_at(lists, time):
    """Return the index and entries of the list that is published at a time."""
    index, entries, at = 0, frozenset(), 0
    for number, (gap, names) in enumerate(lists, 1):
        at += gap
        if at <= time:
            index, entries = number, names
    return index, entries


def schedule(asked):
    """Return the reads by the time of their answers; each entry reads in turn."""
    last = dict.fromkeys(NAMES, 0)
    planned = []
    for name, gap, takes, share in asked:
        ask = last[name] + gap
        last[name] = ask + takes
        planned.append((ask + takes, ask, name, ask + takes * share))
    return sorted(planned)


@then("at no time two entries may order the same server")
def step(context):
    seen_owner = []

    @PROVE
    @drawn(published, reads)
    @example(*SLOW_ANSWER)
    @example(*OLD_ANSWER)
    @example(*MISSED_LIST)
    def alone(lists, asked):
        entries = {name: Ownership(name) for name in NAMES}
        planned = [*schedule(asked), (10_000, 0, "", 0)]
        time = 0
        for answered, ask, name, looked in planned:
            until = min(answered, time + 2 * int(LEASE_SECONDS))
            for now in (*range(time, until, STEP_SECONDS), answered):
                standings = [e.standing(SERVER[0], now) for e in entries.values()]
                assert standings.count(Standing.OWNER) <= 1
                seen_owner.append(Standing.OWNER in standings)
            time = answered
            if name:
                index, names = list_at(lists, looked)
                live = [Candidate(n, "here") for n in names]
                entries[name].confirm(index, live, [SERVER], ask, answered)

    alone()
    assert any(seen_owner), "the property never met an owner"


@given("an entry that has owned a server for long")
def step(context):
    context.entry = Ownership("entry-1")
    context.now = 0.0
    while context.now <= LEASE_SECONDS + WAIT_SECONDS:
        context.now += LEASE_SECONDS / 2
        confirm(context, 5)
    assert context.entry.standing(SERVER[0], context.now) is Standing.OWNER


def confirm(context, index, names=("entry-1",)):
    """Have the entry confirm a list."""
    live = [Candidate(name, "here") for name in names]
    context.entry.confirm(index, live, [SERVER], context.now, context.now)


@when("it wakes from a pause longer than its lease")
def step(context):
    context.now += LEASE_SECONDS


@when("it confirms the list that it knew")
def step(context):
    confirm(context, 5)


@when("an older list without the entry comes")
def step(context):
    confirm(context, 4, ("entry-2",))


@then("it may not order the server")
def step(context):
    assert context.entry.standing(SERVER[0], context.now) is Standing.EXPIRED


@then("it waits before it orders the server")
def step(context):
    assert context.entry.standing(SERVER[0], context.now) is Standing.WAITING


@then("it may still order the server")
def step(context):
    assert context.entry.standing(SERVER[0], context.now) is Standing.OWNER
