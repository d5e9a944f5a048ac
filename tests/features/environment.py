"""Fixtures that the steps share: one fleet for each feature that asks for it."""

from behave import fixture, use_fixture

from tests.soak.links import SoakLinks
from tests.standins.fleet import Fleet
from tests.standins.partition import PartitionedNetwork
from tests.standins.route_site import RouteSite
from tests.standins.sites import example_document, example_servers
from tests.standins.verdicts import Injected

FLEET_TAG = "fixture.fleet."
PARTITIONED_TAG = "fixture.partitioned."
ONE_CENTRE_TAG = "fixture.one-centre."
ROUTE_SITE_TAG = "fixture.route-site."
LINKED_SITE_TAG = "fixture.linked-site."
# For features in which most requests are repeated.
MANY_REPEATS = 20_000
# A watcher that falls silent leaves its waiting call behind, which can be counted.
LONG_WATCHES = "watch_seconds = 30.0"
LINGER_SETTINGS = "[stop]\nlinger_seconds = 4.0\n"


# A fleet whose entries can be stopped within a test.
STOPPING = ".stopping"
# A fleet whose entries call the servers of a service in turn.
IN_TURN = ".in-turn"
# A fleet whose entries can be cut off from servers.
CUTS = ".cuts"
# A fleet in which the servers of one plain service fall over when they refuse calls.
BRITTLE = ".brittle"
BRITTLE_SERVERS = {
    "counter-app": {"slots": 4, "queue": 0, "service_ms": 100.0, "brittle": "0"}
}
# A fleet whose servers have room for calls that are stuck.
ROOMY = ".roomy"
ROOM = {"slots": 64}
STOP_SETTINGS = "[stop]\nlinger_seconds = 0.1\nlimit_seconds = 6.0"
KEEP_SECONDS = 0.3
SERVERS_A_KIND = 2
LONG_DEADLINE_MS = 30_000


@fixture
def fleet(context, name):
    """Start a site's fleet for a feature or scenario."""
    site, _, _ = name.partition(".")
    document = example_document(site)
    settings = ""
    if name.endswith(IN_TURN):
        document["policies"]["routing"] = "round-robin"
    if name.endswith(STOPPING):
        settings = STOP_SETTINGS
        document["policies"]["answer_keep_seconds"] = KEEP_SECONDS
        for pipeline in document["pipelines"]:
            pipeline["deadline_ms"] = LONG_DEADLINE_MS
    room = ROOM if name.endswith(ROOMY) else None
    servers = example_servers(site)
    cuts = name.endswith(CUTS)
    brittle = BRITTLE_SERVERS if name.endswith(BRITTLE) else None
    with Fleet(
        document,
        servers,
        settings=settings,
        backend=room,
        backend_of=brittle,
        cuts=cuts,
    ) as started:
        context.fleet = started
        yield started


@fixture
def partitioned(context, site):
    """Start a site's fleet whose entries hear one another through relays."""
    document = example_document(site)
    instances = example_servers(site)
    with Fleet(document, instances, settings=LINGER_SETTINGS) as started:
        ports = {n: p.extra["peer_port"] for n, p in started.entries.items()}
        with PartitionedNetwork(ports) as network:
            for name, port in network.ports.items():
                started.entries[name].extra["peer_port"] = port
            started.publish_instances()
            context.fleet = started
            context.network = network
            yield started


@fixture
def one_centre(context, site):
    """Start a site's fleet with everything in one data centre."""
    instances = [(*i[:3], "only-hall") for i in example_servers(site)]
    with Fleet(example_document(site), instances, settings=LONG_WATCHES) as started:
        context.fleet = started
        yield started


@fixture
def route_site(context, name):
    """Start a site on the platform's forms; names with drains, cuts or many repeats."""
    entries, *more = name.split(".")
    slack = {"retry_slack": MANY_REPEATS} if "repeats" in more else {}
    site = RouteSite(int(entries), "drains" in more, "cuts" in more, **slack)
    try:
        site.start()
        context.site = site
        yield site
    finally:
        site.close()


@fixture
def linked_site(context, entries):
    """Start a route site whose entries reach store and one another through relays."""
    site = SoakLinks(int(entries), SERVERS_A_KIND)
    try:
        site.start()
        context.site = site
        yield site
    finally:
        site.close()


def before_all(context):
    """Begin to count the faults that strike."""
    context.injected = Injected()


def before_tag(context, tag):
    """Start what a tag asks for."""
    if tag.startswith(FLEET_TAG):
        use_fixture(fleet, context, tag.removeprefix(FLEET_TAG))
    if tag.startswith(ROUTE_SITE_TAG):
        use_fixture(route_site, context, tag.removeprefix(ROUTE_SITE_TAG))
    if tag.startswith(LINKED_SITE_TAG):
        use_fixture(linked_site, context, tag.removeprefix(LINKED_SITE_TAG))
    if tag.startswith(PARTITIONED_TAG):
        use_fixture(partitioned, context, tag.removeprefix(PARTITIONED_TAG))
    if tag.startswith(ONE_CENTRE_TAG):
        use_fixture(one_centre, context, tag.removeprefix(ONE_CENTRE_TAG))


def after_all(context):
    """Print how many faults struck."""
    if context.injected.scenarios:
        print(context.injected.summary())
