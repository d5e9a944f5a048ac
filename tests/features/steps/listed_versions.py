"""Steps on the versions that entries have listed, with a set clock."""

import json
import signal
import time

from behave import fixture, given, then, use_fixture, when

from boragestream.policy.stream_origins import OriginUnknown
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
    context.clock, known = SetClock(), {}
    write_servers(context.store, listed)
    context.entries = [
        ListingEntry(number + 1, context.clock, context.store, known)
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
