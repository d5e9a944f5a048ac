"""Steps on the confirmation that a server list is current."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor, wait

from behave import given, then, when

from boragestream.base.events import Event
from boragestream.daemon.list_confirmation import RETRY_SECONDS, ListConfirmation
from boragestream.daemon.publication import Publication
from boragestream.platform.reader import PlatformUnreachable
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.publication import (
    Change,
    Changes,
    HistoryGone,
    Position,
    Snapshot,
)
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.watching import StoreCallSchedule
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until

PREFIX = "servers/"
KEY, VALUE = "servers/new", b"{}"
UNREACHABLE = PlatformUnreachable("10.0.0.1:80", "timed out")
# More than any wait of the code takes beside other processes.
LONG_SECONDS = 60.0


class PositionedStore:
    """A store at one position that gives fixed answers."""

    def __init__(self):
        """Hold nothing, at the position that the list has."""
        self.position = Position(1, 5)
        self.changes = Changes(5, (), 1)
        self.values = {}

    def read_position(self, answer_seconds):
        """Return the position."""
        return self.position

    def watch(self, prefix, revision, wait_seconds, answer_seconds):
        """Return what has changed."""
        return self.changes

    def read(self, prefix):
        """Return all values."""
        return Snapshot(self.position.revision, self.values, self.position.era)


@given("a list at revision 5 of a store")
def step(context):
    clock, rng = SetClock(), random.Random(1)
    clock.seconds = 1000.0
    context.store = PositionedStore()
    following = StoreCallSchedule(
        clock, rng, {PREFIX: False}, 2.0, lambda: True, lambda: 1
    )
    context.publication = Publication(
        store=context.store,
        prefix=PREFIX,
        watch_seconds=28.0,
        table=PublishedTable(clock.now),
        following=following,
        confirming=ConfirmationSchedule(clock, rng, [PREFIX], 2.0, lambda: True),
        take=lambda values: None,
        on_change=lambda: None,
        before_answer=lambda: None,
        unreachable=Event.INSTANCES_UNREACHABLE,
        stopping=threading.Event(),
        clock=clock,
    )
    context.publication.table.apply_answer(Snapshot(5, {}, 1))


@when("nothing has changed")
def step(context):
    pass


@when("a key of another prefix has changed")
def step(context):
    context.store.position = Position(1, 6)
    context.store.changes = Changes(6, (), 1)


@when("a server was listed")
def step(context):
    list_server(context)


@when("a server was listed, and watches are deaf")
def step(context):
    list_server(context)
    context.store.changes = Changes(5, (), 1)


@when("a server was listed, and the history is gone")
def step(context):
    list_server(context)
    context.store.changes = HistoryGone()


@when("the store came back from a copy")
def step(context):
    list_server(context)
    context.store.position = Position(2, 4)
    context.store.changes = Changes(4, (), 2)


@when("the store gives no answer")
def step(context):
    context.store.position = UNREACHABLE


@when("a server was listed, and watches give no answer")
def step(context):
    list_server(context)
    context.store.changes = UNREACHABLE


def list_server(context):
    """Have the store list a server."""
    context.store.position = Position(1, 6)
    context.store.changes = Changes(6, (Change(KEY, 6, VALUE),), 1)
    context.store.values = {KEY: VALUE}


@then("the list is {state}")
def step(context, state):
    failure = context.publication.refresh(1.0)
    assert (failure is not None) == (state == "unconfirmed"), failure
    listed = KEY in context.publication.table.values
    assert listed == state.endswith("with the server"), context.publication.table


class HeldReads:
    """Reads of a list of which the first one ends when it is let go."""

    def __init__(self):
        """Hold the first read."""
        self.reads = 0
        self.released = threading.Event()

    def refresh(self, answer_seconds):
        """Read the list."""
        self.reads += 1
        self.released.wait()


@given("a store whose first read is under way")
def step(context):
    clock = SetClock()
    clock.seconds = 1000.0
    context.store = HeldReads()
    context.confirmation = ListConfirmation(context.store.refresh, clock, LONG_SECONDS)
    context.callers = ThreadPoolExecutor(30)
    context.first = context.callers.submit(context.confirmation.confirm)
    wait_until(lambda: context.store.reads == 1, what="the first read")


@when("{count:d} more ask, and the read ends")
def step(context, count):
    confirm, entered = context.confirmation.confirm, threading.Barrier(count + 1)

    def ask():
        entered.wait()
        return confirm()

    context.asked = [context.callers.submit(ask) for _ in range(count)]
    entered.wait()
    # All but one of them wait for a read that another one has requested.
    wait_until(lambda: context.confirmation._next is not None, what="the next read")
    context.store.released.set()


@then("all are confirmed, by {reads:d} reads")
def step(context, reads):
    wait([context.first, *context.asked])
    assert context.first.result()
    assert all(each.result() for each in context.asked)
    # Callers that came while the second read was under way get a third one.
    assert reads <= context.store.reads <= reads + 1, context.store.reads


class AwayStore:
    """A store that gives no answer while it is away."""

    def __init__(self):
        """Be away."""
        self.away = True
        self.reads = 0

    def refresh(self, answer_seconds):
        """Read the list."""
        self.reads += 1
        return UNREACHABLE if self.away else None


@given("a store that gives no answer")
def step(context):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.store = AwayStore()
    context.confirmation = ListConfirmation(
        context.store.refresh, context.clock, LONG_SECONDS
    )


@when("{count:d} ask, one after the other")
def step(context, count):
    context.answers = [context.confirmation.confirm() for _ in range(count)]


@then("none is confirmed, by {reads:d} read")
def step(context, reads):
    assert not any(context.answers)
    assert context.store.reads == reads, context.store.reads


@when("it answers again")
def step(context):
    context.store.away = False


@then("one that asks is confirmed at last, by {reads:d} reads")
def step(context, reads):
    confirm = context.confirmation.confirm
    assert not confirm()
    context.clock.seconds += RETRY_SECONDS
    assert not confirm()
    wait_until(lambda: not context.confirmation._failing, what="the store is back")
    assert confirm()
    assert context.store.reads == reads, context.store.reads
