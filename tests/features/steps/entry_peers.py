"""Steps on membership and leaving servers among entries in separate processes."""

import itertools
import time

from behave import given, then, when

from boragestream.entry.exchange import ROUND_SECONDS
from boragestream.operator.client import Client
from tests.standins.fleet import fetch, wait_until
from tests.standins.sites import example_key
from tests.standins.strikes import is_stopped

ACCOUNT = "patan-counter"
TIMEOUT_SECONDS = 40


def split_names(text):
    """Return the names in a step's comma-separated list."""
    return text.split(", ")


def offered_entries(fleet, name):
    """Return the entries whose addresses one entry gives to callers."""
    client = Client(example_key(ACCOUNT), (fleet.entries[name].address,))
    addresses = set(client.addresses())
    return sorted(
        other
        for other, process in fleet.entries.items()
        if process.address in addresses
    )


def wait_for_offer(fleet, names, wanted):
    """Wait until entries give callers the addresses of exactly the wanted entries."""
    for name in names:
        try:
            wait_until(
                lambda n=name: offered_entries(fleet, n) == wanted, TIMEOUT_SECONDS
            )
        except TimeoutError:
            raise AssertionError((name, offered_entries(fleet, name))) from None


@given('every entry offers "{wanted}"')
@then('every entry offers "{wanted}"')
def step(context, wanted):
    wait_for_offer(context.fleet, context.fleet.entries, split_names(wanted))


@then('the others come to offer "{wanted}"')
def step(context, wanted):
    names = split_names(wanted)
    wait_for_offer(context.fleet, names, names)


@then('"{name}" comes to offer "{wanted}"')
def step(context, name, wanted):
    wait_for_offer(context.fleet, [name], split_names(wanted))


@when('"{name}" has ended')
def step(context, name):
    context.fleet.entries[name].popen.wait(TIMEOUT_SECONDS)


@when('"{name}" is started again')
def step(context, name):
    process = context.fleet.entries[name]
    process.start()
    context.fleet.wait_for_entry(process)


@given('"{name}" is frozen')
@when('"{name}" is frozen')
def step(context, name):
    process = context.fleet.entries[name]
    process.freeze()
    context.add_cleanup(process.wake)
    # Some of its threads may go on for a moment.
    wait_until(lambda: is_stopped(process), what="it is frozen")


@when('"{name}" is woken')
def step(context, name):
    context.fleet.entries[name].wake()


@when('"{name}" is killed')
def step(context, name):
    context.fleet.entries[name].kill()


@when('the network splits into "{one}" and "{other}"')
def step(context, one, other):
    context.suspicion_count = suspicion_count(context.fleet)
    context.network.split(split_names(one), split_names(other))
    context.add_cleanup(context.network.heal)


def suspicion_count(fleet):
    """Return how often entries have logged that they suspect another."""
    logged = [e["name"] for p in fleet.entries.values() for e in p.events()]
    return logged.count("entry_suspected")


@then("no entry suspected another since the split")
def step(context):
    assert suspicion_count(context.fleet) == context.suspicion_count


@when("the network heals")
def step(context):
    context.network.heal()


@when("{count:d} rounds of the exchange pass")
def step(context, count):
    time.sleep(count * ROUND_SECONDS)


@when('"{account}" calls "{pipeline}" with "{text}" on every entry')
def step(context, account, pipeline, text):
    client = Client(example_key(account), ())
    context.replies = [
        client.call(pipeline, text, address=address)
        for address in context.fleet.addresses()
    ]


def server_state(fleet, name, server):
    """Return a backend server's state in an entry's status."""
    servers = fleet.status(name)["servers"]
    return {s["name"]: s["state"] for s in servers}.get(server)


@given('every entry holds "{server}" to be "{state}"')
@then('every entry holds "{server}" to be "{state}"')
def step(context, server, state):
    for name in context.fleet.entries:
        wait_until(
            lambda n=name: server_state(context.fleet, n, server) == state,
            TIMEOUT_SECONDS,
            f"{name} holding {server} to be {state}",
        )


@when('"{server}" begins to refuse new work since it is leaving')
def step(context, server):
    port = context.fleet.servers[server].port
    fetch(port, "/standin/leaving", {"leaving": True})


@when('"{server}" begins to say in its answers that it is leaving')
def step(context, server):
    port = context.fleet.servers[server].port
    fetch(port, "/standin/leaving", {"leaving": "in-answers"})


@when(
    '"{account}" calls "{pipeline}" on "{name}" '
    'until it holds "{server}" to be "{state}"'
)
def step(context, account, pipeline, name, server, state):
    address = context.fleet.entries[name].address
    client = Client(example_key(account), ())

    inputs = itertools.count()

    def call_and_check():
        # A repeated input would be routed to the same server.
        client.call(pipeline, f"who is there {next(inputs)}", address=address)
        return server_state(context.fleet, name, server) == state

    wait_until(
        call_and_check, TIMEOUT_SECONDS, f"{name} holding {server} to be {state}"
    )


@when("the instance list is published again")
def step(context):
    context.fleet.publish_instances()


@when('"{server}" is replaced at the same address')
def step(context, server):
    context.fleet.replace_server(server)
    context.fleet.publish_instances()
