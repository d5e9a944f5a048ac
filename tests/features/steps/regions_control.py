"""Steps on the communication of entries between regions, in simulated time."""

import random

from behave import given, then, when

from boragestream.entry.exchange import FAN_OUT, PeerExchange
from boragestream.entry.link_meter import RegionMeter
from boragestream.entry.messages import Exchange, Probe
from boragestream.entry.peer_choice import SUSPECT_ROUNDS, Peer
from boragestream.entry.peers import EntryPeers
from boragestream.policy.granters import Granters, RegionGranters
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_entries import RegionEntries
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.region_watching import confirms_watches, watches_store
from boragestream.policy.region_window import INITIAL_WINDOW
from boragestream.policy.regions import Regions
from boragestream.policy.servers import Server
from boragestream.policy.watchers import is_first_watcher, is_watcher
from tests.standins.clock import SetClock
from tests.standins.region_crowd import RegionCrowd

WARM_UP_SECONDS = 8.0
POLL_SECONDS = 0.5
CENTRES = ("hall-a", "hall-b", "hall-c")
ONE_REGION = dict.fromkeys(CENTRES, "valley")
BOTH = {("valley", "coast"), ("coast", "valley")}


@given("{count:d} entries in two regions, by seed {seed:d}")
def step(context, count, seed):
    context.crowd = RegionCrowd(count, seed)
    if count == 2:
        # One entry in each region.
        entries = list(context.crowd.entries.values())
        entries[1].centre, entries[1].region = "pier-a", "coast"
        entries[1].listed = ListedEntry(
            entries[1].name, "host", entries[1].name, "pier-a"
        )
        for entry in entries:
            context.crowd.restart(entry)
    context.crowd.run(WARM_UP_SECONDS)
    assert context.crowd.all_name(context.crowd.names())


@when("they run for {seconds:d} seconds")
def step(context, seconds):
    crowd = context.crowd
    before = crowd.network.crossed.total()
    crowd.run(seconds)
    context.crossed = (crowd.network.crossed.total() - before) / seconds


@when("they run for {seconds:d} seconds, each naming all others")
def step(context, seconds):
    crowd = context.crowd
    for _ in range(int(seconds / POLL_SECONDS)):
        crowd.run(POLL_SECONDS)
        assert crowd.all_name(crowd.names()), crowd.clock.now()


@when("the link is cut from both")
def step(context):
    context.crowd.network.dropped = BOTH


@when('the link is cut from "{region}"')
def step(context, region):
    context.crowd.network.dropped = {p for p in BOTH if p[0] == region}


@when("the link heals")
def step(context):
    context.crowd.network.dropped = set()


@when("the delay of the link rises to {seconds:g} seconds")
@when("the delay of the link falls to {seconds:g} seconds")
def step(context, seconds):
    context.crowd.network.far_seconds = seconds


def kill(context, region, share):
    """Kill a share of the entries of a region, at least one."""
    running = context.crowd.running(region)
    context.killed = context.crowd.rng.sample(
        running, max(1, int(share * len(running)))
    )
    for entry in context.killed:
        entry.alive = False


@when('one entry of "{region}" is killed')
def step(context, region):
    kill(context, region, 0)


@when('a third of the entries of "{region}" are killed at one moment')
def step(context, region):
    kill(context, region, 1 / 3)


@when('half of the entries of "{region}" are killed at one moment')
def step(context, region):
    kill(context, region, 1 / 2)


@when('all entries of "{region}" are killed at one moment')
def step(context, region):
    kill(context, region, 1)


@when("it is started again")
def step(context):
    context.crowd.restart(context.killed[0])


@when("{count:d} of them are started again")
def step(context, count):
    for entry in context.killed[:count]:
        context.crowd.restart(entry)


@when('one entry of "{region}" loses an exchange with each other entry')
def step(context, region):
    crowd = context.crowd
    lossy = crowd.running(region)[0]
    for entry in crowd.running():
        if entry is not lossy:
            entry.requests.lose_next(lossy.name)


@then("at most {most:g} requests a second crossed between the regions")
def step(context, most):
    assert context.crossed <= most, context.crossed


@then("each entry knows a measurement of the link of the last {seconds:g} seconds")
def step(context, seconds):
    ages = [r.answered_age for e in context.crowd.running() for r in e.links.reports()]
    assert max(ages) <= seconds, max(ages)


def named_as(crowd, region, within, names_of):
    """Require that the entries come to name others as they should."""
    took = crowd.settle(
        within,
        lambda: all(e.named() == names_of(e) for e in crowd.running(region)),
    )
    assert took is not None, [
        (e.name, e.named() ^ names_of(e)) for e in crowd.running(region)
    ][:3]


@then("within {seconds:g} seconds each entry names just those of its own region")
@then(
    'within {seconds:g} seconds each entry of "{region}" names just those of '
    "its own region"
)
def step(context, seconds, region=None):
    crowd = context.crowd
    named_as(crowd, region, seconds, lambda entry: crowd.names(entry.region))


@then("within {seconds:g} seconds each entry names all that run")
def step(context, seconds):
    crowd = context.crowd
    named_as(crowd, None, seconds, lambda entry: crowd.names())


@then("no entry was recorded as a suspect")
def step(context):
    for entry in context.crowd.running():
        assert not entry.suspected_by_record(), entry.suspected_by_record()


@then('each entry logged that the other region became "{status}"')
def step(context, status):
    for entry in context.crowd.running():
        seen = [change.status.value for change in entry.statuses]
        assert status in seen, (entry.name, seen)


@then("each entry measures a round trip of {seconds:g} seconds")
def step(context, seconds):
    for entry in context.crowd.running():
        other = ({"valley", "coast"} - {entry.region}).pop()
        measured = entry.links.round_trip_seconds(other)
        assert abs(measured - seconds) < 0.01, measured


@then("the window of each entry has shrunk")
def step(context):
    for entry in context.crowd.running():
        windows = [figures.window for figures in entry.links.figures()]
        assert max(windows) < INITIAL_WINDOW, windows


def earlier_choice(peers, data_centre, count, rng):
    """Return the peers of a round as chosen before regions were known."""
    usable = [peer for peer in peers if not peer.suspect]
    chosen = [peer for peer in usable if peer.missed][:1]
    near = [p for p in usable if p.data_centre == data_centre and p not in chosen]
    far = [p for p in usable if p.data_centre != data_centre and p not in chosen]
    rng.shuffle(near)
    rng.shuffle(far)
    order = [*far[:1], *near, *far[1:]]
    chosen += order[: count - len(chosen)]
    suspects = [peer for peer in peers if peer.suspect]
    if suspects and rng.randrange(SUSPECT_ROUNDS) == 0:
        chosen.append(rng.choice(suspects))
    return chosen


def listed_entries(rng, count=None):
    """Return entries of one region in three data centres."""
    count = rng.randrange(1, 30) if count is None else count
    numbers = rng.sample(range(1000), count)
    return [
        ListedEntry(f"e-{n}", f"host-{n}", f"e-{n}", rng.choice(CENTRES))
        for n in numbers
    ]


class RecordingExchange(PeerExchange):
    """An exchange that records the tasks of a round in place of running them."""

    def __init__(self, *arguments):
        """Start without tasks."""
        super().__init__(*arguments)
        self.asked = []

    def submit(self, task):
        """Record whom the task asks."""
        self.asked.append(task.args[0].name)
        self._in_progress.clear()


@then(
    "the peers of {count:d} rounds are those of the earlier choice with {kind} region"
)
def step(context, count, kind):
    mapping = ONE_REGION if kind == "one" else {}
    clock, rng = SetClock(), random.Random(3)
    for number in range(count):
        links = RegionLinks(Regions("hall-a", mapping), clock)
        peers = EntryPeers(
            "own", "1", "hall-a", None, lambda s: None, clock, rng, links
        )
        listed = listed_entries(rng, rng.randrange(2, 30))
        peers.set_listed_entries(listed)
        for entry in rng.sample(listed, len(listed) // 3):
            peers.entries.note_unanswered(entry.name)
        for entry in rng.sample(listed, len(listed) // 4):
            peers.entries.note_unreachable(entry.name)
        losses = peers.recent_losses()
        exchange = RecordingExchange(
            None, peers, "hall-a", clock, random.Random(number)
        )
        exchange.round(FAN_OUT)
        plain = [
            Peer(p.name, p.address, p.data_centre, p.suspect, p.missed)
            for p in peers.peers()
        ]
        assert plain == list(peers.peers())
        earlier = earlier_choice(
            plain, "hall-a", FAN_OUT + min(8, losses), random.Random(number)
        )
        assert exchange.asked == [peer.name for peer in earlier]


@then("the watchers of {count:d} sets of entries are those of the earlier selection")
def step(context, count):
    rng = random.Random(4)
    for _ in range(count):
        listed = listed_entries(rng)
        for entry in listed:
            for mapping in (ONE_REGION, {}):
                regions = Regions(entry.data_centre, mapping)
                now = watches_store(entry.name, regions, listed)
                assert now == is_watcher(entry.name, entry.data_centre, listed)
                first = confirms_watches(entry.name, regions, listed)
                assert first == is_first_watcher(entry.name, listed)


@then("the ranked entries of {count:d} servers are those of the earlier ranking")
def step(context, count):
    rng, clock = random.Random(5), SetClock()
    for number in range(count):
        listed = listed_entries(rng)
        live = [entry.name for entry in listed]
        links = RegionLinks(Regions("hall-a", ONE_REGION), clock)
        entries = RegionEntries(links, list, lambda service: False)
        server = Server(f"s-{number}", "engine", "h", rng.choice(CENTRES))
        assert entries.ranked(server, live) is live
        earlier = Granters(lambda names=live: names, lambda s: s.name, clock)
        now = RegionGranters(entries.region_of, lambda region, g=earlier: g)
        assert now.for_server(server) == earlier.for_server(server)


@then("no time-out of a request to an entry is longer")
def step(context):
    links = RegionLinks(Regions("hall-a", ONE_REGION), SetClock())
    meter = RegionMeter(links, lambda address: "valley")
    for message in (Probe(), Exchange({})):
        assert meter.allowance_seconds("a", message) == 0.0
