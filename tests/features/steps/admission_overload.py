"""Steps that offer a small fleet more than it can carry."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.operator.client import CallReply, Client
from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_key

SERVERS = [(f"{s}-1", s, s, "lalitpur-hall") for s in ("encoder", "retriever")]
WRITER = ("writer-1", "writer", "engine", "lalitpur-hall")
ENTRIES = 2
CALLERS = 200


@given("a fleet whose writer takes {ms:d} ms and whose deadline is {deadline:d} ms")
def step(context, ms, deadline):
    document = example_document("cooperative")
    for pipeline in document["pipelines"]:
        pipeline["deadline_ms"] = deadline
    writer = {"service_ms": float(ms), "token_ms": 0.0, "slots": 2}
    context.fleet = Fleet(
        document,
        [*SERVERS, WRITER],
        entries=ENTRIES,
        backend={"slots": 64},
        backend_of={"writer": writer},
    )
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.__enter__()


@when('{count:d} calls of "{name}" come within {seconds:d} seconds')
def step(context, count, name, seconds):
    offer(context, {name: count}, seconds)


@when('{a:d} calls of "{one}" flood {b:d} of "{other}" for {seconds:d} seconds')
def step(context, a, one, b, other, seconds):
    offer(context, {one: a, other: b}, seconds)


def offer(context, counts, seconds):
    """Make calls at even distances; keep the replies by account."""
    addresses = context.fleet.addresses()
    due = sorted(
        (seconds * i / count, name)
        for name, count in counts.items()
        for i in range(count)
    )
    began = time.monotonic()
    context.offered = {name: [] for name in counts}
    with ThreadPoolExecutor(CALLERS) as pool:
        for index, (at, name) in enumerate(due):
            time.sleep(max(0.0, began + at - time.monotonic()))
            client = Client(example_key(name), addresses)
            address = addresses[index % len(addresses)]
            future = pool.submit(client.call, "caption", {"n": index}, address=address)
            context.offered[name].append(future)


def replies(context, name=None):
    """Return the replies of one account or of all; none may be missing."""
    futures = [f for n, fs in context.offered.items() if name in (None, n) for f in fs]
    found = [future.result() for future in futures]
    assert all(isinstance(reply, CallReply) for reply in found), found
    return found


def refused(context):
    """Return the replies that say that the call was not run."""
    return [reply for reply in replies(context) if reply.outcome == "refused"]


@then("some calls are answered and some refused")
def step(context):
    outcomes = {reply.outcome for reply in replies(context)}
    assert {"answered", "refused"} <= outcomes, outcomes


@then("some calls are refused after they waited")
def step(context):
    # Refusals of other kinds, as for a full queue, do not tell what time was left.
    told = [r.problem["failure"].get("left_ms") for r in refused(context)]
    waited = [left for left in told if left is not None and left < 1000]
    assert waited, refused(context)


@then("every call that was refused has no run")
def step(context):
    ran = {r for run in context.fleet.runs().values() for r in run["requests"]}
    ids = {reply.request_id for reply in refused(context)}
    assert not ids & ran, ids & ran


@then("every call that was refused is told when to come back")
def step(context):
    assert all(r.problem["retry_after_ms"] > 0 for r in refused(context))


@then("no call was run twice")
def step(context):
    for name, run in context.fleet.runs().items():
        doubled = {r: count for r, count in run["requests"].items() if count > 1}
        assert not doubled, (name, doubled)


@then('every call of "{name}" is answered')
def step(context, name):
    outcomes = [reply.outcome for reply in replies(context, name)]
    assert set(outcomes) == {"answered"}, outcomes
