"""Steps on the choice of connections that are closed when others go short."""

from dataclasses import dataclass

from behave import given, then

from boragestream.caller.pace import Pace
from boragestream.caller.slow_connections import is_slow, oldest_idle, slowest_first

NOW = 1000.0


@dataclass
class Connection:
    """A connection as far as the choice looks at it."""

    unread_bytes: int = 0
    read: int = 0
    seconds: float = 0.0
    name: str = ""
    account: str = ""
    deadline: float = 0.0
    progress_at: float = 0.0
    last_activity: float = 0.0
    serving: bool = False

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
            int(row["unread"]), int(row["read"]), seconds, row["name"], row["account"]
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
