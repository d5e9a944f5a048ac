"""Steps on the region whose servers serve a request; no process is started."""

import random
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from boragestream.base.events import Event
from boragestream.base.outcomes import Failure
from boragestream.document.calls import StageResult
from boragestream.document.routes import RouteStage
from boragestream.policy.server_choice import ServerChoice, shared_part
from boragestream.serving import forwarded_choice
from boragestream.serving.limited_servers import PermittedServer
from tests.standins.regions import CENTRES, SERVICE, begin

BACKOFF_SECONDS = 2.0
COLD_SECONDS = 3.0
RESULT_BYTES = 1_500_000
REGION_NAMES = {"its": "near", "the other": "far"}


def attempt(context, choice, run, inputs=()):
    """Return the server of the next attempt or the failure, and the crossing event."""
    context.events = []

    def record(event, **details):
        context.events.append((event, details))

    with mock.patch.object(forwarded_choice, "emit", record):
        refusal = choice.refusal(bool(inputs))
        chosen = refusal or choice.choose(inputs, 1)
    return chosen.server if isinstance(chosen, PermittedServer) else chosen


def crossing(context):
    """Return the crossing event of the last attempt; None for none."""
    crossed = [d for e, d in context.events if e is Event.SERVED_IN_OTHER_REGION]
    assert len(crossed) <= 1
    return crossed[0] if crossed else None


def outcome(context, chosen):
    """Return what became of an attempt, in the words of the feature."""
    if isinstance(chosen, Failure):
        left = getattr(chosen, "left_seconds", None)
        named = chosen.code == "servers-backed-off"
        return f"refused, {chosen.code}" + (f", {left:g} s" if named else "")
    crossed = crossing(context)
    if chosen.region == "near":
        assert crossed is None, crossed
        return "served near"
    return f"served far, {crossed['reason']}"


def serve(context, **request):
    """Choose for a new request; return the outcome in words."""
    choice, run = context.entry.choice(**request)
    return outcome(context, attempt(context, choice, run))


@given('an entry before {near:d} and {far:d} servers in data centres of "{regions}"')
def step(context, near, far, regions):
    centres = {} if regions == "none" else dict.fromkeys(CENTRES, "one")
    begin(context, near, far, centres)


@then("its choices for {count:d} requests are those of the ranking over all servers")
def step(context, count):
    entry = context.entry
    before = ServerChoice(entry.loads, entry.clock, "hall-a")
    before.open_calls.begin(entry.servers[0])
    entry.parts.choice.open_calls.begin(entry.servers[0])
    rng = random.Random(3)
    for number in range(count):
        if number % 50 == 49:
            # The same calls are open in both, and the same servers fail.
            server = rng.choice(entry.servers)
            before.open_calls.begin(server)
            entry.parts.choice.open_calls.begin(server)
        part = f"part-{number % 40}" if number % 4 else ""
        choice, run = entry.choice(part=part)
        tried = set()
        for _ in range(3):
            avoid = frozenset(tried)
            if len(avoid) >= len(entry.servers):
                avoid = frozenset()
            shared = shared_part(run.request.prompt)
            expected = before.engine(entry.servers, shared, "", avoid)
            chosen = attempt(context, choice, run)
            assert chosen.name == expected.name, (number, chosen, expected)
            assert crossing(context) is None
            tried.add(chosen.name)
        # The measurements by region are not even kept.
        call = entry.parts.regions.calls.begin(chosen)
        call.note_sent(100)
        call.note_refused()
        assert not call.region
    assert not entry.links.counted
    assert not entry.parts.regions.calls.estimate(SERVICE, "one").known


@then("after two attempts and the leave of the first server, choices are as before")
def step(context):
    entry = context.entry
    before = ServerChoice(entry.loads, entry.clock, "hall-a")
    again = 0
    for number in range(40):
        entry.table.take_list(entry.servers)
        choice, run = entry.choice(part=f"part-{number}")
        tried = [attempt(context, choice, run) for _ in range(2)]
        left = [server for server in entry.servers if server != tried[0]]
        entry.table.take_list(left)
        # As many servers were tried as are left, so that no server is avoided.
        expected = before.engine(left, shared_part(run.request.prompt))
        assert attempt(context, choice, run) == expected
        again += expected == tried[1]
    assert again, "no case tells the rules apart"


@given("an entry before {near:d} {kind} in its region and {far:d} in the other")
def step(context, near, kind, far):
    begin(context, near, far, engine=kind == "engines")


@then("{count:d} requests are served in its own region")
def step(context, count):
    for number in range(count):
        assert serve(context, part=f"part-{number}") == "served near"


@then("a shared prompt has the engine that ranks first in the own region")
def step(context):
    entry = context.entry
    for number in range(40):
        choice, run = entry.choice(part=f"part-{number}")
        chosen = attempt(context, choice, run)
        part = shared_part(run.request.prompt)
        if entry.service.engine is None:
            expected = entry.parts.choice.plain(entry.of("near"))
        else:
            expected = entry.parts.choice.engine(entry.of("near"), part)
        assert chosen == expected


def change(context, region, state):
    """Put the servers of a region into a state."""
    entry = context.entry
    spent = state.endswith("and used up")
    state = state.removesuffix(" and used up")
    for server in entry.of(region):
        if state == "ejected":
            entry.fail(server)
        elif state == "backed off":
            entry.parts.backoffs.note(server, BACKOFF_SECONDS)
        elif state == "cold":
            entry.cold.take(replace(server, cold_seconds=COLD_SECONDS))
            while spent and entry.cold.admit(server):
                pass
        else:
            assert state in ("usable", "gone"), state
    if state == "gone":
        entry.table.take_list([s for s in entry.servers if s.region != region])


@when("the servers of {which} region are {state}")
def step(context, which, state):
    words = state.split(" for ")
    if len(words) == 2:
        for server in context.entry.of(REGION_NAMES[which]):
            context.entry.parts.backoffs.note(server, float(words[1].split()[0]))
        return
    change(context, REGION_NAMES[which], state)


@then('{count:d} requests are served in the other region because of "{reason}"')
def step(context, count, reason):
    for number in range(count):
        served = serve(context, part=f"part-{number}")
        assert served == f"served far, {reason}", served


@then('the log leads from the id of such a request to the region and "{reason}"')
def step(context, reason):
    choice, run = context.entry.choice()
    attempt(context, choice, run)
    event = crossing(context)
    assert event["request"] == run.request.request_id
    assert (event["region"], event["reason"]) == ("far", reason), event
    counted = f'other_region_attempts_total{{reason="{reason}",region="far"}}'
    assert counted in context.entry.metrics.text()


@when("the link admits no optional traffic")
@when("the link admits nothing optional")
def step(context):
    context.entry.links.closed.add("far")


@when("the link is open")
def step(context):
    assert context.entry.links.admits("far")


@when("the link is cut")
@when("the other region is cut off")
def step(context):
    context.entry.links.cut_off.add("far")


@when("the other region is reachable again")
def step(context):
    context.entry.links.cut_off.clear()


@then('the request is "{expected}"')
def step(context, expected):
    served = serve(context)
    assert served == expected, served


@when("answers take {near:g} s here and {far:g} s there")
def step(context, near, far):
    entry = context.entry
    calls = entry.parts.regions.calls
    far_server, near_server = entry.of("far")[0], entry.of("near")[0]
    # Both calls end at the same time, so that both measurements are recent.
    first, second = sorted(
        ((near, near_server), (far, far_server)), key=lambda c: -c[0]
    )
    # The time that is measured there includes the way.
    extra = entry.links.round_trip
    seconds = [
        s + (extra if server is far_server else 0) for s, server in (first, second)
    ]
    long_call = calls.begin(first[1])
    entry.clock.seconds += seconds[0] - seconds[1]
    short_call = calls.begin(second[1])
    entry.clock.seconds += seconds[1]
    for call in (long_call, short_call):
        call.note_answer()
        call.end()


@when("answers take {near:g} s here")
def step(context, near):
    context.entry.answered(context.entry.of("near")[0], near)


@when("{seconds:g} s pass")
def step(context, seconds):
    context.entry.clock.seconds += seconds


@when("the round trip takes {seconds:g} s")
def step(context, seconds):
    context.entry.links.round_trip = seconds


@then('a request of {size:d} bytes with {tokens:d} shared tokens is "{expected}"')
def step(context, size, tokens, expected):
    choice, run = context.entry.choice(part="part" if tokens else "", body=b"x" * size)
    if tokens:
        first, *rest = run.request.prompt
        tokens_part = type(first)(first.identity, tokens)
        run.request.prompt = (tokens_part, *rest)
    served = outcome(context, attempt(context, choice, run))
    assert served == expected, served


@when("this entry has {count:d} calls open at each server of its region")
def step(context, count):
    for server in context.entry.of("near"):
        for _ in range(count):
            context.entry.parts.choice.open_calls.begin(server)


@when("{count:d} calls in its region have not been answered for {seconds:g} s")
def step(context, count, seconds):
    for number in range(count):
        servers = context.entry.of("near")
        context.entry.parts.regions.calls.begin(servers[number % len(servers)])
    context.entry.clock.seconds += seconds


@when("{count:d} calls in its region are refused")
def step(context, count):
    for number in range(count):
        servers = context.entry.of("near")
        context.entry.refused(servers[number % len(servers)])


def use_up_permits(entry):
    """Take the permits of the own region that are free at once."""
    while not isinstance(
        entry.limited.acquire_earliest(entry.of("near"), 0.0, lambda s: None), Failure
    ):
        pass


@when("the servers of its region take {limit:g} requests a second and had their burst")
def step(context, limit):
    entry = context.entry
    for server in entry.of("near"):
        entry.limited.limits.note_answer(server, limit, entry.clock.now(), True)
    use_up_permits(entry)


@when("the last permit of its region is taken after each choice of a region")
def step(context):
    entry = context.entry
    for server in entry.of("near"):
        entry.limited.limits.note_answer(server, 0.5, entry.clock.now(), True)
    choose_region = entry.parts.regions.select

    def select(*need_and_options):
        selection = choose_region(*need_and_options)
        use_up_permits(entry)
        return selection

    entry.parts.regions.select = select


@then('a request with stages is "{expected}"')
def step(context, expected):
    choice, run = context.entry.choice(stages=(RouteStage("stage"),))
    served = outcome(context, attempt(context, choice, run))
    assert served == expected, served


@when("the permits of its region are taken by other entries")
def step(context):
    entry = context.entry
    for server in entry.of("near"):
        entry.limited.limits.note_answer(server, 1.1, entry.clock.now(), True)
    entry.limited.acquire_earliest = lambda limited, *rest: entry.limited.refusal(
        limited
    )


@then('a request that waits for no permit is "{expected}"')
def step(context, expected):
    choice, run = context.entry.choice()
    # The wait is within the objective, but longer than such a request may wait.
    with mock.patch.object(type(choice), "_longest_wait", lambda *a, **k: 0.0):
        served = outcome(context, attempt(context, choice, run))
    assert served == expected, served


def begin_call(context):
    """Choose for a new request, begin its call; return outcome and call."""
    choice, run = context.entry.choice()
    chosen = attempt(context, choice, run)
    served = outcome(context, chosen)
    return served, context.entry.parts.regions.calls.begin(chosen)


@then("one request tries the other region, and {count:d} are served near")
def step(context, count):
    served, context.call = begin_call(context)
    assert served == "served far, trial", served
    for _ in range(count):
        assert serve(context) == "served near"


@when("that one is answered after {seconds:g} s")
def step(context, seconds):
    context.entry.clock.seconds += seconds
    context.call.note_answer()
    context.call.end()


@when("{seconds:g} s pass in which the other region answers")
def step(context, seconds):
    far = context.entry.of("far")[0]
    context.entry.clock.seconds += seconds - 0.5
    context.entry.answered(far, 0.5)


@then("one request is served near while {count:d} cross")
def step(context, count):
    served, context.call = begin_call(context)
    assert served == "served near", served
    for _ in range(count):
        served = serve(context)
        assert served == "served far, not-in-time", served


@then('a request with results in "{centre}" is "{expected}"')
def step(context, centre, expected):
    context.entry.links.counted.clear()
    stages = (RouteStage("stage"),)
    choice, run = context.entry.choice(stages=stages)
    assert choice.refusal(False) is None
    inputs = (StageResult("handle", centre, RESULT_BYTES),)
    served = outcome(context, attempt(context, choice, run, inputs))
    assert served == expected, served


@then("{size:d} bytes of results were counted for the other region")
def step(context, size):
    assert context.entry.links.counted["far", "result"] == size


@then('after an attempt that {end}, the next one is "{expected}"')
def step(context, end, expected):
    choice, run = context.entry.choice(part="part")
    first = attempt(context, choice, run)
    assert first.region == "near"
    run.sent.note_sending(first.name, True)
    if end == "was refused":
        run.note_not_run(first)
    second = attempt(context, choice, run)
    crossed = crossing(context)
    if expected.startswith("far"):
        assert second.region == "far"
        assert f"far, {crossed['reason']}" == expected
    else:
        assert crossed is None
        assert (second.name == first.name) == expected.endswith("same"), second


@then("{count:d} attempts that fail go to {distinct:d} different servers")
def step(context, count, distinct):
    choice, run = context.entry.choice(part="part")
    tried = []
    for _ in range(count):
        server = attempt(context, choice, run)
        run.sent.note_sending(server.name, True)
        tried.append(server)
    assert len({server.name for server in tried}) == distinct, tried
    regions = [server.region for server in tried]
    assert regions == sorted(regions, reverse=True), regions


@then('a request of a {bound} at home in "{home}" is "{expected}"')
def step(context, bound, home, expected):
    key = "homes" if bound == "route" else "account_homes"
    served = serve(context, **{key: [home]})
    assert served == expected, served
