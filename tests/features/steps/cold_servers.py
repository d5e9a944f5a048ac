"""Steps on cold servers, simulated without processes."""

import random
from collections import deque

from behave import given, then, when

from boragestream.daemon.operator_values import OperatorValues
from boragestream.policy.cold_servers import ColdBound, ColdServers, senders
from boragestream.policy.servers import Server, ServerTable
from tests.standins.clock import SetClock

SERVICE = "engine"
FACTOR = 1.5
SLACK = 5.0
COLD_SECONDS = 3.0
TICK_SECONDS = 0.01


class Fleet:
    """Simulated entries that send requests to cold servers."""

    def __init__(self, count, bound):
        """Create the entries, each with all others in its set of live entries."""
        self.clock = SetClock()
        self.rng = random.Random(1)
        self.bound = bound
        self.names = [f"10.0.{n // 250}.{n % 250}:8741" for n in range(count)]
        # The live entries known to each entry, and whether it agrees with others on
        # them.
        self.known = dict.fromkeys(self.names, self.names)
        self.agreed = dict.fromkeys(self.names, True)
        self.cold = {name: self.new_cold_servers(name) for name in self.names}
        self.servers = [
            Server(
                f"s-{n}", SERVICE, f"10.1.0.{n}:80", "hall", f"{n}", cold_seconds=3.0
            )
            for n in range(9)
        ]
        self.arrivals = {server.name: [] for server in self.servers}
        self.rejected = 0
        self.announce()

    def new_cold_servers(self, name):
        """Return the cold servers of an entry that starts: an empty table."""
        return ColdServers(
            name,
            lambda service: self.bound,
            lambda server: senders(server, self.known[name]),
            lambda: self.agreed[name],
            self.clock,
        )

    def announce(self):
        """Inform all entries that the servers are cold."""
        for cold in self.cold.values():
            for server in self.servers:
                cold.take(server)

    def restart(self, name):
        """Restart an entry, which then reads that the servers are cold."""
        self.cold[name] = self.new_cold_servers(name)
        for server in self.servers:
            self.cold[name].take(server)

    def request(self, name):
        """Send a request to an entry, which routes it to a server or rejects it."""
        usable = self.cold[name].usable(self.servers)
        server = self.rng.choice(usable) if usable else None
        if server is None or not self.cold[name].admit(server):
            self.rejected += 1
            return
        self.arrivals[server.name].append(self.clock.now())

    def max_in_a_second(self):
        """Return the maximum number of requests to one server in any second."""
        maximum = 0
        for times in self.arrivals.values():
            within = deque()
            for at in times:
                within.append(at)
                while within[0] <= at - 1.0:
                    within.popleft()
                maximum = max(maximum, len(within))
        return maximum


def run(fleet, rate, seconds, restart_gap=None):
    """Send requests to each entry at random times.

    :param rate: the requests a second to each entry.
    :param restart_gap: the seconds between restarts of an entry; None for no restarts.
    """
    ticks = round(seconds / TICK_SECONDS)
    restart_at, number = 0.0, 0
    for tick in range(ticks):
        fleet.clock.seconds += TICK_SECONDS
        for name in fleet.names:
            if fleet.rng.random() < rate * TICK_SECONDS:
                fleet.request(name)
        if restart_gap is not None and tick * TICK_SECONDS >= restart_at:
            restart_at += restart_gap
            fleet.restart(fleet.names[number % len(fleet.names)])
            number += 1


def new_bound(rate, slack=SLACK):
    """Return the bound of a service's cold servers."""
    return ColdBound(rate, rate * FACTOR + slack, COLD_SECONDS)


@given(
    "{count:d} entries before 9 cold servers that tolerate {rate:g} requests a second"
)
def step(context, count, rate):
    context.fleet = Fleet(count, new_bound(rate))


@given(
    "{count:d} entries before 9 cold servers that tolerate {rate:g} requests a second "
    "with no slack"
)
def step(context, count, rate):
    context.fleet = Fleet(count, new_bound(rate, 0.0))


@given("{count:d} entries before 9 cold servers, and {lacking}")
def step(context, count, lacking):
    context.fleet = Fleet(count, None)


@given("{count:d} of the entries do not know the others, nor these them")
def step(context, count):
    fleet = context.fleet
    for name in fleet.names[:count]:
        fleet.known[name] = fleet.names[:count]
    for name in fleet.names[count:]:
        fleet.known[name] = fleet.names[count:]


@given("all of the entries have just started and have agreed with nobody")
def step(context):
    for name in context.fleet.names:
        context.fleet.known[name] = [name]
        context.fleet.agreed[name] = False


@given("one further server is warm")
def step(context):
    fleet = context.fleet
    fleet.servers = [*fleet.servers, Server("warm", SERVICE, "10.1.1.1:80", "hall")]
    fleet.warm_arrivals = []
    fleet.arrivals["warm"] = fleet.warm_arrivals


@when("each entry is given {rate:g} requests a second for {seconds:g} seconds")
def step(context, rate, seconds):
    run(context.fleet, rate, seconds)


@when(
    "each entry is given {rate:g} requests a second for {seconds:g} seconds, and one "
    "starts again every {gap:g} s"
)
def step(context, rate, seconds, gap):
    run(context.fleet, rate, seconds, gap)


@when("{seconds:g} seconds go by for the cold servers")
def step(context, seconds):
    context.fleet.clock.seconds += seconds


@then("no cold server gets more than {most:g} requests in any second")
def step(context, most):
    context.fleet.arrivals.pop("warm", None)
    assert context.fleet.max_in_a_second() <= most, context.fleet.max_in_a_second()


@then("each of them gets some")
def step(context):
    assert all(context.fleet.arrivals.values())


@then("some server gets more than {least:g} requests in a second")
def step(context, least):
    assert context.fleet.max_in_a_second() > least, context.fleet.max_in_a_second()


@then("no request is turned away")
def step(context):
    assert not context.fleet.rejected


@given("{count:d} entries before servers that say that they are warm")
def step(context, count):
    context.fleet = Fleet(count, new_bound(22.0))
    context.fleet.clock.seconds += COLD_SECONDS
    table = ServerTable()
    table.take_list(context.fleet.servers)
    context.cold = context.fleet.cold[context.fleet.names[0]]
    context.operators = OperatorValues(
        lambda text: None, table, context.cold, lambda: None, lambda: 0.0
    )


@when("their data centre is drained and taken back")
def step(context):
    context.operators.take({"op/evacuate/hall": b"{}"})
    context.operators.take({})


@then("they are cold for {seconds:g} seconds")
def step(context, seconds):
    fleet = context.fleet
    assert context.cold.count == len(fleet.servers)
    fleet.clock.seconds += seconds - TICK_SECONDS
    assert context.cold.count == len(fleet.servers)
    fleet.clock.seconds += 2 * TICK_SECONDS
    assert context.cold.usable(fleet.servers) == fleet.servers
