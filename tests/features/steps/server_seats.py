"""Steps on seats at brittle servers that several entries grant, without processes."""

from types import SimpleNamespace

from behave import given, then, when

from boragestream.entry.messages import Probe, ProbeReply
from boragestream.entry.seat_messages import SeatReturn
from boragestream.entry.server_seats import Seat, ServerSeats
from boragestream.policy.brittle_services import BrittleServices
from boragestream.policy.granters import SETTLED_SECONDS, Granters
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock

TICK_SECONDS = 0.25
CALL_SECONDS = 60.0
# Exceeds the time for which an entry that gave no answer is not asked.
SKIPPED_SECONDS = 3.0
MANY = 10


class SeatCrowd:
    """Three entries before one brittle server, in the order in which they rank."""

    def __init__(self, places):
        """Start all entries."""
        self.clock = SetClock()
        self.server = Server("s-1", "plain", "10.9.0.1:80", "hall", "1", slots=places)
        self.names = ["a", "b", "c"]
        self.live = {name: list(self.names) for name in self.names}
        self.divided, self.suspended = set(), set()
        # Pairs of an entry that asks and one that gets no question of it.
        self.apart = set()
        self.granters = {name: self.new_granters(name) for name in self.names}
        self.seats = {name: self.new_seats(name) for name in self.names}
        self.first, self.second = self.granters["a"].for_server(self.server)
        (self.third,) = set(self.names) - {self.first, self.second}
        self.taken = {name: [] for name in self.names}
        self.pass_time(SETTLED_SECONDS + TICK_SECONDS)

    def new_granters(self, name):
        """Return the granting entries as one entry ranks them."""
        return Granters(
            lambda: self.live[name],
            lambda server: server.name,
            self.clock,
            lambda: name in self.divided,
        )

    def new_seats(self, name):
        """Return the seats of one entry."""
        services = BrittleServices(self.clock)
        services.note_answer(self.server, True, self.clock.now(), True)
        return ServerSeats(
            name,
            services,
            self.granters[name],
            lambda entry: entry,
            lambda: True,
            SimpleNamespace(ask=lambda *question: self.ask(name, *question)),
            lambda work: work(),
            self.clock,
        )

    def ask(self, sender, address, message, seconds):
        """Answer a question at once, or never."""
        if address in self.suspended or (sender, address) in self.apart:
            return SimpleNamespace(describe=lambda: "no answer")
        if isinstance(message, Probe):
            return ProbeReply(0)
        other, envelope = self.seats[address], SimpleNamespace(sender=sender)
        returned = isinstance(message, SeatReturn)
        return (other.answer_return if returned else other.answer)(envelope, message)

    def pass_time(self, seconds):
        """Let time pass, in which all entries that run look who grants."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.seconds += TICK_SECONDS
            for name, granters in self.granters.items():
                if name not in self.suspended:
                    granters.refresh()

    def take(self, name):
        """Have an entry take the seats that it gets; return how many."""
        got = [self.seats[name].acquire(self.server, CALL_SECONDS) for _ in range(MANY)]
        seats = [seat for seat in got if isinstance(seat, Seat)]
        self.taken[name] += seats
        return len(seats)

    def give_back(self, name):
        """Have an entry return all its seats."""
        for seat in self.taken[name]:
            self.seats[name].release(seat)
        self.taken[name].clear()


@given("three entries before a brittle server with {places:d} places")
def step(context, places):
    context.crowd = SeatCrowd(places)


@when("the others have taken all seats, and the third doesn't reach the first")
def step(context):
    crowd = context.crowd
    assert crowd.take(crowd.second) == crowd.server.slots
    crowd.apart.add((crowd.third, crowd.first))


@when("the others have returned their seats, and the third reaches the first again")
def step(context):
    crowd = context.crowd
    crowd.give_back(crowd.second)
    crowd.apart.clear()
    crowd.pass_time(SKIPPED_SECONDS)


@when("the first has ended")
def step(context):
    context.crowd.suspended.add(context.crowd.first)


@when("the first is suspended for {seconds:g} s, and the others go on without it")
def step(context, seconds):
    crowd = context.crowd
    crowd.suspended.add(crowd.first)
    for name in (crowd.second, crowd.third):
        crowd.live[name].remove(crowd.first)
        crowd.divided.add(name)
    crowd.pass_time(seconds)


@when("the others know the first again, and {seconds:g} s pass")
def step(context, seconds):
    crowd = context.crowd
    for name in (crowd.second, crowd.third):
        crowd.live[name].append(crowd.first)
    crowd.divided.clear()
    crowd.pass_time(seconds)


@then("the {which} gets {count:d} seats")
def step(context, which, count):
    crowd = context.crowd
    if which == "first":
        crowd.suspended.clear()
    got = crowd.take(getattr(crowd, which))
    assert got == count, got


@then("the first gets no more than the {places:d} places leave")
def step(context, places):
    crowd = context.crowd
    crowd.take(crowd.third)
    crowd.take(crowd.first)
    assert sum(map(len, crowd.taken.values())) == places, crowd.taken
