"""Steps on entries that start anew, without a process."""

from types import SimpleNamespace

from behave import given, then, when

from boragestream.entry.limits import pack_limit
from boragestream.entry.permit_messages import PermitAsk, PermitReturn
from boragestream.entry.seat_messages import SeatAsk, SeatReturn
from boragestream.policy.granters import SETTLED_SECONDS
from boragestream.policy.limit_records import LimitRecord, server_key
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock
from tests.standins.limits import lone_limits, lone_seats

SERVER = Server("s-1", "engine", "10.9.0.1:80", "hall", "1", slots=4)
ENVELOPE = SimpleNamespace(sender="other")
HOLD_MS = 60_000
# More than an entry grants at one moment.
MANY = 20
LIMIT_HUNDREDTHS = 100
START_SECONDS = 3.0


class PermitGranter:
    """An entry that grants permits, and asks for them by messages of another entry."""

    def __init__(self, clock):
        """Start."""
        self.permits = lone_limits(clock).permits

    def take(self):
        """Return the number of a permit; 0 if it is refused."""
        record = LimitRecord(server_key(SERVER), 1, LIMIT_HUNDREDTHS)
        limit = pack_limit(record, 0.0)
        place = (SERVER.name, SERVER.host, SERVER.incarnation, SERVER.service)
        message = PermitAsk(*place, limit, 0, SERVER.data_centre)
        return self.permits.answer(ENVELOPE, message).number

    def give_back(self, number):
        """Return a permit."""
        self.permits.answer_return(ENVELOPE, PermitReturn(number))


class SeatGranter:
    """An entry that grants seats, and asks for them by messages of another entry."""

    def __init__(self, clock):
        """Start."""
        self.seats = lone_seats(lone_limits(clock), clock).seats

    def take(self, unseated=0):
        """Return the number of a seat; 0 if it is refused."""
        place = (SERVER.name, SERVER.host, SERVER.incarnation, SERVER.service)
        record = (SERVER.service, 1, SERVER.slots)
        centre, slots = SERVER.data_centre, SERVER.slots
        message = SeatAsk(*place, centre, record, slots, HOLD_MS, unseated)
        return self.seats.answer(ENVELOPE, message).number

    def give_back(self, number):
        """Return a seat."""
        self.seats.answer_return(ENVELOPE, SeatReturn(number))


GRANTERS = {"permit": PermitGranter, "seat": SeatGranter}


def start_granter(context):
    """Start an entry that grants, and let it settle."""
    granter = GRANTERS[context.right](context.clock)
    # An entry ranks itself as of its first look.
    granter.take()
    context.clock.seconds += SETTLED_SECONDS
    return granter


@given("an entry that grants {right}s, and another that holds {count:d} of them")
def step(context, right, count):
    context.clock, context.right = SetClock(), right
    granter = start_granter(context)
    context.held = [granter.take() for _ in range(count)]
    assert sum(map(bool, context.held)) >= count - 1, context.held


@when("the granting entry starts anew and has granted all that it may")
def step(context):
    context.granter = start_granter(context)
    granted = [context.granter.take() for _ in range(MANY)]
    assert granted[0] and not granted[-1], granted


@when("the other entry returns those that it holds")
def step(context):
    for number in context.held:
        context.granter.give_back(number)


@then("the granting entry refuses the next {right}")
def step(context, right):
    assert not context.granter.take()


def choose_entries(site, who):
    """Return some entries of a simulated site."""
    counts = {"one": 1, "half": len(site.entries) // 2, "all": len(site.entries)}
    count = counts.get(who, len(site.entries) - 1)
    return site.entries[:count]


@when("{who} of the entries start anew, refused by the store for {seconds:g} s")
def step(context, who, seconds):
    site = context.site
    started = choose_entries(site, who)
    for entry in started:
        entry.starts()
    site.store.turned_away = {entry.name for entry in started}
    site.run(seconds)
    site.store.turned_away = set()
    site.run(START_SECONDS, lambda: all(e.table.revision is not None for e in started))
