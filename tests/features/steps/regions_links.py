"""Steps on the links between regions and the entries that are ranked by region."""

import math
import socket
import threading

from behave import given, then, when

from boragestream.base.route_metrics import RouteMetrics
from boragestream.entry.knowledge_messages import PublishedAsk
from boragestream.entry.link_meter import RegionMeter
from boragestream.entry.links import PeerLinks, PeerListener
from boragestream.entry.messages import (
    Exchange,
    Probe,
    ProbeReply,
    Repair,
    Sender,
)
from boragestream.entry.permit_messages import PermitReturn
from boragestream.entry.region_part import RegionLinksPart
from boragestream.entry.stream_messages import OriginAsk
from boragestream.policy.cold_servers import senders
from boragestream.policy.granters import Granters, RegionGranters
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_entries import RegionEntries
from boragestream.policy.region_links import TrafficKind
from boragestream.policy.region_window import INITIAL_WINDOW, WINDOW_STEP
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock
from tests.standins.region_links import REGIONS, make_links

ADDRESS = "127.0.0.1"
KEY = b"a-key-of-16-bytes"
RELAY_SECONDS = 0.25


@given('the links of an entry of "valley"')
def step(context):
    context.clock, context.changes = SetClock(), []
    context.links = make_links(context.clock, context.changes)
    context.region_meter = RegionMeter(context.links, lambda address: address)


def window(context):
    """Return the window to the other region."""
    return context.links.figures()[0].window


@when('{count:d} answers of "{region}" take {seconds:g} s each, one a second')
def step(context, count, region, seconds):
    context.window_before = window(context)
    context.answers = count
    for _ in range(count):
        context.clock.seconds += 1.0
        context.links.note_answer(region, seconds)


@when(
    'for {seconds:d} seconds answers of "{region}" take {trip:g} s, '
    "and its window is used in full"
)
def step(context, seconds, region, trip):
    for _ in range(seconds):
        context.clock.seconds += 1.0
        context.links.count(region, TrafficKind.CALL, int(window(context)))
        context.links.note_answer(region, trip)


@when('a result of {size:d} bytes comes from "{region}"')
def step(context, size, region):
    context.links.count(region, TrafficKind.RESULT, size)


@when('{count:d} answers of "{region}" are missing')
def step(context, count, region):
    for _ in range(count):
        context.links.note_missed(region)


@when('an answer of "{region}" is missing each second for {seconds:d} seconds')
def step(context, region, seconds):
    for _ in range(seconds):
        context.clock.seconds += 1.0
        context.links.note_missed(region)


@when('a request to "{region}" that began {seconds:g} s ago is missing its answer')
def step(context, region, seconds):
    context.links.note_missed(region, seconds)


@when("nobody asks the other region for {seconds:d} seconds")
def step(context, seconds):
    context.clock.seconds += seconds
    context.links.check()


@then('optional traffic to "{region}" is admitted')
def step(context, region):
    assert context.links.admits(region)


@then('optional traffic to "{region}" is not admitted')
def step(context, region):
    assert not context.links.admits(region)


@then('the window to "{region}" is that of the beginning')
def step(context, region):
    assert window(context) == INITIAL_WINDOW, window(context)


@then('the window to "{region}" is at most a quarter of that of the beginning')
def step(context, region):
    assert window(context) <= INITIAL_WINDOW / 4, window(context)


@then('the window to "{region}" grew by one step a second at most')
def step(context, region):
    grown = window(context) - context.window_before
    assert 0 < grown <= context.answers * WINDOW_STEP, grown


@then('the window to "{region}" is that of the beginning and {low:d} or {high:d} steps')
def step(context, region, low, high):
    steps = (window(context) - INITIAL_WINDOW) / WINDOW_STEP
    assert low <= steps <= high, steps


@then('the round trip to "{region}" is {seconds:g} s')
def step(context, region, seconds):
    assert context.links.round_trip_seconds(region) == seconds


@then('the link to "{region}" became "{status}"')
def step(context, region, status):
    last = context.changes[-1]
    assert (last.region, last.status.value) == (region, status), context.changes


@then('the link to "{region}" did not change')
def step(context, region):
    assert not context.changes, context.changes


@then('the time-out of an exchange with "{region}" is longer by {seconds:g} s')
def step(context, region, seconds):
    meter = context.region_meter
    assert meter.allowance_seconds(region, Exchange({})) == seconds


@then('the time-out of an order to "{region}" is longer by {seconds:g} s')
def step(context, region, seconds):
    meter = context.region_meter
    assert meter.allowance_seconds(region, PermitReturn(1)) == seconds


@then('the time-out of a question about a stream to "{region}" is longer by {more:g} s')
def step(context, region, more):
    message = OriginAsk(b"", ())
    assert context.region_meter.allowance_seconds(region, message) == more


@then('the time-out of a repair from "{region}" is longer by {seconds:g} s')
def step(context, region, seconds):
    meter = context.region_meter
    assert meter.allowance_seconds(region, Repair({})) == seconds


@then('"{region}" is not reachable')
def step(context, region):
    assert not context.links.reachable(region)
    assert region in context.links.unreachable_regions


@then('"{region}" is reachable')
def step(context, region):
    assert context.links.reachable(region)
    assert not context.links.unreachable_regions


@given('the links of two entries of "valley"')
def step(context):
    context.clock, context.changes = SetClock(), []
    context.pair = [
        make_links(context.clock, context.changes, seed=seed) for seed in (1, 2)
    ]


@when(
    'one of them measures the link to "{region}", and both relay it for {seconds:d} '
    "seconds"
)
def step(context, region, seconds):
    first, second = context.pair
    first.note_answer(region, 0.024)
    for _ in range(int(seconds / RELAY_SECONDS)):
        for sender, receiver in ((first, second), (second, first)):
            reports = sender.reports()
            # A message that is long under way makes its content look recent.
            context.clock.seconds += RELAY_SECONDS / 2
            for report in reports:
                receiver.take(report)


@when('one of them misses an answer of "{region}"')
def step(context, region):
    context.pair[0].note_missed(region)
    for report in context.pair[0].reports():
        context.pair[1].take(report)


@then('for both of them "{region}" is not reachable')
def step(context, region):
    assert not any(links.reachable(region) for links in context.pair)


@when('an entry of "{region}" reports a round trip of {seconds:g} s')
def step(context, region, seconds):
    theirs = make_links(context.clock, [], "hall-a", seed=3)
    theirs.note_answer(region, seconds)
    data = RegionLinksPart(theirs, lambda name: True).offer(600)
    assert data
    part = RegionLinksPart(context.links, lambda name: name == "near")
    part.take("far", data)
    context.part, context.data = part, data


@given("entries of both regions, ranked by one of each")
def step(context):
    context.clock = SetClock()
    names = [(f"v-{n}", "hall-a") for n in range(8)]
    names += [(f"c-{n}", "pier-a") for n in range(8)]
    listed = [ListedEntry(n, f"host-{n}", n, centre) for n, centre in names]
    context.listed = listed
    context.by_region = {}
    for centre, region in REGIONS.items():
        links = make_links(context.clock, [], centre)
        entries = RegionEntries(links, lambda: listed, lambda s: s == "stage")
        context.by_region[region] = (links, entries)


def reached(context, region):
    """Return the names of the entries that one of a region reaches."""
    links, _ = context.by_region[region]
    regions = links.regions
    return [
        e.name
        for e in context.listed
        if regions.of(e.data_centre) not in links.unreachable_regions
    ]


def granters_of(context, region):
    """Return the granting entries as one of a region ranks them."""
    _, entries = context.by_region[region]

    def make(name):
        def live():
            ranked = [e.name for e in entries.in_charge(name)] if name else []
            return ranked or reached(context, region)

        return Granters(live, lambda s: s.name, context.clock)

    return RegionGranters(entries.region_of, make)


def cut(context, region, other):
    """Let the entries of one region find the other unreachable."""
    links, _ = context.by_region[region]
    links.note_answer(other, 0.024)
    for _ in range(10):
        context.clock.seconds += 1.0
        links.note_missed(other)
    assert not links.reachable(other)


@when("the regions can't reach one another")
def step(context):
    cut(context, "valley", "coast")
    cut(context, "coast", "valley")


@when('no entry of "{region}" answers, but its servers do')
def step(context, region):
    cut(context, "valley", region)
    links, _ = context.by_region["valley"]
    links.count(region, TrafficKind.ANSWER, 1000)


def server_of(region, service="engine"):
    """Return a server of a region."""
    centre = next(c for c, r in REGIONS.items() if r == region)
    return Server("s-1", service, "h", centre)


@then('both rank the same entries of "{region}" for a server there')
def step(context, region):
    server = server_of(region)
    ranked = [granters_of(context, r).for_server(server) for r in REGIONS.values()]
    assert ranked[0] == ranked[1], ranked
    assert all(name[0] == region[0] for name in ranked[0]), ranked


@then('an entry of "{region}" is not among the senders to it while it is cold')
def step(context, region):
    server = server_of("coast")
    for viewer in REGIONS.values():
        _, entries = context.by_region[viewer]
        ranked = senders(server, entries.ranked(server, reached(context, viewer)))
        assert ranked and all(name[0] == "c" for name in ranked), ranked


@then('the one of "{viewer}" ranks entries of "{region}" for a server of "{home}"')
def step(context, viewer, region, home):
    ranked = granters_of(context, viewer).for_server(server_of(home))
    assert ranked and all(name[0] == region[0] for name in ranked), ranked


@then("for a stage server all entries are ranked")
def step(context):
    server = server_of("coast", "stage")
    names = [entry.name for entry in context.listed]
    for region in REGIONS.values():
        _, entries = context.by_region[region]
        assert entries.ranked(server, names) is names
        expected = Granters(lambda: names, lambda s: s.name, context.clock)
        granters = granters_of(context, region)
        assert granters.for_server(server) == expected.for_server(server)


@when("the meter records an exchange, a read of published values and an order")
def step(context):
    meter = context.region_meter
    meter.note_answer("coast", Exchange({}), 1000, 0.024)
    meter.note_answer("coast", PublishedAsk(1, 1), 2000, 0.024)
    meter.note_missed("coast", PermitReturn(1), 30, 0.3)


@then('the metrics name bytes to "{region}" by kind, its round trip and its window')
def step(context, region):
    metrics = RouteMetrics()
    metrics.region_figures(context.links.figures)
    text = metrics.text()
    kinds = {"exchange": 1000, "store": 2000, "order": 30, "result": 5000}
    for kind, size in kinds.items():
        line = f'bytes_total{{kind="{kind}",region="{region}"}} {float(size)}'
        assert f"boragestream_region_{line}" in text, text
    assert f'round_trip_seconds{{region="{region}"}} 0.024' in text, text
    assert f'boragestream_region_window{{region="{region}"}}' in text, text


class CountingMeter:
    """Records what the links report."""

    def __init__(self):
        """Start without records."""
        self.answers, self.missed = [], []

    def allowance_seconds(self, address, message):
        """Return no further time."""
        return 0.0

    def note_answer(self, address, message, size, seconds):
        """Record an answer."""
        self.answers.append((address, size, seconds))

    def note_missed(self, address, message, size, seconds):
        """Record a missing answer."""
        self.missed.append((address, size))


@given("an entry that answers messages, and links with a meter")
def step(context):
    with socket.create_server((ADDRESS, 0)) as free:
        port = free.getsockname()[1]
    context.answering = f"{ADDRESS}:{port}"
    handlers = {Probe: lambda envelope, message: ProbeReply(0)}
    listener = PeerListener(
        Sender("routes", "b", "1", KEY), context.answering, handlers
    )
    threading.Thread(target=listener.run, daemon=True).start()
    context.add_cleanup(listener.close)
    context.peer_meter = CountingMeter()
    context.peer_links = PeerLinks(
        Sender("routes", "a", "1", KEY), meter=context.peer_meter
    )
    context.add_cleanup(context.peer_links.close)


@when("it is probed twice and a silent peer once")
def step(context):
    links = context.peer_links
    for _ in range(2):
        assert isinstance(links.ask(context.answering, Probe(), 5.0), ProbeReply)
    with socket.create_server((ADDRESS, 0)) as silent:
        context.silent = f"{ADDRESS}:{silent.getsockname()[1]}"
        links.ask(context.silent, Probe(), 0.2)


@then("two answers and one missing answer were recorded, with their bytes")
def step(context):
    meter = context.peer_meter
    assert [a for a, _, _ in meter.answers] == [context.answering] * 2
    ((_, request_size),) = meter.missed
    # An answer counts with its request.
    assert all(size > request_size > 0 for _, size, _ in meter.answers)
    assert all(0 < seconds < math.inf for _, _, seconds in meter.answers)


@when('a request to "{region}" is missing its answer for {seconds:d} seconds')
def step(context, region, seconds):
    context.clock.seconds += seconds
    context.links.note_missed(region)


@then("in {seconds:d} seconds its servers are tried during {tried:d} second")
def step(context, seconds, tried):
    used = 0
    for _ in range(seconds * 10):
        context.clock.seconds += 0.1
        used += context.links.may_use("coast")
    assert abs(used / 10 - tried) <= 0.1, used
