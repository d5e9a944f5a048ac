"""Steps that make backend servers fail or respond slowly and check their calls."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.operator.client import Client
from tests.standins.answers import expected_text
from tests.standins.fleet import wait_until
from tests.standins.sites import example_key

MAX_ROUNDS = 50
CONCURRENT_CALLS = 8
FAULT_SECONDS = 1.5
TOKENS = 8
PREFIX = "Namaste, dear member. " * 40


@when('"{account}" calls "{pipeline}" at every entry with one long prefix')
def step(context, account, pipeline):
    client = Client(example_key(account), context.fleet.addresses())
    context.misses_before = prefix_misses(context)
    context.replies = [
        client.call(pipeline, PREFIX + str(number), address=address)
        for number, address in enumerate(context.fleet.addresses())
    ]


def prefix_misses(context):
    """Return the number of prefixes that missed each server's cache."""
    runs = context.fleet.runs()
    return Counter({name: run["prefix_misses"] for name, run in runs.items()})


@then('one "{service}" alone had to learn the prefix')
def step(context, service):
    misses = prefix_misses(context) - context.misses_before
    assert misses.total() == 1 and min(misses).startswith(service), misses


@given("a document whose budget of hedges is never spent")
def step(context):
    # Calls that are slow by chance also spend the budget.
    document = dict(context.fleet.document, version=2)
    document["policies"] = {"hedge_share": 1.0, "cost_weight": 0.0}
    context.fleet.publish(document)
    context.fleet.wait_for_version(2)


@when('"{server}" has the fault "{fault}" for one call of "{pipeline}"')
def step(context, server, fault, pipeline):
    call_until_fault_hit(context, server, fault, pipeline, stream=False)


@when('"{server}" has the fault "{fault}" for one stream of "{pipeline}"')
def step(context, server, fault, pipeline):
    call_until_fault_hit(context, server, fault, pipeline, stream=True)


def call_until_fault_hit(context, server, fault, pipeline, stream):
    """Inject a fault into a server, then call until it has run a call.

    An idle entry uses only its nearest server, so calls are made concurrently in order
    to reach the others. All replies are added to the context.
    """
    client = Client(example_key("members-web"), context.fleet.addresses())
    address = context.fleet.addresses()[0]
    context.replies = getattr(context, "replies", [])
    context.inputs = {}
    before = attempts(context, server)
    context.fleet.inject(server, {"fault": fault, "seconds": FAULT_SECONDS})

    def call(text):
        reply = client.call(pipeline, text, stream=stream, address=address)
        context.replies.append(reply)
        context.inputs[reply.request_id] = text

    with ThreadPoolExecutor(CONCURRENT_CALLS) as callers:
        for number in range(MAX_ROUNDS):
            texts = [f"{server} {number} {i}" for i in range(CONCURRENT_CALLS)]
            list(callers.map(call, texts))
            if attempts(context, server) > before:
                return
    raise AssertionError(f"no call reached {server}")


def attempts(context, server):
    """Return the number of attempts that a server has begun."""
    return len(context.fleet.runs()[server]["attempts"])


@when('"{first}" and "{second}" die')
def step(context, first, second):
    for name in (first, second):
        context.fleet.servers[name].kill()


@then('"{entry}" counts a hedge of "{stage}" and the seconds that it cost')
def step(context, entry, stage):
    def counted():
        pages = context.fleet.status(entry)["costs"].values()
        costs = [page[stage] for page in pages if stage in page]
        hedges = sum(cost["hedges"] for cost in costs)
        return hedges and sum(cost["hedged_seconds"] for cost in costs) > 0

    wait_until(counted, what="the hedge's cost")


@then('one outcome is "{one}" and the others are "{others}"')
def step(context, one, others):
    outcomes = Counter(reply.outcome for reply in context.replies)
    assert outcomes == {one: 1, others: len(context.replies) - 1}, outcomes


@then("no server has a call in progress")
def step(context):
    fleet = context.fleet
    wait_until(lambda: not any(map(fleet.in_progress, fleet.servers)))


@then("every streamed answer is whole and made from its own input")
def step(context):
    for reply in context.replies:
        text = context.inputs.get(reply.request_id)
        if text is not None:
            assert reply.result == expected_text(text, TOKENS), reply


@then('"{service}" ran each call once')
def step(context, service):
    runs = context.fleet.runs()
    names = [n for n in runs if context.fleet.servers[n].extra["service"] == service]
    for reply in context.replies:
        ran = sum(runs[n]["requests"].get(reply.request_id, 0) for n in names)
        assert ran == 1, (reply, ran)
