"""Steps on the entries that own queues of stages, permits and cold servers."""

import threading
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.base.outcomes import Failure
from boragestream.daemon.stage_owners import StageOwners
from boragestream.document.calls import Piece, PieceResult
from boragestream.entry.permit_messages import PermitAsk
from boragestream.entry.piece_messages import PiecesCancel
from boragestream.entry.server_permits import Permit, ServerPermits
from boragestream.policy.granters import REFRESH_SECONDS, Granters, Standing
from boragestream.policy.peers import ListedEntry
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.queue_owners import StageQueue, owner_ranking, queue_entries
from boragestream.policy.regions import Regions
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from boragestream.serving.piece_orders import PieceOrders
from boragestream.serving.piece_refusals import wait_answer
from tests.standins.clock import SetClock

STAGE, PLAIN = "embed", "plain"


def set_entries(context, capacities):
    """List entries by data centre; each data centre is named after its region."""
    context.listed = [
        ListedEntry(f"{centre}-{n}", f"{centre}-{n}", "", centre, capacity=capacity)
        for centre, of in capacities.items()
        for n, capacity in enumerate(map(float, of.replace("none", "").split()))
    ]
    context.clock = SetClock()
    context.owners, context.granters = {}, {}
    for own in context.listed:
        regions = Regions(own.data_centre, context.regions)
        owners = StageOwners(
            own, lambda: context.listed, regions, lambda service: service == STAGE
        )
        context.owners[own.name] = owners
        context.granters[own.name] = Granters(
            owners.granting,
            owners.granted_by,
            context.clock,
            among=owners.granting_among,
        )


@given('entries of valley with the capacities "{valley}" and of hills with "{hills}"')
def step(context, valley, hills):
    context.regions = {"valley": "valley", "hills": "hills"}
    set_entries(context, {"valley": valley, "hills": hills})


@given('entries of one region with the capacities "{capacities}"')
def step(context, capacities):
    context.regions = {"valley": "valley"}
    set_entries(context, {"valley": capacities})


@given("all stage servers have a request limit")
def step(context):
    context.permits = {}

    def deliver(address, message, timeout):
        assert isinstance(message, PermitAsk), message
        envelope = SimpleNamespace(sender="")
        return context.permits[address].answer(envelope, message)

    for name, granters in context.granters.items():
        limits = ServerLimits(context.clock)
        limits.take_list(servers(STAGE))
        for server in servers(STAGE):
            limits.note_answer(server, 100.0, context.clock.now(), whole=True)
        context.permits[name] = ServerPermits(
            name,
            limits,
            granters,
            lambda entry: entry,
            lambda: True,
            SimpleNamespace(ask=deliver),
            lambda work: work(),
            context.clock,
        )


@when("the entry that grants the permits for the stage servers of hills is gone")
def step(context):
    for granters in context.granters.values():
        for server in servers(STAGE):
            granters.standing(server, granters.for_server(server)[0])
    # Entries that run refresh their rankings all the time.
    for _ in range(round(10 / REFRESH_SECONDS)):
        context.clock.seconds += REFRESH_SECONDS
        for granters in context.granters.values():
            granters.refresh()
    hills = next(server for server in servers(STAGE) if server.region == "hills")
    granters = next(iter(context.granters.values()))
    gone = granters.for_server(hills)[0]
    assert granters.standing(hills, gone) is Standing.FIRST
    context.listed = [entry for entry in context.listed if entry.name != gone]
    del context.owners[gone], context.granters[gone]
    context.clock.seconds += REFRESH_SECONDS


def servers(service):
    """Return two servers of a service in each region."""
    return [
        Server(f"{service}-{region}-{n}", service, "", region, "1", region=region)
        for region in ("valley", "hills")
        for n in range(2)
    ]


@then('the entries ranked for "{region}" are "{ranked}"')
def step(context, region, ranked):
    regions = Regions("valley", context.regions)
    found = queue_entries(context.listed, regions, region.replace("all", ""))
    assert found == ranked.split(), found


@then("for each stage server all entries name the owner of its region's queue first")
def step(context):
    for server in servers(STAGE):
        entries = queue_entries(
            context.listed, Regions("", context.regions), server.region
        )
        key = StageQueue(STAGE, server.region).ranking_key
        first = owner_ranking(key, entries)[0]
        assert first.startswith(server.region), first
        for name, granters in context.granters.items():
            assert granters.for_server(server)[0] == first, (name, server)
            assert context.owners[name].cold_senders(server)[0] == first


@then("each entry gets a permit for each stage server of its region")
def step(context):
    refused = []
    for entry in context.listed:
        for server in servers(STAGE):
            if server.region != entry.data_centre:
                continue
            permit = context.permits[entry.name].acquire(server, wait_seconds=1.0)
            if not isinstance(permit, Permit):
                refused.append((entry.name, server.name, permit))
    assert not refused, refused


@then("for other servers all entries name the same one, and any may send to cold ones")
def step(context):
    entries = {entry.name for entry in context.listed}
    for server in servers(PLAIN):
        named = {g.for_server(server)[0] for g in context.granters.values()}
        assert len(named) == 1, named
        for owners in context.owners.values():
            assert set(owners.cold_senders(server)) == entries


@then(
    "the entry that grants for the stage servers of hills has not been first for long"
)
def step(context):
    for server in servers(STAGE):
        for granters in context.granters.values():
            first = granters.for_server(server)[0]
            standing = granters.standing(server, first)
            new = server.region == "hills"
            assert standing is (Standing.NEW if new else Standing.FIRST), standing


@then("for each stage server all entries name the first in rank for its service")
def step(context):
    eligible = [entry.name for entry in context.listed if entry.capacity >= 1]
    ranked = owner_ranking(STAGE, eligible)
    for server in servers(STAGE):
        for name, granters in context.granters.items():
            assert granters.for_server(server) == ranked[:2], name
            assert context.owners[name].cold_senders(server) == ranked


@given("an entry whose orders are accepted by the second in rank only")
def step(context):
    context.clock, context.cancelled = SetClock(), []
    context.answers = {"b": wait_answer(None)}

    def send(entry, message):
        assert isinstance(message, PiecesCancel), message
        context.cancelled.append(entry)

    owners = SimpleNamespace(
        own="c",
        owners=lambda queue, current: ["a", "b"],
        ask=lambda entry, message: context.answers.get(entry),
        send=send,
    )
    context.orders = PieceOrders(owners, context.clock)


@when("an order is sent and {ends}")
def step(context, ends):
    order = PieceOrder("o-1", STAGE, (Piece("r-1", 0, 0, "", ()),), 1, 0, 0, "")
    scope, changed = CancelScope(context.clock.now() + 5.0), threading.Event()
    start_by = context.clock.now() + 1.0
    if ends == "is refused":
        context.answers["b"] = wait_answer(0.5)
    opened = context.orders.begin(order, start_by, scope, changed)
    if ends == "is done":
        results = [(0, PieceResult("h-1", None))]
        context.orders.receive_results("b", "o-1", results)
    if ends == "is refused":
        assert isinstance(opened, Failure)
    else:
        context.orders.end(opened)


@then('it was cancelled at "{entries}"')
def step(context, entries):
    assert sorted(context.cancelled) == entries.split(), context.cancelled
