"""Steps on server limits over many entries, simulated without processes."""

from behave import given, then, when

from boragestream.entry.server_permits import Permit, PermitRefused
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock
from tests.standins.limit_crowd import LimitCrowd
from tests.standins.limits import lone_limits

SERVER = Server("s-1", "engine", "10.9.0.1:80", "hall", "1")
# After this time all entries know the limits.
SETTLED_SECONDS = 3.0
SUSPENDED_SECONDS = 1.5
LOST_SHARE = 0.2


@given(
    "{count:d} entries before {servers:d} servers with a limit of {limit:g} requests a "
    "second"
)
def step(context, count, servers, limit):
    context.crowd = LimitCrowd(count, servers, [limit] * servers)


@given(
    "{count:d} entries before {servers:d} servers, of which {few:d} have a limit of "
    "{limit:g}"
)
def step(context, count, servers, few, limit):
    context.crowd = LimitCrowd(count, servers, [limit] * few)


@given("{count:d} of them and the others know nothing of each other")
def step(context, count):
    names = context.crowd.names()
    for number, name in enumerate(names if count else []):
        known = names[:count] if number < count else names[count:]
        context.crowd.entries[name].known = known
        # The entry gets no answers from the others.
        context.crowd.entries[name].divided = True


@given("each of them does not know {missed:d} others")
def step(context, missed):
    crowd = context.crowd
    for name, entry in crowd.entries.items():
        others = [other for other in crowd.names() if other != name]
        known = crowd.rng.sample(others, len(others) - missed)
        entry.known = [name, *known]
        # The address books of the entries differ.
        entry.divided = True


@given("all of them have answers with the limits and agree with nobody")
def step(context):
    crowd = context.crowd
    for entry in crowd.entries.values():
        entry.agreed = False
        for server in crowd.servers:
            entry.limits.note_answer(server, crowd.named[server.name], 0.0, True)


@when("{rate:g} requests a second come to each entry for {seconds:g} seconds")
def step(context, rate, seconds):
    context.crowd.load(None, rate, seconds)


@when("{rate:g} requests a second come to {where} of them for {seconds:g} seconds")
def step(context, where, rate, seconds):
    crowd = context.crowd
    first = crowd.names()[:1]
    context.since = crowd.clock.now() + SETTLED_SECONDS
    context.seconds = seconds - SETTLED_SECONDS
    crowd.load(first if where == "one" else None, rate, seconds)


@when(
    "{rate:g} requests a second come to each entry for {seconds:g} seconds while {what}"
)
def step(context, rate, seconds, what):
    crowd = context.crowd
    names = crowd.names()
    ticks = iter(range(10**6))

    def restart(count):
        tick = next(ticks)
        if tick % 100 == 0:
            for number in range(count):
                crowd.start(names[(tick // 100 * count + number) % len(names)])

    def suspend():
        tick = next(ticks)
        every = round(SUSPENDED_SECONDS * 100)
        if tick % every == 0:
            for entry in crowd.entries.values():
                entry.frozen = False
            crowd.entries[names[tick // every % len(names)]].frozen = True

    changes = {
        "one entry starts again every second": lambda: restart(1),
        "ten entries start again every second": lambda: restart(10),
        "one entry after the other is suspended": suspend,
    }
    if what == "a fifth of all messages is lost":
        crowd.lost_share = LOST_SHARE
    crowd.load(None, rate, seconds, changes.get(what, lambda: None))


@when("the limits end")
def step(context):
    context.crowd.named = {}


@then("no server gets more than its limit allows")
def step(context):
    assert context.crowd.excess() <= 0, context.crowd.excess()


@then("at least {share:g} of the limits is used, and the rest is refused")
def step(context, share):
    used = context.crowd.used(context.since, context.seconds)
    assert used >= share, used
    assert context.crowd.refused


@then("no request was refused")
def step(context):
    assert not context.crowd.refused


@then("all entries know that they have ended")
def step(context):
    counts = [entry.limits.count for entry in context.crowd.entries.values()]
    assert not any(counts), counts


@then("the servers get no request")
def step(context):
    assert not any(context.crowd.arrivals.values())


@given("a server that named a limit of {limit:g} requests a second at one entry")
def step(context, limit):
    context.clock = SetClock()
    context.limited = lone_limits(context.clock)
    context.limits = context.limited.limits
    context.limits.note_answer(SERVER, limit, context.clock.now(), True)


@when("the answer of a call that was sent before names none")
def step(context):
    context.clock.seconds += 1.0
    sent_at = context.clock.now() - 2.0
    assert context.limits.note_answer(SERVER, None, sent_at, True) is None


@when("an answer that is no success names none")
def step(context):
    now = context.clock.now()
    assert context.limits.note_answer(SERVER, None, now, False) is None


@when("the answer of a call that was sent later names none")
def step(context):
    context.clock.seconds += 1.0
    now = context.clock.now()
    assert context.limits.note_answer(SERVER, None, now, True) is not None


@when("another life of the server is called")
def step(context):
    context.limits.note_answer(SERVER, 2.0, context.clock.now(), True)
    context.server = Server("s-1", "engine", "10.9.0.1:80", "hall", "2")


@then("it is limited to {limit:g} requests a second")
def step(context, limit):
    assert context.limits.limit(SERVER) == limit


@then("it is not limited")
def step(context):
    assert context.limits.limit(getattr(context, "server", SERVER)) is None


@given(
    "two entries that read limits of {one:g} and {other:g} requests a second of one "
    "server"
)
def step(context, one, other):
    context.both = [ServerLimits(SetClock()), ServerLimits(SetClock())]
    for limits, limit in zip(context.both, (one, other), strict=True):
        limits.note_answer(SERVER, limit, 0.0, True)


@when("they tell each other")
def step(context):
    one, other = context.both
    records = [limits.record(SERVER) for limits in context.both]
    one.take(records[1])
    other.take(records[0])


@then("both take it for limited to {limit:g} requests a second")
def step(context, limit):
    assert [limits.limit(SERVER) for limits in context.both] == [limit, limit]
    assert context.both[0].table.digests == context.both[1].table.digests


@when("the process is suspended for {seconds:g} seconds there")
def step(context, seconds):
    context.clock.seconds += seconds


@then("{most:d} permits at the most begin within half a second")
def step(context, most):
    permits = context.limited.permits
    taken = [permits.acquire(SERVER, 0.5) for _ in range(10)]
    assert sum(isinstance(each, Permit) for each in taken) <= most
    context.permit = taken[0]


@then("a permit that was taken before a suspension is not valid after it")
def step(context):
    permits = context.limited.permits
    assert permits.is_valid(SERVER, context.permit)
    context.clock.seconds += 1.0
    assert not permits.is_valid(SERVER, context.permit)


@when("all permits of the moment are taken and one is given back")
def step(context):
    permits = context.limited.permits
    taken = [permits.acquire(SERVER, 0.0) for _ in range(10)]
    assert isinstance(taken[0], Permit) and isinstance(taken[-1], PermitRefused)
    permits.release(taken[0])


@then("the next permit begins at once")
def step(context):
    permits = context.limited.permits
    permit = permits.acquire(SERVER, 0.0)
    assert isinstance(permit, Permit)
    assert permit.begins == context.clock.now()
    assert isinstance(permits.acquire(SERVER, 0.0), PermitRefused)


@given("a record of another entry with a limit of {limit:g} requests a second")
def step(context, limit):
    other = ServerLimits(SetClock())
    other.note_answer(SERVER, limit, 0.0, True)
    context.clock = SetClock()
    context.limits = ServerLimits(context.clock)
    context.limits.take(other.record(SERVER))


@when("the server is listed here")
def step(context):
    context.limits.take_list([SERVER])


@when("it has not been listed for {seconds:d} seconds")
def step(context, seconds):
    context.limits.take_list([])
    context.clock.seconds += seconds
    context.limits.take_list([])


@given(
    "a record that another entry read {age:d} seconds ago, with a limit of {limit:g}"
)
def step(context, age, limit):
    other = ServerLimits(SetClock())
    other.note_answer(SERVER, limit, 0.0, True)
    context.clock = SetClock()
    context.limits = ServerLimits(context.clock)
    context.limits.take(other.record(SERVER), float(age))


@when("the answer of a call that was sent {age:d} seconds ago names none")
def step(context, age):
    context.limits.note_answer(SERVER, None, context.clock.now() - age, True)
