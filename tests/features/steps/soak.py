"""Steps on the soak: short runs of it, and what its checks see."""

from types import SimpleNamespace

from behave import given, then, when

from tests.soak.callers import Told
from tests.soak.checks import broken_promises
from tests.soak.plan import Strike, StrikeKind, make_plan
from tests.soak.run import run_seed

REQUEST = "s-1"
LIFE = ("entry-0", 0)


@when("faults of seed {seed:d} strike {entries:d} entries for {seconds:d} seconds")
def step(context, seed, entries, seconds):
    context.verdict = run_seed(seed, entries, seconds)


@when(
    'the kind "{kind}" strikes {entries:d} entries every second for {seconds:d} s '
    'as "{how}"'
)
def step(context, kind, entries, seconds, how):
    strike_every_second(context, kind, entries, seconds, how)


@when(
    'the kind "{kind}" strikes {entries:d} entries every second for {seconds:d} s as ""'
)
def step(context, kind, entries, seconds):
    strike_every_second(context, kind, entries, seconds, "")


def strike_every_second(context, kind, entries, seconds, how):
    """Run one kind of fault alone; strikes overlap by half a second."""
    plan = [
        Strike(1.0 + number, 1.5, StrikeKind[kind], how, 7 * number)
        for number in range(seconds)
    ]
    context.verdict = run_seed(0, entries, seconds + 1, plan=plan)


@then("the soak sees no broken promise, and requests were served")
def step(context):
    assert not context.verdict.broken, context.verdict
    assert context.verdict.statuses.get(200), context.verdict


def told(kind, status, body, **more):
    """Return what a caller was told."""
    fields = {
        "request_id": REQUEST,
        "kind": kind,
        "fault": "ok",
        "version": 0,
        "life": LIFE,
        "sent_at": 10.0,
        "ended_at": 10.5,
        "status": status,
        "sealed": status == 200,
        "body": body,
        "whole": True,
        "left": False,
    }
    return Told(**{**fields, **more})


def soaked(runs):
    """Return a site whose one server ran a request so often."""
    server = SimpleNamespace(
        runs={REQUEST: runs}, keys_seen=[], identity="i-1", made={}, inputs={}
    )
    return SimpleNamespace(
        servers=[server], entries={}, own_ends=[], of_kind=lambda kind: [server]
    )


@given(
    'a soaked request "{kind}" that ran {runs:d} times and was told {status:d} '
    'with "{body}"'
)
def step(context, kind, runs, status, body):
    if body.startswith("events "):
        numbers = body.removeprefix("events ").split(",")
        body = "".join(f"id: {number}\ndata: x\n\n" for number in numbers)
    context.found = broken_promises(soaked(runs), [told(kind, status, body.encode())])


@given("an entry answered version {version:d} and {later:g} seconds later 404 to it")
def step(context, version, later):
    body = f"i-1 {REQUEST} 5".encode()
    first = told("probe", 200, body, version=version)
    at = first.ended_at + later
    again = told("probe", 404, b"", version=version, sent_at=at, ended_at=at)
    context.found = broken_promises(soaked(1), [first, again])


@then('the soak finds "{found}"')
def step(context, found):
    assert any(found in line for line in context.found), context.found


@then('the soak finds ""')
def step(context):
    assert not context.found, context.found


@then("two plans of seed {seed:d} are the same, and one of seed {other:d} is another")
def step(context, seed, other):
    assert make_plan(seed, 20) == make_plan(seed, 20)
    assert make_plan(seed, 20) != make_plan(other, 20)
