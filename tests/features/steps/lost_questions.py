"""Steps on questions to the platform that are never answered."""

import itertools
import random
import threading
import time

from behave import fixture, given, then, use_fixture, when

from boragestream.base.clock import SystemClock
from boragestream.base.events import Event
from boragestream.base.route_settings import StoreSettings
from boragestream.daemon.publication import Publication
from boragestream.daemon.publications import AWAITED_KEYS, make_publications
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Sender
from boragestream.entry.peers import EntryPeers
from boragestream.platform.reader import PlatformUnreachable
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.lapses import MIN_OUTAGE_SECONDS
from boragestream.policy.publication import Changes, Snapshot
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.watching import StoreCallSchedule
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.log_lines import log_lines
from tests.standins.route_server import RouteServer
from tests.standins.route_site import ADDRESS, configuration
from tests.standins.route_store import LOST, MUTE, RouteStore

ENTRIES = ("entry-0", "entry-1", "entry-2")
# A lost question was believed for eleven seconds and more; the promise is two. The rest
# is for machines that do much beside it.
SOON_SECONDS = 8.0
# As many requests in a row that do not reach a server.
UNREACHED = 30
INSTANCES = "/v1/instances"
# An entry that has just started asks more often.
SETTLED_SECONDS = 3.0
# How often the entry looks whether to make sure, in simulated time.
STEP_SECONDS = 0.1
# Servers whose entries lapsed publish themselves again so soon after the silence.
LISTED_AGAIN_SECONDS = 0.5


def asked_anew(store, before, count):
    """Wait until so many questions came since then; all of them are lost."""
    wait_until(lambda: store.lost >= before + count, what="lost questions")
    store.down = None


@given("every entry has asked about the servers anew, and all these questions are lost")
def step(context):
    site = context.site
    store = site.store
    site.wait(SETTLED_SECONDS)
    store.down = LOST
    before = store.lost
    other = RouteServer(ADDRESS, "plain", "plain", "hall-a", set())
    site.servers.append(other)
    site.list(other)
    asked_anew(store, before, len(ENTRIES))


@given("every entry has asked for the configuration anew, and its questions are lost")
def step(context):
    store = context.site.store
    context.site.wait(SETTLED_SECONDS)
    store.down = LOST
    before = store.lost
    context.site.publish(configuration(2))
    asked_anew(store, before, len(ENTRIES))


@then("requests to all entries soon do not reach it any more")
def step(context):
    until = time.monotonic() + SOON_SECONDS
    unreached = 0
    for name in itertools.cycle(ENTRIES):
        answer = context.site.call("/safe/ok", "GET", None, name)
        reached = context.gone.runs[answer.request_id] > 0
        unreached = 0 if reached else unreached + 1
        if unreached == UNREACHED:
            return
        assert not reached or time.monotonic() < until, name


@then('all entries soon serve "{path}"')
def step(context, path):
    for name in ENTRIES:
        wait_until(
            lambda n=name: context.site.call(path, "GET", None, n).status == 200,
            SOON_SECONDS,
            f"{name} serves {path}",
        )


def statuses(site):
    """Return what one request to each entry is told."""
    return [site.call("/safe/ok", "GET", None, name).status for name in ENTRIES]


@given("the store says nothing, and every entry that is in use has found out")
def step(context):
    site = context.site
    site.wait(SETTLED_SECONDS)
    site.store.down = MUTE

    def found_out():
        statuses(site)
        logs = [site.log(name) for name in ENTRIES]
        return all("configuration_unreachable" in log for log in logs)

    wait_until(found_out, what="all entries know that the store is away")
    # Servers lapse in outages that last longer than their leases only.
    site.wait(MIN_OUTAGE_SECONDS)


@when("the entries of all plain servers lapse and come back after the silence")
def step(context):
    site = context.site
    plain = site.of_kind("plain")
    for server in plain:
        site.store.put(f"servers/{server.identity}", None)
    site.store.down = None
    context.statuses = []
    until = time.monotonic() + LISTED_AGAIN_SECONDS
    while time.monotonic() < until:
        context.statuses += statuses(site)
    for server in plain:
        site.list(server)
    until = time.monotonic() + SETTLED_SECONDS
    while time.monotonic() < until:
        context.statuses += statuses(site)


@then("no request was refused meanwhile")
def step(context):
    assert set(context.statuses) == {200}, context.statuses


class SometimesAway:
    """A store that gives no answer while it is away."""

    def __init__(self):
        """Be there."""
        self.away = False

    def read(self, prefix):
        """Read what is published: nothing."""
        return Snapshot(1, {})

    def watch(self, prefix, revision, wait_seconds, answer_seconds):
        """Answer that nothing has changed, or fail."""
        if self.away:
            return PlatformUnreachable("10.0.0.1:80", "timed out")
        return Changes(revision, ())


def make_sure(context, seconds):
    """Let time pass in which the entry makes sure of what it knows."""
    until = context.clock.seconds + seconds
    while context.clock.seconds < until:
        context.clock.seconds += STEP_SECONDS
        context.confirming.note_use()
        if context.publications[0].confirm():
            context.publications[1].confirm()


@given("an entry that has just been answered about the configuration, not the servers")
def step(context):
    use_fixture(log_lines, context)
    clock, rng = SetClock(), random.Random(1)
    context.clock, context.store = clock, SometimesAway()
    prefixes = ("configuration", "servers")
    following = StoreCallSchedule(
        clock, rng, dict.fromkeys(prefixes, False), 2.0, lambda: True, lambda: 1
    )
    context.confirming = ConfirmationSchedule(clock, rng, prefixes, 2.0, lambda: True)
    events = (Event.CONFIGURATION_UNREACHABLE, Event.INSTANCES_UNREACHABLE)
    context.publications = [
        Publication(
            store=context.store,
            prefix=prefix,
            watch_seconds=28.0,
            table=PublishedTable(clock.now),
            following=following,
            confirming=context.confirming,
            take=lambda values: None,
            on_change=lambda: None,
            before_answer=lambda: None,
            unreachable=event,
            stopping=threading.Event(),
            clock=clock,
        )
        for prefix, event in zip(prefixes, events, strict=True)
    ]
    for publication in context.publications:
        publication.table.apply_answer(Snapshot(1, {}))
        # An answer, and a watch behind it that waits.
        assert following.should_call(publication.prefix)
        following.note_answer(publication.prefix)
    clock.seconds += SETTLED_SECONDS
    for publication in context.publications:
        assert following.should_call(publication.prefix)
    context.confirming.note_answer("configuration", clock.now() + 0.4)
    context.confirming.note_answer("servers", clock.now())


@when("the store gives no answer to what the entry asks to make sure")
def step(context):
    context.store.away = True
    make_sure(context, 6.0)


@then("both the servers and the configuration are logged as out of reach, once each")
def step(context):
    names = [line["name"] for line in context.lines.told]
    assert names == ["instances_unreachable", "configuration_unreachable"], names
    context.lines.told.clear()


@when("the store answers again")
def step(context):
    context.store.away = False
    make_sure(context, 6.0)


@then("both are logged as regained, once each")
def step(context):
    regained = [line["prefix"] for line in context.lines.told]
    assert sorted(regained) == ["configuration", "servers"], context.lines.told


@given("every entry has asked for the instance list anew, and these questions are lost")
def step(context):
    fleet = context.fleet
    fleet.platform_mode(lost=[INSTANCES])
    before = fleet.platform_calls(INSTANCES)
    fleet.publish_instances()
    wait_until(
        lambda: fleet.platform_calls(INSTANCES) >= before + len(fleet.entries),
        what="lost questions",
    )
    fleet.platform_mode(lost=[])


@then('every entry soon holds "{server}" to be leaving')
def step(context, server):
    fleet = context.fleet
    for name in fleet.entries:
        wait_until(
            lambda n=name: state_of(fleet.status(n), server) == "leaving",
            SOON_SECONDS,
            f"{name} knows of {server}",
        )


def state_of(page, server):
    """Return what a status page says of a server."""
    return next(s["state"] for s in page["servers"] if s["name"] == server)


class TakenLists:
    """The servers that were listed after each change, and what follows the store."""

    def __init__(self, store):
        """Follow a store, with no other entry."""
        clock, rng, own = SystemClock(), random.Random(1), "127.0.0.1:1"
        self.store, self.taken = store, []
        self.stopping = threading.Event()
        links = PeerLinks(Sender("routes", own, "1", b"a-key-of-16-bytes"))
        members = EntryPeers(own, "1", "hall", links, lambda _: None, clock, rng)
        self.followed = make_publications(
            StoreSettings(store.address, draining_ms=2000),
            "hall",
            own,
            members,
            links,
            RoutesInForce(clock),
            lambda values: None,
            lambda values: self.taken.append(sorted(values)),
            StartupReadiness(clock, AWAITED_KEYS),
            self.stopping,
            clock,
            rng,
        )
        self.clock = clock

    def start(self):
        """Begin to follow."""
        for run in (
            self.followed.operators.run,
            self.followed.servers.run,
            self.followed.confirm,
        ):
            threading.Thread(target=run, daemon=True).start()

    def close(self):
        """End."""
        self.stopping.set()
        self.store.close()


@fixture
def taken_lists(context):
    """Follow a store with a server and a configuration."""
    store = RouteStore(ADDRESS)
    store.put("op/config", b"{}")
    store.put("servers/a", b"{}")
    lists = TakenLists(store)
    lists.start()
    yield lists
    lists.close()


@given("an entry whose watch of the servers outlives an outage of the store")
def step(context):
    use_fixture(log_lines, context)
    lists = context.lists = use_fixture(taken_lists, context)
    confirming, store = lists.followed.confirming, lists.store

    def names():
        confirming.note_use()
        return [line["name"] for line in context.lines.told]

    wait_until(lambda: lists.taken, what="the servers are listed")
    lists.stopping.wait(SETTLED_SECONDS)
    # Other entries have confirmed what is known of the servers.
    confirming.note_answer("servers/", lists.clock.now() + 1000)
    # Questions are lost, and the watch that waits already is not.
    store.down = LOST
    wait_until(lambda: "configuration_unreachable" in names(), what="an outage")
    store.down = None
    wait_until(lambda: "store_regained" in names(), what="the store's return")


@when("a server is removed {seconds:g} seconds after the store's return")
def step(context, seconds):
    lists = context.lists
    lists.stopping.wait(seconds)
    context.before = len(lists.taken)
    lists.store.put("servers/a", None)


@then("it is gone from the first list after that")
def step(context):
    lists = context.lists
    wait_until(lambda: len(lists.taken) > context.before, what="a list")
    assert lists.taken[context.before] == [], lists.taken
