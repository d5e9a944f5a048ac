"""Steps on entries that start anew, without a process."""

import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.entry.limits import pack_limit
from boragestream.entry.permit_messages import PermitAsk, PermitReturn
from boragestream.entry.seat_messages import SeatAsk, SeatReturn
from boragestream.entry.server_seats import Seat, ServerSeats
from boragestream.policy.brittle_services import BrittleServices
from boragestream.policy.granters import SETTLED_SECONDS, Granters
from boragestream.policy.limit_records import LimitRecord, server_key
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock
from tests.standins.following import SimulatedSite
from tests.standins.limits import lone_limits, lone_seats

SERVER = Server("s-1", "engine", "10.9.0.1:80", "hall", "1", slots=4)
ENVELOPE = SimpleNamespace(sender="other")
HOLD_MS = 60_000
# More than an entry grants at one moment.
MANY = 20
LIMIT_HUNDREDTHS = 100
LOOK_SECONDS = 0.5
OUTAGE_SECONDS = 6.9
START_SECONDS = 3.0
# After its start an entry knows the others about as late.
AGREED_SECONDS = 0.6
# When entries start anew: they have just sent the repeats of a window.
RESTART_AT = 4.0


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


class RepeatingEntries:
    """Entries that repeat requests in simulated time, within a bound over all."""

    def __init__(self, count, bounds):
        """Start all entries long before the first request."""
        self.clock, self.rng = SetClock(), random.Random(1)
        self.bounds = bounds
        self.names = range(count)
        self.started_at = dict.fromkeys(self.names, float("-inf"))
        self.windows = {}
        self.requests, self.repeats = [], []
        for name in self.names:
            self.make(name)

    def make(self, name):
        """Make what an entry knows anew."""
        self.windows[name] = RetryWindows(
            self.clock.now,
            lambda: self.bounds,
            lambda: self.known(name),
            self.started_at[name],
            lambda: self.agrees(name),
        )

    def start(self, name):
        """Start an entry anew."""
        self.started_at[name] = self.clock.now()
        self.make(name)

    def agrees(self, name):
        """Return whether an entry knows the others since its start."""
        return self.clock.now() - self.started_at[name] >= AGREED_SECONDS

    def known(self, name):
        """Return how many entries one knows, itself included."""
        return len(self.names) if self.agrees(name) else 1

    def run(self, seconds, rate, starts):
        """Have requests come that are to be repeated, and entries start anew.

        ``starts`` are moments and entries, by time.
        """
        began, left = self.clock.now(), list(starts)
        for number in range(int(seconds * rate)):
            self.clock.seconds = began + number / rate
            while left and left[0][0] <= number / rate:
                self.start(left.pop(0)[1])
            windows = self.windows[self.rng.choice(self.names)]
            windows.note_request("service")
            self.requests.append(self.clock.now())
            if windows.spend("service"):
                self.repeats.append(self.clock.now())

    def allowed(self, until):
        """Return the most repeats in the window that ends at a moment."""
        requests = self.in_window(self.requests, until)
        return self.bounds.share * requests + self.bounds.slack

    def in_window(self, moments, until):
        """Count the moments of a window."""
        since = until - self.bounds.window_seconds
        return sum(since <= at <= until for at in moments)


@given(
    "{count:d} entries that may repeat {share:g} of the requests and {slack:d} more in "
    "{seconds:d} s"
)
def step(context, count, share, slack, seconds):
    context.entries = RepeatingEntries(count, RetryBounds(share, seconds, slack))


@when(
    "each of {rate:d} requests a second is to be repeated for {seconds:d} s, and {who} "
    "start anew {times}"
)
def step(context, rate, seconds, who, times):
    names = list(context.entries.names)
    few = {"none": 0, "one": 1, "all but one": len(names) - 1, "all": len(names)}
    names = names[: few[who]]
    starts = {
        "once": [(RESTART_AT, name) for name in names],
        "twice": [(at, n) for at in (RESTART_AT, RESTART_AT + 3.0) for n in names],
        "one by one": [(RESTART_AT + 0.3 * n, name) for n, name in enumerate(names)],
    }
    context.entries.run(seconds, rate, starts[times])


@then("no window has more repeats than the bound allows")
def step(context):
    entries = context.entries
    for at in entries.repeats:
        sent, allowed = entries.in_window(entries.repeats, at), entries.allowed(at)
        assert sent <= allowed, (at, sent, allowed)


@then("the entries sent {least:g} of the repeats that the bound allows")
def step(context, least):
    entries = context.entries
    ends = [at for at in entries.requests if at >= entries.requests[0] + RESTART_AT]
    allowed = sum(entries.allowed(at) for at in ends)
    sent = sum(entries.in_window(entries.repeats, at) for at in ends)
    assert sent >= least * allowed, sent / allowed


class SeatSite:
    """Entries before one brittle server, of which one grants the seats."""

    def __init__(self):
        """Start all entries."""
        self.clock = SetClock()
        self.first = "a"
        # The seats of entry "b" whose calls are at the server.
        self.taken = []
        self.granters, self.seats = {}, {}
        for name in "abc":
            self.start(name)

    def start(self, name):
        """Start an entry that knows of no seat."""
        granters = Granters(lambda: [self.first], lambda s: s.name, self.clock)
        services = BrittleServices(self.clock)
        services.note_answer(SERVER, True, self.clock.now(), True)

        def ask(address, message, seconds):
            other, envelope = self.seats[address], SimpleNamespace(sender=name)
            returned = isinstance(message, SeatReturn)
            answer = other.answer_return if returned else other.answer
            return answer(envelope, message)

        self.granters[name] = granters
        self.seats[name] = ServerSeats(
            name,
            services,
            granters,
            lambda entry: entry,
            lambda: True,
            SimpleNamespace(ask=ask),
            lambda work: work(),
            self.clock,
            lambda server: len(self.taken) if name == "b" else 0,
        )

    def pass_time(self, seconds):
        """Let time pass, in which all entries look who grants."""
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.clock.seconds += LOOK_SECONDS
            for granters in self.granters.values():
                granters.refresh()

    def take_all(self):
        """Have entry "b" take the seats that it gets; return how many."""
        before = len(self.taken)
        for _ in range(MANY):
            seat = self.seats["b"].acquire(SERVER, HOLD_MS / 1000)
            if isinstance(seat, Seat):
                self.taken.append(seat)
        return len(self.taken) - before


@given("an entry that holds {held:d} of the 4 seats of a brittle server")
def step(context, held):
    context.site = SeatSite()
    context.site.pass_time(SETTLED_SECONDS + LOOK_SECONDS)
    context.site.take_all()
    for _ in range(len(context.site.taken) - held):
        context.site.seats["b"].release(context.site.taken.pop())
    assert len(context.site.taken) == held
    context.first_calls = list(context.site.taken)


@when("{who} grants the seats, and {seconds:d} seconds pass")
def step(context, who, seconds):
    site = context.site
    site.first = {"a third entry": "c", "the entry itself": "b"}.get(who, "a")
    if site.first == "a":
        site.start("a")
    site.pass_time(seconds)


@then("the entry gets {count:d} more seats and no other")
def step(context, count):
    got = context.site.take_all()
    assert got == count, got


@when("its first calls have ended")
def step(context):
    for seat in context.first_calls:
        context.site.taken.remove(seat)
        context.site.seats["b"].release(seat)


@when(
    '"{key}" lapses in an outage, at whose end {who} of {count:d} entries start, by '
    "{seeds:d} seeds"
)
def step(context, key, who, count, seeds):
    context.key, context.sites = key, []
    for seed in range(1, seeds + 1):
        site = SimulatedSite(count, 3, 4.0, seed)
        site.used = True
        site.publish(key, b"1")
        site.run(20.0)
        site.store.down = True
        site.run(OUTAGE_SECONDS)
        started = site.rng.sample(site.entries, len(choose_entries(site, who)))
        for entry in started:
            entry.starts()
        site.run(LOOK_SECONDS / 5)
        site.publish(key, None)
        site.store.down = False
        context.sites.append((site, [e for e in site.entries if e not in started]))


@then('all entries that ran before still hold "{key}" {seconds:g} s later')
def step(context, key, seconds):
    counts = []
    for site, others in context.sites:
        site.run(seconds)
        counts.append((sum(key in e.table.values for e in others), len(others)))
    assert all(held == count for held, count in counts), counts


@then("none holds it after {seconds:g} s")
def step(context, seconds):
    for site, _ in context.sites:
        site.run(seconds)
        assert site.unused_everywhere(context.key, b"1")
