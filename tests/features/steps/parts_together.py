"""Steps on shares, regions, drains and cold servers together."""

import itertools
import threading
import time
from collections import Counter

from behave import given, then, when

from boragestream.base.failures import AccountOverShare
from boragestream.entry.piece_messages import PiecesBook, PiecesOrder
from boragestream.policy.account_shares import Surplus
from boragestream.policy.cold_servers import ColdBound
from boragestream.policy.queue_shares import QueueShares
from boragestream.serving.piece_failures import PieceFailed
from tests.features.steps.drained_entries import ask, gauge
from tests.standins.fleet import wait_until
from tests.standins.region_load import REGION_PIECES, RegionLoad
from tests.standins.stage_network import SERVICES, StageNetwork

LOAD = 0.6
ACCOUNTS = 8
# Longer than a new owner needs for the weights of the accounts.
CALM_SECONDS = 10.0
SURGE_SECONDS = 5.0
# All requests that came have ended after this.
END_SECONDS = 4.0
COLD_SECONDS = 60.0
CUTS = {
    "from valley to hills": {("valley", "hills")},
    "from hills to valley": {("hills", "valley")},
    "in both directions": {("valley", "hills"), ("hills", "valley")},
}


@given(
    "two regions under the load of {count:d} accounts, at {load:g} of their capacity"
)
def step(context, count, load):
    assert (count, load) == (ACCOUNTS, LOAD)
    begin(context, RegionLoad(), REGION_PIECES)


@given(
    "two regions under the load of {count:d} accounts with one stage, at {load:g} of "
    "their capacity"
)
def step(context, count, load):
    assert (count, load) == (ACCOUNTS, LOAD)
    begin(context, RegionLoad(stages=SERVICES[:1]), REGION_PIECES)


@given('two regions under the load of {count:d} accounts, where in "valley" {servers}')
def step(context, count, servers):
    assert count == ACCOUNTS
    centre = servers.split('"')[1] if '"' in servers else ""
    if "cold" in servers:
        rate = float(servers.split()[-2])
        bound = ColdBound(rate, 1.5 * rate + 5.0, COLD_SECONDS)
        load = RegionLoad(cold_bound=bound)
        for entry in load.entries.values():
            entry.cold.assume_cold(s for s in load.servers if s.region == "valley")
        # Each of the four owners may send each server 1.125 calls a second.
        begin(context, load, 18.0)
        return
    load = RegionLoad()
    if "drained" in servers:
        load.drained.add(centre)
    if "lost" in servers:
        load.lost.add(centre)
    begin(context, load, REGION_PIECES / 2 if centre else REGION_PIECES)


def begin(context, load, pieces):
    """Let accounts send their typical demand, which ``valley`` serves easily."""
    context.network = load
    each = {
        "valley": LOAD * pieces / ACCOUNTS,
        "hills": LOAD * REGION_PIECES / ACCOUNTS,
    }
    context.rates = {
        (region, f"a{n}"): rate
        for region, rate in each.items()
        for n in range(ACCOUNTS)
    }
    load.run(CALM_SECONDS, context.rates)
    assert not any(one.is_surplus for one in load.ended)


@when('account "{account}" sends {factor:g} times its demand in "{regions}"')
def step(context, account, factor, regions):
    surge(context, account, factor, regions)


@when(
    'account "{account}" sends {factor:g} times its demand in "{regions}" and messages '
    "{cut} are lost"
)
def step(context, account, factor, regions, cut):
    context.network.cut = CUTS[cut]
    surge(context, account, factor, regions)


@when(
    'all accounts send {factor:g} times their demand in "{busy}", and account '
    '"{account}" as much in "{idle}"'
)
def step(context, factor, busy, account, idle):
    context.rates = {
        key: rate * factor if key[0] == busy else rate
        for key, rate in context.rates.items()
    }
    surge(context, account, factor, idle)


@then('no request of "{region}" is refused')
def step(context, region):
    ended = context.network.ended
    refused = [o for o in ended if o.region == region and not o.answered]
    assert not refused, refused


@then('loans of "{region}" were refused')
def step(context, region):
    lent = {o.request_id for o in context.network.ended if o.answered}
    offered = {
        message.order_id.partition("/")[0]
        for _, receiver, message in context.network.crossed()
        if isinstance(message, PiecesOrder | PiecesBook)
        and context.network.region_of(receiver) == region
    }
    assert offered - lent


def surge(context, account, factor, regions):
    """Let one account send a multiple of its demand for some time."""
    load, context.account = context.network, account
    context.surge_at = load.clock.now()
    raised = {(region, account) for region in regions.split(", ")}
    rates = {k: r * factor if k in raised else r for k, r in context.rates.items()}
    load.run(SURGE_SECONDS, rates)
    context.surge_until = load.clock.now()
    load.run(END_SECONDS, {})


@then('its surplus is refused in "{regions}" and no other account\'s is')
def step(context, regions):
    refused = {(o.region, o.account) for o in context.network.ended if o.is_surplus}
    assert refused == {(r, context.account) for r in regions.split(", ")}, refused


@then("no surplus was offered to the other region")
def step(context):
    network = context.network
    offered = {
        message.order_id
        for _, _, message in network.crossed()
        if isinstance(message, PiecesOrder | PiecesBook)
    }
    refused = {one.request_id for one in network.ended if one.is_surplus}
    held = offered & network.surplus_orders
    assert not held, held
    offered_again = refused & {order_id.partition("/")[0] for order_id in offered}
    assert not offered_again, offered_again


@then("the other accounts of both regions are served")
def step(context):
    found = context.network.attainment(context.surge_at, context.surge_until)
    for region in ("valley", "hills"):
        of = [v for k, v in found.items() if k[0] == region and k[1] != context.account]
        assert sum(of) / len(of) >= 0.95, found


@then(
    '{pieces:g} pieces a second were divided in "{region}", or {more:g} more while a '
    "lost server is tried"
)
def step(context, pieces, region, more):
    divided = Counter(round(p, 6) for p in context.network.divided[region])
    assert set(divided) <= {pieces, pieces + more}, divided
    assert divided.most_common(1)[0][0] == pieces, divided


@given('two regions that count account "{account}" as beyond its share')
def step(context, account):
    class Shares(QueueShares):
        """Shares in a shortage, with spare capacity, that one account exceeds."""

        def record(self, request, now):
            """Find a shortage."""
            super().record(request, now)
            return True

    def new_shares():
        shares = Shares()
        found = Surplus(account, 1.0, 8.0, 1.0, 1.0)
        for divided in (shares.accounts, shares._borrowers):
            divided.take = lambda name, *more, **options: (
                found if name == account else None
            )
            divided.retry_after = lambda *more: found.wait_seconds
        return shares

    class Network(StageNetwork):
        """Entries with these shares."""

        def new_shares(self, region=""):
            """Return the shares of a new queue."""
            return new_shares()

    context.network = Network()
    context.returned = set()


def request(context, account, region, stages=1):
    """Have a request of an account come to an entry that owns no queue."""
    network = context.network
    owners = {network.owner(service, region).name for service in SERVICES}
    entries = network.entries.values()
    entry = next(e for e in entries if e.region == region and e.name not in owners)
    network.sent.clear()
    context.request_id, context.outcome = network.request(
        entry, SERVICES[:stages], account=account
    )


@when('a request of account "{account}" and {stages:d} stages comes to "{region}"')
def step(context, account, stages, region):
    request(context, account, region, stages)


@when(
    'a request of account "{account}" comes to "{region}" and its order is dropped '
    "there"
)
def step(context, account, region):
    owner = context.network.owner(SERVICES[0], region)
    running = threading.Thread(target=request, args=(context, account, region))
    running.start()

    def ended():
        owner.batches.update_queues()
        return not running.is_alive()

    wait_until(ended, what="a dropped order")


@then("it is refused, although its region had accepted it")
def step(context):
    assert isinstance(context.outcome, PieceFailed), context.outcome


@then('it is refused as surplus of "{account}"')
def step(context, account):
    assert isinstance(context.outcome, AccountOverShare), context.outcome
    assert context.outcome.account == account


@given(
    'servers of each kind in "{zone}" besides, of which the engine is cold for '
    "{seconds:g} s"
)
def step(context, zone, seconds):
    site = context.site
    for kind in ("plain", "engine", "stage"):
        site.add_server(kind, zone)
    site.list(site.of_kind("engine")[-1], cold_ms=1000 * seconds)
    for entry in site.entries:
        wait_until(
            lambda e=entry: gauge(context, "cold_servers", e) == 1,
            what=f"{entry} knows the cold engine",
        )


@given('requests that go on at "{one}" and "{other}"')
def step(context, one, other):
    context.going_on, context.answers = True, []

    def call(entry):
        for path in itertools.cycle(("/safe/ok", "/chat/ok", "/staged/ok")):
            if not context.going_on:
                return
            began = time.monotonic()
            context.answers.append((began, ask(context, path, entry)))

    context.callers = [threading.Thread(target=call, args=(e,)) for e in (one, other)]
    for caller in context.callers:
        caller.start()
    wait_until(lambda: len(context.answers) > 12, what="some answers")


@when('data centre "{lost}" is lost as the order to drain "{drained}" comes')
def step(context, lost, drained):
    site = context.site
    site.drain(drained)
    for server in site.servers:
        if server.zone == lost:
            server.lose()
    entries = [n for n in site.entries if site.fields[n]["zone"] == lost]
    for name in entries:
        site.kill(name)
        del site.entries[name]
    context.lost_at = time.monotonic()
    for name in site.entries:
        wait_until(
            lambda n=name: gauge(context, "drained_centres", n) == 1,
            what=f"{name} drains {drained}",
        )
    context.drain_known_at = time.monotonic()


@then('the cold engine in "{zone}" runs requests of "{entry}", of the same region')
def step(context, zone, entry):
    engine = next(s for s in context.site.of_kind("engine") if s.zone == zone)
    wait_until(
        lambda: engine.runs[ask(context, "/chat/ok", entry).request_id],
        what=f"{entry} uses {engine.identity}",
    )


@when("the requests that went on have been answered")
def step(context):
    context.going_on = False
    for caller in context.callers:
        caller.join()


def reached(context, zone):
    """Return the ids of the requests that servers of a zone were sent."""
    servers = [server for server in context.site.servers if server.zone == zone]
    calls = {request_id for server in servers for _, request_id in server.calls}
    return calls | {key[0] for server in servers for key in server.pieces}


@then(
    'those that began after the loss ran in "{zone}", or nowhere with a time to return'
)
def step(context, zone):
    site, drained = context.site, reached(context, "hall-b")
    statuses = Counter()
    for began, answer in context.answers:
        if began < context.lost_at:
            continue
        statuses[answer.status] += 1
        if answer.status == 200:
            assert answer.whole and site.runs(answer.request_id) == 1
            # Until an entry knows of the drain, it may use the drained servers.
            used = reached(context, zone) | drained
            assert answer.request_id in used, answer.request_id
        else:
            assert answer.status == 503, (answer.status, answer.body)
            assert float(answer.headers["Retry-After"]) > 0, answer.headers
            assert not site.runs(answer.request_id)
    assert statuses[200], statuses


@then('those that began after the drain was known reached no server in "{zone}"')
def step(context, zone):
    late = {a.request_id for at, a in context.answers if at > context.drain_known_at}
    assert late and not late & reached(context, zone)
