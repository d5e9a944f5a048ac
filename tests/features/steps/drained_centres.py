"""Steps on drained data centres, simulated without processes."""

import random

import msgspec
from behave import given, then, use_fixture, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.daemon.operator_values import OperatorValues
from boragestream.document.calls import Piece, PieceFault
from boragestream.document.routes import PieceLimits
from boragestream.entry.published_relay import PublishedOffer, PublishedRelay
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.publication import Change, Changes, Relayed, Snapshot
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.piece_batches import PieceBatches
from tests.standins.clock import SetClock
from tests.standins.following import DRAINED
from tests.standins.log_lines import log_lines
from tests.standins.queue_parts import queue_parts

CHECKS = settings(max_examples=200, derandomize=True, deadline=None, database=None)
SERVICE = "service"
DRAINED_EVENT = 2106
PREFIX = "op/evacuate/"
LIMITS = PieceLimits(1, 10, 0.2, 0.01, 1000.0, 4.0)


@when("nothing happens")
def step(context):
    pass


@given('"{name}" is ordered to be drained')
@when('"{name}" is ordered to be drained')
def step(context, name):
    context.site.publish(f"{DRAINED}{name}", b"{}")


@when('"{name}" is taken back')
def step(context, name):
    context.site.publish(f"{DRAINED}{name}", None)


@when('the order moves from "{name}" to "{other}"')
def step(context, name, other):
    context.site.publish(f"{DRAINED}{name}", None)
    context.site.publish(f"{DRAINED}{other}", b"{}")


@when('the history is dropped right after "{name}" was drained')
def step(context, name):
    context.site.publish(f"{DRAINED}{name}", b"{}")
    context.site.store.forget()


@then("it is drained everywhere within {seconds:g} s")
@then("it is drained nowhere within {seconds:g} s")
@then('just "yard" is drained everywhere within {seconds:g} s')
def step(context, seconds):
    site = context.site
    took = site.run(seconds, site.drained_everywhere)
    assert site.drained_everywhere(), took


@then("whatever order tables of operators meet in, none drains what the store did not")
def step(context):
    moves = st.lists(
        st.sampled_from(["drain", "restore", "own", "word", "stale", "version"]),
        max_size=40,
    )

    @CHECKS
    @any_of(moves, st.integers())
    def check(steps, seed):
        mixed_tables(steps, random.Random(seed))

    check()


def mixed_tables(steps, rng):
    """Update three tables from a store and one another; compare them with the store."""
    clock = SetClock()
    tables = [OperatorTable(clock.now, PREFIX) for _ in range(3)]
    truth = {1: frozenset()}
    history = []
    for table in tables:
        table.apply_answer(Snapshot(1, {"op/config": b"1"}))
    old = tables[0].drained()
    for move in steps:
        newest = max(truth)
        table, other = rng.sample(tables, 2)
        if move in ("drain", "restore", "version"):
            key = f"{PREFIX}{rng.choice('abc')}" if move != "version" else "op/config"
            value = None if move == "restore" else b"{}"
            drained = set(truth[newest])
            if move == "drain":
                drained.add(key)
            elif move == "restore":
                drained.discard(key)
            truth[newest + 1] = frozenset(drained)
            history.append(Change(key, newest + 1, value))
        elif move == "own":
            after = table.revision
            changes = tuple(c for c in history if c.revision > after)
            table.apply_answer(Changes(newest, changes))
        elif move == "word":
            relay(table, other.drained(), other.configuration_revision)
        else:
            relay(table, old, 0)
            old = other.drained()
        for one in tables:
            revision, keys = one.drained()
            assert frozenset(keys) == truth[revision], (move, keys)
            assert one.revision <= revision


def relay(table, drained, configuration_revision):
    """Update a table with the drained data centres that another entry relays."""
    revision, keys = drained
    changes = tuple(Change(key, revision, b"") for key in keys)
    table.apply_relayed(Relayed(None, revision, changes, {}))
    table.advance_configuration_revision(configuration_revision)


@given('servers in "{one}" and "{other}"')
def step(context, one, other):
    use_fixture(log_lines, context)
    clock = SetClock()
    context.clock = clock
    context.servers = ServerTable()
    context.servers.take_list(
        Server(f"s-{n}", SERVICE, f"10.0.0.{n}:80", centre, f"{n}")
        for n, centre in enumerate((one, other))
    )
    context.cold = ColdServers(
        "e", lambda service: None, lambda server: ["e"], lambda: True, clock
    )
    context.usable_at_decoding = None
    context.batches = None
    context.operators = OperatorValues(
        lambda text: record_usable(context),
        context.servers,
        context.cold,
        lambda: context.batches and context.batches.update_queues(),
        lambda: 0.25,
    )


@given('servers in "{one}" and "{other}", and an entry that knows no orders yet')
def step(context, one, other):
    context.execute_steps(f'given servers in "{one}" and "{other}"')
    listed = context.servers.all
    context.servers = ServerTable(awaits_orders=True)
    context.servers.take_list(listed)
    context.operators = OperatorValues(
        lambda text: None, context.servers, context.cold, lambda: None, lambda: 0.0
    )


@when('the first word of orders comes from {source}, and drains "{centre}"')
def step(context, source, centre):
    take_first_orders(context, source, [f"{PREFIX}{centre}"])


@when('the first word of orders comes from {source}, and drains ""')
def step(context, source):
    take_first_orders(context, source, [])


def take_first_orders(context, source, keys):
    """Put the first drain orders into a table, and its values into the entry."""
    table = OperatorTable(context.clock.now, PREFIX)
    if source == "the platform":
        answer = Snapshot(7, {"op/config": b"{}", **dict.fromkeys(keys, b"{}")})
        assert table.apply_answer(answer)
    else:
        changes = tuple(Change(key, 7, b"") for key in keys)
        assert table.apply_relayed(Relayed(None, 7, changes, {}))
    context.operators.take(table.values)


@then("no line tells of drained data centres")
def step(context):
    assert not context.lines.of(DRAINED_EVENT)


def record_usable(context):
    """Record which servers are usable when a configuration is decoded."""
    context.usable_at_decoding = usable_centres(context)


def usable_centres(context):
    """Return the data centres of the usable servers."""
    return {server.data_centre for server in context.servers.live(SERVICE)}


@when('"{name}" is drained, and with it a configuration comes that takes long')
def step(context, name):
    context.operators.take({f"{PREFIX}{name}": b"{}", "op/config": b"{}"})


@then('only servers in "{centre}" were to be used when the configuration was decoded')
def step(context, centre):
    assert context.usable_at_decoding == {centre}


@when('the keys "{keys}" are published')
def step(context, keys):
    context.operators.take({key: b"?" for key in keys.split(",")})


@when('the keys "" are published')
def step(context):
    context.operators.take({})


@then('servers in "{centres}" are to be used')
def step(context, centres):
    assert usable_centres(context) == set(centres.split(","))


@then('servers in "" are to be used')
def step(context):
    assert not usable_centres(context)


@then(
    'one line tells of drained "{drained}", without servers "{unknown}", '
    "malformed {malformed:d}"
)
def step(context, drained, unknown, malformed):
    check_line(context, drained.split(","), unknown.split(","), malformed)


@then(
    'one line tells of drained "{drained}", without servers "", malformed {malformed:d}'
)
def step(context, drained, malformed):
    check_line(context, drained.split(","), [], malformed)


@then('one line tells of drained "", without servers "", malformed {malformed:d}')
def step(context, malformed):
    check_line(context, [], [], malformed)


def check_line(context, drained, unknown, malformed):
    """Check the fields of the single log line on drained data centres."""
    (line,) = context.lines.of(DRAINED_EVENT)
    assert line["drained"] == drained and line["added"] == drained, line
    assert line["without_servers"] == unknown, line
    assert len(line["malformed"]) == malformed, line
    assert line["list_age_ms"] == 250


@when('the server in "{centre}" says that it is leaving')
def step(context, centre):
    server = next(s for s in context.servers.all if s.data_centre == centre)
    context.servers.note_leaving(server)


class Unanswered:
    """Calls of stage servers that are never answered."""

    def submit(self, work, *arguments):
        """Accept a call and do nothing."""

    def check_overdue_calls(self):
        """Look for overdue calls; there are none."""


@given(
    'servers in "{one}" and "{other}", of which the owner of a queue has one order of '
    "{pieces:d} pieces"
)
def step(context, one, other, pieces):
    context.execute_steps(f'given servers in "{one}" and "{other}"')
    context.done = {}
    parts = queue_parts(context.clock, context.servers, context.cold, LIMITS)
    context.batches = PieceBatches(parts, context.done.__setitem__)
    context.batches._calls = Unanswered()
    assert context.batches.submit(order("first", pieces), 9.0, 9.0) is None


def order(name, pieces, invested=False):
    """Return an order of some pieces."""
    made = tuple(Piece(name, 0, n, "key", ()) for n in range(pieces))
    return PieceOrder(f"{name}/0", SERVICE, made, 1.0, 0, invested)


@then("the order is given up at once for want of a server")
def step(context):
    results = context.done["first/0"]
    assert {result.fault for _, result in results} == {PieceFault.NO_SERVER}


@then("a further order is refused at once, also one in which work was invested")
def step(context):
    for invested in (False, True):
        wait = context.batches.submit(order(f"{invested}", 1, invested), 9.0, 9.0)
        assert wait == float("inf"), wait


def expected_wait(context):
    """Return the wait reported for an order that can't be met."""
    return context.batches.submit(order(f"o-{random.random()}", 1), 9.5, 9.5)


@then("an order would wait for some time")
def step(context):
    context.wait = expected_wait(context)
    assert context.wait > 0


@then("an order would wait for twice that time")
def step(context):
    assert abs(expected_wait(context) - 2 * context.wait) < 1e-9


class Ages:
    """Records the ages that the relay passes on."""

    def __init__(self):
        """Create the recorder without any ages."""
        self.taken = []
        self.last_answered_at = float("-inf")

    def note_relayed_age(self, age, trouble=None):
        """Record an age."""
        self.taken.append(age)


@given("an entry that follows drained data centres up to revision {revision:d}")
def step(context, revision):
    clock = SetClock()
    servers = PublishedTable(clock.now)
    servers.apply_answer(Snapshot(20, {}))
    servers.note_applied(servers.state)
    operators = OperatorTable(clock.now, PREFIX)
    operators.apply_answer(Snapshot(revision, {"op/config": b"{}"}))
    operators.note_applied(operators.state)
    context.operators = operators
    context.following, context.confirming = Ages(), Ages()

    class InForce:
        version, digest = 3, ""

    context.relay = PublishedRelay(
        context.following,
        context.confirming,
        servers,
        operators,
        InForce,
        lambda relayed: None,
        operators.apply_relayed,
        None,
        None,
        None,
        clock,
    )


@when("another entry tells what it knows up to revision {revision:d}, {release}")
def step(context, revision, release):
    drained = (revision, ("op/evacuate/hall",)) if "like" in release else (0, ())
    word = PublishedOffer(100, 60_000, 20, revision, 3, 100, *drained)
    context.relay.take("other", msgspec.msgpack.encode(word))
    context.revision = revision


@then("its age is {taken}")
def step(context, taken):
    is_taken = taken == "taken"
    assert bool(context.following.taken) is is_taken
    assert bool(context.confirming.taken) is is_taken
    expected = context.revision if is_taken else 7
    assert context.operators.revision == expected
