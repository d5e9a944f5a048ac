"""Steps on the choice of servers, with a simulated clock and seeded randomness."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from boragestream.policy.affinity import AffinityTable, prefix_key
from boragestream.policy.candidates import RoutingNeed
from boragestream.policy.easing import EASE_SECONDS, eased_share
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.reports import LoadReport
from boragestream.policy.routing import Location, routing_policies
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock

USUAL_SECONDS = 0.01
CHOICES = 400


def new_server(number):
    """Return a server of the service, named by a number."""
    return Server(f"s-{number}", "pool", f"127.0.0.1:{number + 1}", "here")


@given("{count:d} servers of one service")
def step(context, count):
    context.clock = SetClock()
    rng = random.Random(5)
    context.servers = tuple(new_server(number) for number in range(count))
    context.loads = LoadTable(context.clock, rng)
    context.loads.take_list(context.servers)
    home = Location("here", "east")
    policies = routing_policies(context.loads, context.clock, rng, lambda: home)
    context.policy = policies["expected-finish"]
    context.prefix = None


def named(context, name):
    """Return a server by its name."""
    return next(s for s in context.servers if s.name == name)


def choose(context, without=()):
    """Return the server that the policy chooses for an attempt."""
    need = RoutingNeed(frozenset(), context.prefix, without)
    return context.policy.choose(context.servers, need)


def choices(context, without=()):
    """Return how often each server is chosen while the loads stay the same."""
    return Counter(choose(context, without).name for _ in range(CHOICES))


@when('{count:d} calls run one by one and "{slow}" takes {factor:d} times as long')
@when("{count:d} calls run one by one")
def run_calls(context, count, slow="", factor=1):
    """Run calls one after the other and count them by server."""
    context.got = Counter()
    for _ in range(count):
        server = choose(context)
        context.got[server.name] += 1
        call = context.loads.begin(server)
        seconds = USUAL_SECONDS * (factor if server.name == slow else 1)
        context.clock.seconds += seconds
        context.loads.end(server, call, CallEnd.ANSWERED, seconds)


@when("{count:d} calls begin and none ends")
@when("{count:d} calls with one prefix begin and none ends")
def step(context, count):
    for _ in range(count):
        context.loads.begin(choose(context))


@when("streams begin as long as there is room, on servers that report {slots:d} slots")
def step(context, slots):
    while (server := choose(context)) is not None:
        context.loads.begin(server)
        busy = context.loads.get(server).in_progress
        context.loads.note_report(server, LoadReport(busy, slots), lasting=True)


@then("each server has {streams:d} streams")
def step(context, streams):
    begun = [context.loads.get(server).in_progress for server in context.servers]
    assert begun == [streams] * len(context.servers), begun


@when('a call on "{name}" has been open for {seconds:g} s')
def step(context, name, seconds):
    context.loads.begin(named(context, name))
    context.clock.seconds += seconds


@when("{count:d} calls with one prefix run one by one")
def step(context, count):
    context.prefix = prefix_key("model", "Dear members of the cooperative")
    run_calls(context, count)


@when('"{name}" stays {factor:d} times as slow for {seconds:d} s of calls')
def step(context, name, factor, seconds):
    context.halves = []
    for _ in range(2):
        until = context.clock.seconds + seconds / 2
        count = 0
        while context.clock.seconds < until:
            run_calls(context, 50, name, factor)
            count += context.got[name]
        context.halves.append(count)


@then("its later 30 s have at most half of the calls of its first")
def step(context):
    first, later = context.halves
    assert 0 < later <= first / 2, context.halves


@then("one server got all of them")
def step(context):
    assert len(context.got) == 1, context.got


@when("the table is {seconds:d} s older")
def step(context, seconds):
    context.clock.seconds += seconds


@then("no server has more than {most:d} calls")
def step(context, most):
    calls = [context.loads.get(s).in_progress for s in context.servers]
    assert max(calls) <= most, calls


@then('"{name}" got less than {count:d} of them')
def step(context, name, count):
    assert context.got[name] < count, context.got


@then('"{name}" got at least {count:d} of them')
def step(context, name, count):
    assert context.got[name] >= count, context.got


@given('every server but "{name}" reports {calls:d} calls on {slots:d} slots')
def step(context, name, calls, slots):
    for server in context.servers:
        busy = calls if server.name != name else 0
        context.loads.note_report(server, LoadReport(busy, slots))


@then('"{name}" is chosen always among those sampled with it')
def step(context, name):
    # Half of the eight servers are sampled each time.
    assert choices(context)[name] > CHOICES * 0.4, choices(context)


@then("every server is chosen at times")
def step(context):
    assert len(choices(context)) == len(context.servers), choices(context)


@when('"{name}" can\'t be reached')
def step(context, name):
    fail(context, named(context, name))


def fail(context, server):
    """Record a call that could not reach a server."""
    call = context.loads.begin(server)
    context.loads.end(server, call, CallEnd.UNREACHED, 0.001)


@when("no server can be reached")
def step(context):
    for server in context.servers:
        fail(context, server)


@then('"{name}" is never chosen')
def step(context, name):
    assert name not in choices(context), choices(context)


@then("some server is still chosen")
def step(context):
    assert choices(context).total() == CHOICES


@when('a call begins on "{name}"')
def step(context, name):
    context.call = context.loads.begin(named(context, name))


@when('the call on "{name}" is answered')
def step(context, name):
    end = CallEnd.ANSWERED
    context.loads.end(named(context, name), context.call, end, USUAL_SECONDS)


def share(context, name):
    """Return the eased share of a server."""
    eased_from = context.loads.get(named(context, name)).eased_from
    return eased_share(eased_from, context.clock.now())


@then('"{name}" has a small share that grows to its whole one in {seconds:d} seconds')
def step(context, name, seconds):
    assert seconds == EASE_SECONDS
    few = choices(context)[name]
    assert few < CHOICES / len(context.servers) / 2, few
    shares = []
    for _ in range(seconds + 1):
        shares.append(share(context, name))
        context.clock.seconds += 1
    assert shares == sorted(set(shares)) and shares[-1] == 1.0, shares


@then('"{name}" has its whole share')
def step(context, name):
    assert share(context, name) == 1.0


@when('"{name}" is added to the list')
def step(context, name):
    number = int(name.removeprefix("s-"))
    context.servers = (*context.servers, new_server(number))
    context.loads.take_list(context.servers)


@when("the last server is taken off the list")
def step(context):
    table = AffinityTable()
    keys = [prefix_key("model", f"prompt {number}") for number in range(CHOICES)]

    def preferred():
        return [table.preferred(context.servers, key, 1)[0].name for key in keys]

    context.before = preferred()
    context.servers = context.servers[:-1]
    context.after = preferred()


@then("only prefixes of that server prefer another one than before")
def step(context):
    pairs = zip(context.before, context.after, strict=True)
    moved = {before for before, after in pairs if before != after}
    assert moved == {"s-7"}, moved


@given("the servers are in two regions in turn and idle")
def step(context):
    context.servers = tuple(
        replace(s, region=("east", "west")[i % 2], data_centre=f"centre-{i % 2}")
        for i, s in enumerate(context.servers)
    )
    run_calls(context, 100)


def regions(context):
    """Return the regions of the chosen servers."""
    return {named(context, name).region for name in choices(context)}


@then("all choices are in the own region")
def step(context):
    # One in seventy samples of four has no server of the entry's own region.
    far = sum(n for s, n in choices(context).items() if int(s[-1]) % 2)
    assert far < CHOICES / 20, far


@when("the servers of the own region take {factor:d} times as long")
def step(context, factor):
    for server in context.servers[::2]:
        load = context.loads.get(server)
        load.seconds = USUAL_SECONDS * factor
        load.seconds_at = context.clock.now()


@then("some choices are in the other region")
def step(context):
    assert "west" in regions(context), regions(context)


@given('"{name}" alone is {state}')
def step(context, name, state):
    server = named(context, name)
    load = context.loads.get(server)
    if state == "failing":
        fail(context, server)
    if state == "full":
        load.limit = 1.0
        for other in context.servers:
            context.loads.begin(other)
            context.loads.note_report(other, LoadReport(1, 8))
    if state == "new":
        load.eased_from = context.clock.now()
    if state == "reported":
        context.loads.note_report(server, LoadReport(7, 8))


@then('without "{mechanism}" "{name}" is chosen at times')
def step(context, mechanism, name):
    context.usual = choices(context, (mechanism,))[name]
    assert context.usual > 0


@then('with "{mechanism}" "{name}" is chosen less than half as often')
def step(context, mechanism, name):
    assert choices(context)[name] * 2 < context.usual, choices(context)
