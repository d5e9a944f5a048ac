"""Steps on the versions that entries have listed, with a set clock."""

import json
import signal
import time

import msgspec
from behave import fixture, given, then, use_fixture, when

from boragestream.policy.stream_origins import OriginBasis, OriginUnknown
from boragestream.policy.version_history import VersionHistory
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.listing_entries import SERVICE, ListingEntry, write_servers
from tests.standins.route_site import ADDRESS, configuration
from tests.standins.route_store import RouteStore
from tests.standins.stream_caller import Tries, read_stream, run_all

PART = 3
# The others have dropped an entry that stands still from their list after this time.
DROPPED_SECONDS = 10.0
LISTED_SECONDS = 0.6
# An entry that goes on has confirmed its list within this time.
CONFIRMED_SECONDS = 2.5
STOPPED = "entry-0"
SHORT_GAP_SECONDS = 1.0


@fixture
def route_store(context):
    """Make a store with a configuration."""
    store = RouteStore(ADDRESS)
    store.put("op/config", json.dumps(configuration()).encode())
    yield store
    store.close()


def settle(context):
    """Have all entries ask the store."""
    for entry in context.entries:
        entry.ask()


@given('{count:d} entries that have listed "{listed}" for {seconds:d} s')
def step(context, count, listed, seconds):
    context.store = use_fixture(route_store, context)
    context.clock, context.known = SetClock(), {}
    write_servers(context.store, listed)
    context.entries = [
        ListingEntry(number + 1, context.clock, context.store, context.known)
        for number in range(count)
    ]
    settle(context)
    context.clock.seconds += seconds
    settle(context)
    assert context.entries[0].find().origin.version == "v1"


@when('"{written}" is published and reaches entry 1 in one answer')
def step(context, written):
    write_servers(context.store, written)
    context.entries[0].ask()


@when('"{written}" is published and reaches entry 1 in one relayed message')
def step(context, written):
    first, second = context.entries
    write_servers(context.store, written)
    second.ask()
    first.hear(second)


@when(
    '"{written}" is published and reaches entry 1 '
    "in one relayed message after a restore"
)
def step(context, written):
    first, second = context.entries
    context.store.return_from(context.store.copy())
    second.ask()
    write_servers(context.store, written)
    second.ask()
    first.hear(second)


@then('entry 1 lists "{version}" alone')
def step(context, version):
    first = context.entries[0]
    assert first.publications[1].table.revision == context.store.revision
    listed = {server.version for server in first.parts.servers.all}
    assert listed == {version}, listed


@then("a stream that nobody knows is refused at entry 1")
def step(context):
    found = context.entries[0].find()
    assert isinstance(found, OriginUnknown), found


@then(
    "entry 1 has listed several versions for {during:d} more seconds, "
    "but not after {after:d}"
)
def step(context, during, after):
    history = context.entries[0].history
    context.clock.seconds += during
    assert history.has_several(SERVICE)
    context.clock.seconds += after - during
    assert not history.has_several(SERVICE)


@when("entry 1 takes all changes since the first once more")
def step(context):
    first = context.entries[0]
    assert first.accept(first.publications[1], 0)


@then('a stream that nobody knows goes on at "{version}" at entry 1')
def step(context, version):
    found = context.entries[0].find()
    assert not isinstance(found, OriginUnknown), found
    assert found.origin.version == version, found


@then("entry 1 has sent the records of the service to their holders once")
def step(context):
    assert context.entries[0].sent == [SERVICE], context.entries[0].sent


def receive_list(context):
    """Have entry 1 receive the list of a store that has dropped its history."""
    context.store.drop_history()
    context.entries[0].ask()


def receive_restored(context):
    """Have entry 1 receive the list of a store whose copy lacks the last changes."""
    context.store.return_from(context.copy)
    context.entries[0].ask()


def receive_from_new(context):
    """Have entry 1 receive the list of a peer that lacks its position."""
    new = ListingEntry(3, context.clock, context.store, context.known)
    new.ask()
    context.entries[0].hear(new)


def receive_after_list(context):
    """Have entry 1 receive the changes of a peer that has received a list."""
    context.store.drop_history()
    receive_changes(context)


def receive_changes(context):
    """Have entry 1 receive the changes of a peer."""
    first, second = context.entries
    second.ask()
    first.hear(second)


def receive_after_short_gap(context):
    """Have entry 1 receive the changes of a peer that received a list in time."""
    context.entries[1].ask()
    context.clock.seconds += SHORT_GAP_SECONDS
    write_servers(context.store, "a=v1")
    receive_after_list(context)


def receive_earlier(context):
    """Have entry 1 receive changes that don't say whether some are missing."""
    first, second = context.entries
    second.relay = EarlierRelay(second.relay)
    second.ask()
    # The whole history would prove that one version has served.
    context.store.drop_history()
    first.hear(second)


class EarlierRelay:
    """The relay of an entry of an earlier release."""

    def __init__(self, relay):
        """Take the relay of this release."""
        self.relay, self.offer = relay, relay.offer

    def answer(self, envelope, message):
        """Answer without the fields of this release."""
        reply = self.relay.answer(envelope, message)
        if not hasattr(reply, "unbroken"):
            return reply
        return msgspec.structs.replace(reply, unbroken=False)


LISTS = {
    "the list of a store without history": receive_list,
    "the list of a restored store": receive_restored,
    "the list of a peer that started later": receive_from_new,
    "the changes of a peer that received a list": receive_after_list,
    "the changes of a peer without a gap": receive_changes,
    "the changes of a peer with a short gap": receive_after_short_gap,
    "the changes of a peer of an earlier release": receive_earlier,
}


@when('"{written}" is published, and entry 1 receives {received} after {seconds:g} s')
def step(context, written, received, seconds):
    context.copy = context.store.copy()
    write_servers(context.store, written)
    context.clock.seconds += seconds
    LISTS[received](context)


@then("the history of entry 1 is complete after {seconds:d} s and not before")
def step(context, seconds):
    history = context.entries[0].history
    for _ in range(seconds):
        assert not history.complete
        context.clock.seconds += 1
        settle(context)
    assert history.complete


@when("the store drops its history every second for {seconds:d} s, each after a change")
def step(context, seconds):
    for _ in range(seconds):
        write_servers(context.store, "a=v1")
        context.store.drop_history()
        context.clock.seconds += 1
        first, second = context.entries
        second.ask()
        first.hear(second)


@then("both entries have followed the list for {seconds:d} s")
def step(context, seconds):
    followed = [entry.history.followed_seconds for entry in context.entries]
    assert followed == [seconds] * 2, followed


@when("the past is read at entry 1")
def step(context):
    found = context.entries[0].find()
    assert found.basis is OriginBasis.STORE_HISTORY, found


@given("a history of versions that has followed lists for {seconds:d} s")
def step(context, seconds):
    context.clock = SetClock()
    context.history = VersionHistory(context.clock)
    context.history.take_list([])
    context.clock.seconds += seconds


@when("a past that was requested {seconds:d} s before a gap arrives after it")
def step(context, seconds):
    requested_at = context.clock.now()
    context.clock.seconds += seconds
    context.history.note_gap()
    context.history.add_past([], requested_at)


@then("the past of the history is not known")
def step(context):
    assert not context.history.past_known


@when("the entries have followed the list for {seconds:d} s")
def step(context, seconds):
    time.sleep(seconds)


@when(
    "entry-0 stands still while {count:d} streams begin "
    'beside {added:d} engines of "{version}" that leave'
)
def step(context, count, added, version):
    site = context.site
    others = [name for name in site.entries if name != STOPPED]
    site.signal(STOPPED, signal.SIGSTOP)
    for name in others:
        wait_until(
            lambda n=name: len(site.directory(n)) == len(others),
            DROPPED_SECONDS,
            f"{name} drops {STOPPED}",
        )
    # Answers its open watch, so that the next answer holds all further changes.
    site.list(site.of_kind("engine")[0])
    new = [site.add_server("engine", version=version) for _ in range(added)]
    time.sleep(LISTED_SECONDS)
    run_all(
        context,
        count,
        lambda n: read_stream(site, Tries(), others[n % 2], "/chat/ok", PART),
    )
    for server in new:
        site.store.put(f"servers/{server.identity}", None)


@when("the other entries are killed, and callers take up the streams at entry-0")
def step(context):
    site, begun = context.site, context.tries
    for name in site.entries:
        if name != STOPPED:
            site.kill(name)
    site.signal(STOPPED, signal.SIGCONT)
    time.sleep(CONFIRMED_SECONDS)
    run_all(
        context,
        len(begun),
        lambda n: read_stream(site, begun[n], STOPPED, "/chat/ok"),
    )


@then('some of them began at "{version}"')
def step(context, version):
    began = [tries.events[0][1] for tries in context.tries if tries.events]
    assert version in began and len(set(began)) > 1, began
