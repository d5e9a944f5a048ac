"""Steps on the choice of connections that are closed when others go short."""

from dataclasses import dataclass
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.memory_budget import MemoryKind
from boragestream.caller.pace import Pace
from boragestream.caller.slow_connections import is_slow, oldest_idle, slowest_first
from tests.standins.callers_memory import caller_memory
from tests.standins.clock import SetClock

NOW = 1000.0
MEMORY_BYTES = 1_000_000


@dataclass
class Connection:
    """A connection as far as the choice looks at it."""

    unread_bytes: int = 0
    read: int = 0
    seconds: float = 0.0
    name: str = ""
    request_id: str = ""
    account: str = ""
    deadline: float = 0.0
    progress_at: float = 0.0
    last_activity: float = 0.0
    serving: bool = False
    held_up: bool = False

    @property
    def pace(self):
        """What was observed."""
        pace = Pace()
        pace.mark(NOW - self.seconds, 0)
        return pace

    @property
    def held_bytes(self):
        """What is held."""
        return self.unread_bytes

    def seconds_observed(self, now):
        """Return for how long it was observed."""
        return self.pace.seconds_observed(now)

    def seconds_left(self, now):
        """Return how long it will hold its bytes."""
        return self.pace.seconds_for(self.unread_bytes, now, self.read)


@given("a caller that had {unread:d} bytes unread for {seconds:g} s and read {read:d}")
def step(context, unread, seconds, read):
    context.connection = Connection(unread - read, read, seconds)


@given("its request can be answered for {left:g} s more")
def step(context, left):
    context.connection.deadline = NOW + left


@then("its connection is {slow}")
def step(context, slow):
    assert is_slow(context.connection, NOW) is (slow == "slow")


@given("these callers, observed for {seconds:g} s")
def step(context, seconds):
    context.connections = [
        Connection(
            int(row["unread"]),
            int(row["read"]),
            seconds,
            row["name"],
            account=row["account"],
        )
        for row in context.table
    ]


@then('they are closed in the order "{names}"')
def step(context, names):
    order = [each.name for each in slowest_first(context.connections, NOW)]
    assert order == names.split(", "), order


@given(
    "connections that were last active {ages} s ago, the third one in use",
)
def step(context, ages):
    seconds = [float(age) for age in ages.replace(" and", ",").split(", ")]
    context.connections = [Connection(last_activity=NOW - age) for age in seconds]
    context.connections[2].serving = True


@then("the 2 to close are those of {first:g} and {second:g} s ago")
def step(context, first, second):
    chosen = [
        NOW - each.last_activity for each in oldest_idle(context.connections, 2, NOW)
    ]
    assert [round(age, 3) for age in chosen] == [first, second], chosen


class HoldingConnection(Connection):
    """A connection whose caller reads nothing, and whose output is charged."""

    def hold(self, memory, size):
        """Charge the output."""
        self.unread_bytes, self.seconds, self.last_activity = size, 3.0, NOW
        self.output = memory.charge(MemoryKind.OUTPUT)
        self.output.set(size)

    closed = False
    requests = ()
    discards_too_long = False

    def count_kernel_bytes(self):
        """Do nothing: all is counted."""

    def follow(self):
        """Do nothing: all is observed."""

    def abandon(self):
        """Return what is held."""
        self.closed = True
        self.output.release()


@given("{count:d} slow callers, each of which holds a tenth of the memory")
def step(context, count):
    context.excess = 0
    context.memory = memory = caller_memory(
        SetClock(NOW), MEMORY_BYTES, lambda: context.excess
    )
    connections = {number: HoldingConnection() for number in range(count)}
    for connection in connections.values():
        connection.hold(memory, MEMORY_BYTES // 10)
    server = SimpleNamespace(
        active_channels=connections,
        adj=SimpleNamespace(connection_limit=10 * count, channel_timeout=60),
        _map=connections,
        readable=lambda: True,
        accept=lambda: None,
    )
    context.server = server
    server.pull_trigger = lambda: server.readable()
    memory.attach(server)


@when("a thread has output that waits for memory")
def step(context):
    context.memory.free_unread()


@then("slow callers hold half of the memory")
def step(context):
    assert context.memory.budget.total == MEMORY_BYTES // 2


@given("the streams of {count:d} of them wait until they read")
def step(context, count):
    for connection in list(context.server.active_channels.values())[:count]:
        connection.held_up = True


@when("{count:d} requests have to end for others to begin")
def step(context, count):
    context.excess = count
    context.server.maintenance(NOW)


@then("{count:d} of the {all:d} streams are closed, and no other connection")
def step(context, count, all):
    connections = context.server.active_channels.values()
    closed = [each.held_up for each in connections if each.closed]
    assert closed == [True] * count, closed
