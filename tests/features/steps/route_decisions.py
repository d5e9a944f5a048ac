"""Steps that check decisions about forwarded calls; no process is started."""

import random
import threading

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.base.route_settings import ResourceSettings
from boragestream.document.calls import Piece, PromptPart, StageResult
from boragestream.document.routes import (
    CallerLimits,
    CallKind,
    Route,
    RouteAccount,
    RouteDocument,
    RouteTarget,
    key_digest,
)
from boragestream.entry.piece_messages import PiecesAnswer
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.publication import Change, Changes, Snapshot
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.queue_owners import eligible_entries, owner_ranking
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.route_table import (
    KeyUnknown,
    RoutesInForce,
    RouteUnknown,
    make_table,
)
from boragestream.policy.server_choice import (
    ServerChoice,
    results_data_centre,
    shared_part,
)
from boragestream.policy.servers import Server
from boragestream.policy.stage_delays import StageDelays
from boragestream.serving.owner_links import OwnerLinks
from boragestream.serving.piece_orders import PieceOrders
from tests.standins.clock import SetClock

LIMITS = CallerLimits(16384, 4096, 3.0, 15.0)


def route(text, public=False):
    """Return a route for ``host/prefix/``."""
    host, _, prefix = text.partition("/")
    target = RouteTarget("service")
    kind = CallKind.IDEMPOTENT
    return Route(text, host, f"/{prefix}", kind, (target,), 1.0, 0.1, public=public)


def document(routes=(), accounts=(), version=1):
    """Return a document of routes and accounts."""
    return RouteDocument(version, tuple(routes), (), tuple(accounts), LIMITS)


@given('routes "{routes}"')
def step(context, routes):
    context.published = make_table(document(map(route, routes.split(", "))), "digest")


@then('"{host}" "{path}" goes to "{name}"')
def step(context, host, path, name):
    found = context.published.route(host, path)
    assert isinstance(found, RouteUnknown) if name == "none" else found.name == name


@given('the versions "{offered}" are offered in this order')
def step(context, offered):
    context.routes = RoutesInForce(SetClock())
    for version in offered.split(", "):
        context.routes.offer(document(version=int(version)), version.encode())


@then("version {version:d} is in force")
def step(context, version):
    assert context.routes.current.version == version
    digest = context.routes.current.digest
    assert context.routes.text(digest) == str(version).encode()


@given('an account with the key "{key}" and a route that is "{kind}"')
def step(context, key, kind):
    account = RouteAccount("account", frozenset({key_digest(key)}))
    context.route = route("a.example/", public=kind == "public")
    context.published = make_table(document([context.route], [account]), "digest")


@then('the key "{key}" is "{verdict}"')
@then('the key "" is "{verdict}"')
def step(context, verdict, key=""):
    found = context.published.account(context.route, key)
    if verdict == "refused":
        assert isinstance(found, KeyUnknown)
    elif verdict == "anonymous":
        assert found is None
    else:
        assert found.name == "account"


@given("a bound of {share:g} and {slack:d} in {seconds:d} s over {entries:d} entries")
def step(context, share, slack, seconds, entries):
    context.clock = SetClock()
    bounds = RetryBounds(share, seconds, slack)
    context.windows = RetryWindows(context.clock.now, lambda: bounds, lambda: entries)


@when("{count:d} requests come")
def step(context, count):
    for _ in range(count):
        context.windows.note_request("service")


@when("the window moves on by {seconds:d} seconds")
def step(context, seconds):
    context.clock.seconds += seconds


@then("{count:d} repeats may be sent and no more")
def step(context, count):
    sent = 0
    while sent < 1000 and context.windows.spend("service"):
        sent += 1
    assert sent == count, sent


# How long no entry has an answer of the store. A refusal of this entry alone lasts for
# less than a pause; servers lapse in an outage only.
SILENCE_SECONDS = {"refusal": 0.6, "pause": 2.8, "outage": 8.0}


@given('a published table with "{keys}"')
def step(context, keys):
    context.clock = SetClock()
    context.published = PublishedTable(context.clock.now, bound_seconds=3.0)
    context.answered_at = context.clock.now()
    values = {key: key.encode() for key in keys.split(", ")}
    context.published.apply_answer(Snapshot(1, values))


@when('"{events}" happen')
def step(context, events):
    table = context.published
    for event in events.split(", "):
        verb, _, key = event.partition(" ")
        if verb in SILENCE_SECONDS:
            context.clock.seconds += SILENCE_SECONDS[verb] / 2
            table.note_failure()
            context.clock.seconds += SILENCE_SECONDS[verb] / 2
        elif verb.endswith("-told"):
            seconds = SILENCE_SECONDS[verb.removesuffix("-told")]
            context.clock.seconds += seconds
            table.note_peer_failure(context.clock.now() - seconds / 2)
        elif verb in ("answer", "heard"):
            # The answer to this entry, or word of another entry that had one.
            table.note_answer(context.clock.now(), context.answered_at)
            context.answered_at = context.clock.now()
        elif verb == "wait":
            context.clock.seconds += float(key)
            table.drop_expired()
        elif verb == "snapshot":
            table.apply_answer(Snapshot(table.revision + 1, {key: key.encode()}))
        else:
            value = key.encode() if verb == "put" else None
            revision = table.revision + 1
            table.apply_answer(Changes(revision, (Change(key, revision, value),)))


@then('the table holds "{keys}"')
def step(context, keys):
    assert sorted(context.published.values) == keys.split(", "), (
        context.published.values
    )


@given("{count:d} engines of which none has work")
def step(context, count):
    clock = SetClock()
    context.engines = [
        Server(f"e-{n}", "engines", f"10.0.0.{n}:80", f"hall-{n % 3}", f"e-{n}")
        for n in range(count)
    ]
    loads = LoadTable(clock, random.Random(1))
    context.choice = ServerChoice(loads, clock, "hall-0")


def prompt(shared, own):
    """Return a prompt of a common part, a shared part and an individual part."""
    parts = (("all", 100), (shared, 3000), (own, 900))
    return tuple(PromptPart(identity, tokens) for identity, tokens in parts)


def engine_for(context, shared, own):
    """Return the engine chosen for a prompt."""
    part = shared_part(prompt(shared, own))
    return context.choice.engine(context.engines, part)


@then("{count:d} prompts with the same shared part and other ends go to one engine")
def step(context, count):
    chosen = {engine_for(context, "shared", f"own-{n}").name for n in range(count)}
    assert len(chosen) == 1, chosen
    context.engine = engine_for(context, "shared", "own")


@then("prompts with {count:d} shared parts go to all of them")
def step(context, count):
    chosen = {engine_for(context, f"part-{n}", "own").name for n in range(count)}
    assert len(chosen) == len(context.engines), chosen


@when("that engine has far more calls than the others")
def step(context):
    for _ in range(10):
        context.choice.open_calls.begin(context.engine)


@then("the next prompt with the same shared part goes to another one")
def step(context):
    assert engine_for(context, "shared", "own").name != context.engine.name


@then('a call that reads {size:d} bytes in "{centre}" runs in "{expected}"')
def step(context, size, centre, expected):
    near = results_data_centre([StageResult("handle", centre, float(size))])
    for number in range(50):
        engine = context.choice.engine(context.engines, f"part-{number}", near)
        assert engine.data_centre == expected


@then('a call that reads {size:d} bytes in "{centre}" may run anywhere')
def step(context, size, centre):
    near = results_data_centre([StageResult("handle", centre, float(size))])
    engines = [
        context.choice.engine(context.engines, f"part-{number}", near)
        for number in range(50)
    ]
    assert len({engine.data_centre for engine in engines}) == 3


@then("any order of the same entries gives the same owner, and another when it is gone")
def step(context):
    entries = [f"10.0.0.{n}:80" for n in range(6)]
    owner, second, *_ = owner_ranking("service", entries)
    assert owner_ranking("service", entries[::-1])[0] == owner
    assert owner_ranking("service", [e for e in entries if e != owner])[0] == second


@given("a service whose stages usually take {seconds:g} s")
def step(context, seconds):
    context.clock = SetClock()
    context.usual = seconds
    context.delays = StageDelays(context.clock.now)


@when("one of its stages takes {seconds:g} s")
def step(context, seconds):
    context.delays.record("service", seconds, context.usual)


@when("{count:d} more take {seconds:g} s each")
def step(context, count, seconds):
    for _ in range(count):
        context.delays.record("service", seconds, context.usual)


@when("nothing is measured for {seconds:g} s")
def step(context, seconds):
    context.clock.seconds += seconds


@then("its next one is expected to take {seconds:g} s")
def step(context, seconds):
    expected = context.delays.expected("service", context.usual)
    assert abs(expected - seconds) < 0.001, expected


@then("its next one is expected to take more than {seconds:g} s")
def step(context, seconds):
    assert context.delays.expected("service", context.usual) > seconds


@then('of entries with the capacities "{capacities}" those that can own are "{able}"')
def step(context, capacities, able):
    entries = [
        ListedEntry(str(n), "host", str(n), "hall", capacity=float(capacity))
        for n, capacity in enumerate(capacities.split(", "))
    ]
    assert eligible_entries(entries) == able.split(", ")


@then(
    "{share:g} of a core {speed:g} times as fast behind {mbps:g} Mbit/s are worth "
    "{capacity:g}"
)
def step(context, share, speed, mbps, capacity):
    resources = ResourceSettings(cpu_share=share, cpu_speed=speed, link_mbps=mbps)
    assert abs(resources.capacity - capacity) < 1e-9


class RecordingLinks:
    """Links that accept every order and record the entry that it was sent to."""

    def __init__(self):
        """Initialise without any recorded entries."""
        self.addresses = []

    def ask(self, address, message, seconds):
        """Accept an order."""
        self.addresses.append(address)
        return PiecesAnswer(taken=True)


def place(context, order_id):
    """Place an order; return it with its cancel scope."""
    piece = Piece("r-1", 0, 0, "key", ())
    order = PieceOrder(order_id, "service", (piece,), 1.0, 0, False)
    scope = CancelScope(context.clock.seconds + 100)
    return context.orders.begin(order, 0.0, scope, threading.Event()), scope


@given('an entry that placed an order when "{name}" was the only other entry')
def step(context, name):
    context.clock = SetClock()
    context.live = [name]
    context.links = RecordingLinks()
    links, clock = context.links, context.clock
    owners = OwnerLinks("own", lambda region: list(context.live), links, clock)
    context.orders = PieceOrders(owners, context.clock)
    context.order, context.scope = place(context, "order-1")
    assert context.links.addresses == [name]


@when('entries come that rank before "{name}"')
def step(context, name):
    context.live += [f"entry-{number}" for number in range(20)]
    assert owner_ranking("service", context.live)[0] != name


@then('the order is asked after at "{name}", and a new one elsewhere')
def step(context, name):
    context.clock.seconds += 1.0
    assert context.orders.check_owner(context.order, context.scope) is None
    assert context.links.addresses[-1] == name
    place(context, "order-2")
    assert context.links.addresses[-1] != name


@when('"{name}" is gone')
def step(context, name):
    context.live.remove(name)


@then("the order is asked after elsewhere")
def step(context):
    context.clock.seconds += 1.0
    context.orders.check_owner(context.order, context.scope)
    assert context.links.addresses[-1] in context.live
