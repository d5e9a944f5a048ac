"""Steps on published values that an entry knows, but does not use yet."""

import json
import threading
from concurrent.futures import ThreadPoolExecutor, wait
from dataclasses import replace

from behave import fixture, given, then, use_fixture, when

from tests.standins.clock import SetClock
from tests.standins.listing_entries import ListingEntry, write_servers
from tests.standins.route_site import ADDRESS, configuration
from tests.standins.route_store import RouteStore

# More than any wait of the code takes beside other processes.
LONG_SECONDS = 60.0
# How long a thread that should wait is watched.
WATCHED_SECONDS = 0.3
AGE_SECONDS = 30.0
OPERATORS, SERVERS = 0, 1


class Decoding:
    """Holds up the thread that puts published values in use."""

    def __init__(self, take):
        """Wrap the function that takes the values."""
        self._take = take
        self.begun, self.ends = threading.Event(), threading.Event()

    def __call__(self, values):
        """Take the values once they may be decoded."""
        self.begun.set()
        assert self.ends.wait(LONG_SECONDS)
        self._take(values)


@fixture
def store_and_threads(context):
    """Make a store, and threads that end with the scenario."""
    context.store = RouteStore(ADDRESS)
    context.decodings = []
    with ThreadPoolExecutor(4) as context.threads:
        yield
        for decoding in context.decodings:
            decoding.ends.set()
    context.store.close()


def publish(context, version):
    """Publish a configuration."""
    context.store.put("op/config", json.dumps(configuration(version)).encode())


def hold_up(context, entry, which):
    """Hold up the decoding of an entry's published values; return the publication."""
    publications = list(entry.publications)
    decoding = Decoding(publications[which].take)
    context.decodings.append(decoding)
    publications[which] = replace(publications[which], take=decoding)
    entry.publications = tuple(publications)
    return publications[which]


def begin(context, work):
    """Run something in a thread until it decodes."""
    begun = context.threads.submit(work)
    assert context.decodings[-1].begun.wait(LONG_SECONDS)
    return begun


@given("{count:d} entries that use version 1 of the configuration")
def step(context, count):
    use_fixture(store_and_threads, context)
    context.clock, known = SetClock(), {}
    publish(context, 1)
    write_servers(context.store, "a=v1")
    context.entries = [
        ListingEntry(number + 1, context.clock, context.store, known)
        for number in range(count)
    ]
    for entry in context.entries:
        entry.ask()
        assert entry.parts.routes.current.version == 1


@when("version 2 is published, and entry 1 is lost while it decodes it")
def step(context):
    first, second = context.entries
    hold_up(context, first, OPERATORS)
    publish(context, 2)
    begin(context, first.ask)
    second.hear(first)


@when("version 2 takes effect at entry 1 between two reads for a message")
def step(context):
    first, second = context.entries
    publish(context, 2)
    in_force = first.relay._in_force

    def read_and_apply():
        version = in_force()
        first.ask()
        return version

    first.relay._in_force = read_and_apply
    second.hear(first)


@when("entry 2 asks the store")
def step(context):
    context.entries[1].ask()


@then("entry 2 uses version 2")
def step(context):
    second = context.entries[1]
    assert second.parts.routes.current.version == 2, second.parts.routes.current


@when("new {values} are published, and entry 1 reads again while it decodes them")
def step(context, values):
    first = context.entries[0]
    which = OPERATORS if values == "a version" else SERVERS
    publication = hold_up(context, first, which)
    if which == OPERATORS:
        publish(context, 2)
    else:
        write_servers(context.store, "b=v1")
    begin(context, first.ask)
    context.read = context.threads.submit(publication.refresh, LONG_SECONDS)


@then("the read confirms nothing before entry 1 uses them, and does so then")
def step(context):
    wait([context.read], WATCHED_SECONDS)
    assert not context.read.done() or context.read.result() is not None
    context.decodings[-1].ends.set()
    assert context.read.result(LONG_SECONDS) is None


@when("a server is listed, and entry 2 hears of it again while it decodes the list")
def step(context):
    first, second = context.entries
    publication = hold_up(context, second, SERVERS)
    second.relay._take_servers = publication.take_relayed
    context.clock.seconds += AGE_SECONDS
    write_servers(context.store, "b=v1")
    first.ask()
    begin(context, lambda: second.hear(first))
    context.read = context.threads.submit(second.hear, first)


@then("entry 2 counts its list as confirmed no sooner")
def step(context):
    confirming = context.entries[1].parts.publications.confirming
    wait([context.read], WATCHED_SECONDS)
    assert confirming.age() >= AGE_SECONDS, confirming.age()
    context.decodings[-1].ends.set()
    context.read.result(LONG_SECONDS)
