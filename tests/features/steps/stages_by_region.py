"""Steps on the queues of stages of two regions, in simulated time."""

import threading

from behave import given, then, when

from boragestream.backend.failures import ConnectFailed, Ran
from boragestream.entry.piece_messages import PiecesOrder
from boragestream.policy.queue_owners import StageQueue, owner_ranking
from boragestream.serving.piece_failures import StageSaturated
from boragestream.serving.piece_orders import OpenOrder
from tests.standins.fleet import wait_until
from tests.standins.stage_network import (
    REGIONS,
    SERVICES,
    StageNetwork,
)

# The time that is left until the latest start of the first of two stages: the objective
# of 2 s less the times of two stages and of the engine.
CHAIN_START_SECONDS = 1.0


@given("two regions")
def step(context):
    context.network = StageNetwork()
    context.returned = set()
    context.wait_ms = {}


@given("one region")
def step(context):
    context.network = StageNetwork(dict.fromkeys(REGIONS, "valley"))
    context.returned = set()
    context.wait_ms = {}


@given('"{region}" has {calls:d} calls waiting')
@when('"{region}" has {calls:d} calls waiting')
def step(context, region, calls):
    context.network.fill(region, calls)
    # These calls and the one that would take a further order, at two servers.
    context.wait_ms[region] = (calls + 1) * 200


@given('"{region}" has {calls:d} calls of "{service}" waiting')
def step(context, region, calls, service):
    context.network.fill(region, calls, service)


@given('"{region}" has {calls:d} calls of "{service}" waiting that may start late')
def step(context, region, calls, service):
    context.network.fill(region, calls, service, start=5.0)


@given("the link {state}")
def step(context, state):
    if state == "admits no optional traffic":
        context.network.admits = False
    else:
        context.network.reachable = False


@given("all messages between the regions are lost")
def step(context):
    context.network.cut = {("valley", "hills"), ("hills", "valley")}


@given('messages from "{source}" to "{target}" are lost')
def step(context, source, target):
    context.network.cut = {(source, target)}


@given('calls of servers of "{service}" in "{region}" are held')
def step(context, service, region):
    context.network.owner(service, region).calls.held = True


@given('"{region}" has no servers of "{service}"')
def step(context, region, service):
    context.network.without_servers.add((service, region))


@given('all servers of "{service}" in "{region}" ask for {seconds:g} s without calls')
def step(context, service, region, seconds):
    network = context.network
    for server in network.live(service):
        if server.region == region:
            for entry in network.entries.values():
                entry.backoffs.note(server, seconds)


@given(
    'servers of "{service}" in "{region}" turn calls away and ask for {seconds:g} s '
    "without any"
)
def step(context, service, region, seconds):
    owner = context.network.owner(service, region)

    def turn_away(batch):
        owner.backoffs.note(batch.server, seconds)
        return ConnectFailed(batch.server.name, Ran.NOT_RUN, "status 503")

    owner.calls.make = turn_away


@when('a request comes to "{region}" and its order is dropped there')
def step(context, region):
    network = context.network
    owner = network.owner(SERVICES[0], region)
    running = threading.Thread(target=request, args=(context, region))
    running.start()
    wait_until(lambda: not running.is_alive() or drops(owner), what="a dropped order")
    running.join()


def drops(owner):
    """Return whether an owner's periodic check drops an order."""
    before = sum(len(queue.orders) for queue in owner.batches._queues.values())
    owner.batches.update_queues()
    after = sum(len(queue.orders) for queue in owner.batches._queues.values())
    return after < before


@given('an entry of "{borrower}" has borrowed for an order in "{region}"')
def step(context, borrower, region):
    network = context.network
    context.borrower = network.entry(borrower)
    context.region = region
    opened, context.scope = network.place(
        context.borrower, SERVICES[0], region, pieces=3, borrowed=True
    )
    assert isinstance(opened, OpenOrder), opened
    context.opened = opened
    assert opened.owner == network.owner(SERVICES[0], region).name


@when("{count:d} requests of three pieces come to each entry")
def step(context, count):
    network = context.network
    network.sent.clear()
    context.chains = []
    for entry in network.entries.values():
        for _ in range(count):
            request_id, chain = network.request(entry, pieces=3)
            context.chains.append((entry, request_id, chain))
            context.returned.update(result.handle for result in chain.results)


def request(context, region, **more):
    """Have a request come to an entry that owns no queue."""
    network = context.network
    owners = {network.owner(service, region).name for service in SERVICES}
    entry = next(
        e
        for e in network.entries.values()
        if e.region == region and e.name not in owners
    )
    network.sent.clear()
    context.entry, began = entry, network.clock.seconds
    context.request_id, context.outcome = network.request(entry, pieces=2, **more)
    context.took = network.clock.seconds - began
    if not isinstance(context.outcome, StageSaturated):
        context.returned.update(result.handle for result in context.outcome.results)


@when('a request comes to "{region}"')
def step(context, region):
    request(context, region)


@when('a request of {stages:d} stages comes to "{region}"')
def step(context, stages, region):
    request(context, region, stages=SERVICES[:stages])


@when('a request with the home "{home}" comes to "{region}"')
def step(context, home, region):
    request(context, region, homes=frozenset([home]))


@when('a request of two independent stages comes to "{region}"')
def step(context, region):
    request(context, region, chained=False)


@when('a request whose prompt is cached in "{home}" comes to "{region}"')
def step(context, home, region):
    request(context, region, home=home)


@when('an order of a request with the home "{home}" comes to "{region}"')
def step(context, home, region):
    network = context.network
    entry = network.entry(region)
    network.sent.clear()
    stages = entry.stages.stage_regions
    places = list(stages.candidates([*SERVICES, "engine"], frozenset([home])))
    assert len(places) == 1, places
    context.place = places[0]
    context.outcome, _ = network.place(
        entry,
        SERVICES[0],
        context.place.region,
        borrowed=context.place.borrowed,
        start=CHAIN_START_SECONDS,
    )


@when('"{region}" has served what was waiting')
def step(context, region):
    network = context.network
    for service in SERVICES:
        owner = network.owner(service, region)
        owner.calls.run()
    # The results of the calls that waited are not those of the requests.
    network.made.clear()
    network.stored.clear()


@when('the held calls of "{region}" end')
def step(context, region):
    for service in SERVICES:
        context.network.owner(service, region).calls.run()


@when("the partition heals and {seconds:g} s pass")
def step(context, seconds):
    context.network.cut.clear()
    context.network.clock.seconds += seconds


@when("the owner of that queue is killed and {seconds:g} s passes")
def step(context, seconds):
    network = context.network
    network.killed.add(context.opened.owner)
    context.killed = context.opened.owner
    network.clock.seconds += seconds
    orders = context.borrower.orders
    assert orders.check_owner(context.opened, context.scope) is None


@when("{seconds:g} s passes and the order is sent again")
def step(context, seconds):
    network = context.network
    network.clock.seconds += seconds
    network.sent.clear()
    orders = context.borrower.orders
    assert orders.check_owner(context.opened, context.scope) is None
    assert [type(message) for _, _, message in network.sent] == [PiecesOrder]


@then("each chain ran in the region of its entry")
def step(context):
    network = context.network
    for entry, request_id, chain in context.chains:
        assert chain.region == entry.region, (entry.name, chain)
        assert_made_in(network, request_id, entry.region)


def assert_made_in(network, request_id, region):
    """Check that all pieces of a request were made in a region."""
    made = {s.region for piece, s in network.made_at.items() if piece[0] == request_id}
    assert made == {region}, (request_id, made)


@then("each chain ran in no region in particular")
def step(context):
    assert {chain.region for _, _, chain in context.chains} == {""}


@then("no message crossed between the regions")
def step(context):
    assert not context.network.crossed(), context.network.crossed()


@then("each piece was made once")
def step(context):
    made = context.network.made
    assert made and set(made.values()) == {1}, made


@then("no piece was made")
def step(context):
    assert not context.network.made, context.network.made


@then("no piece was made twice")
def step(context):
    made = context.network.made
    assert all(count == 1 for count in made.values()), made


@then("each piece was made once, and no result is left but those returned")
def step(context):
    network = context.network
    made = network.made
    assert made and set(made.values()) == {1}, made
    assert network.stored == context.returned, network.stored ^ context.returned


@then("no piece was made twice, and no result is left")
def step(context):
    made = context.network.made
    assert all(count == 1 for count in made.values()), made
    assert not context.network.stored, context.network.stored


@then('its chain ran in "{region}"')
def step(context, region):
    assert not isinstance(context.outcome, StageSaturated), context.outcome
    assert context.outcome.region == region, context.outcome
    regions = {REGIONS[result.data_centre] for result in context.outcome.results}
    assert regions == {region}, regions
    assert_made_in(context.network, context.request_id, region)


@then("no delay was recorded for the queues of its own region")
def step(context):
    delays = context.entry.stages.stage_delays
    assert [delays.expected(service, 0.0) for service in SERVICES] == [0.0, 0.0]


@then('nothing of it waits in "{region}"')
def step(context, region):
    network = context.network
    for entry in network.entries.values():
        for queue_id, queue in entry.batches._queues.items():
            if queue_id.region != region:
                continue
            ids = [*queue.orders, *queue._bookings]
            own = [i for i in ids if i.startswith(f"{context.request_id}/")]
            assert not own, (entry.name, own)


@then("it is refused")
def step(context):
    assert isinstance(context.outcome, StageSaturated), context.outcome


@then('it is refused with the wait of "{region}"')
def step(context, region):
    assert context.outcome == StageSaturated(SERVICES[0], context.wait_ms[region]), (
        context.outcome
    )


@then('it is refused with the wait of "{region}" after at most {seconds:g} s')
def step(context, region, seconds):
    assert context.outcome == StageSaturated(SERVICES[0], context.wait_ms[region]), (
        context.outcome
    )
    assert context.took <= seconds, context.took


@then('an order of "{region}" is accepted there, and the same one borrowed is refused')
def step(context, region):
    network = context.network
    entry = network.entry(region)
    # Of the urgency and with the time that a chain's first stage has.
    borrowed, _ = network.place(
        entry, SERVICES[0], region, borrowed=True, start=CHAIN_START_SECONDS
    )
    assert isinstance(borrowed, StageSaturated), borrowed
    accepted, _ = network.place(entry, SERVICES[0], region, start=CHAIN_START_SECONDS)
    assert isinstance(accepted, OpenOrder), accepted


@then('it is accepted in "{region}" and not as borrowed')
def step(context, region):
    assert context.place.region == region, context.place
    assert not context.place.borrowed, context.place
    assert isinstance(context.outcome, OpenOrder), context.outcome


@then('the order is done by the next entry of "{region}"')
def step(context, region):
    network, opened = context.network, context.opened
    assert opened.finished and opened.fault is None, opened
    ranked = owner_ranking(
        StageQueue(SERVICES[0], region).ranking_key, network.eligible(region)
    )
    assert ranked[0] == context.killed, ranked
    assert opened.owner == ranked[1], opened
    assert {result.data_centre for result in opened.results} <= {
        centre for centre, of in REGIONS.items() if of == region
    }
