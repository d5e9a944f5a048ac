"""Steps on entries that know one another, as separate processes."""

import signal
import time

from behave import given, then, when

from boragestream.entry.exchange import ROUND_SECONDS
from boragestream.operator.client import Client
from tests.standins.fleet import ADDRESS, wait_until
from tests.standins.sites import example_key

ACCOUNT = "patan-counter"
LIMIT_SECONDS = 40


def split_names(text):
    """Return the names of a list in a step."""
    return text.split(", ")


def offered(fleet, name):
    """Return the entries that one entry tells callers to use."""
    client = Client(example_key(ACCOUNT), (f"{ADDRESS}:{fleet.entries[name].port}",))
    addresses = set(client.addresses())
    return sorted(
        other
        for other, process in fleet.entries.items()
        if f"{ADDRESS}:{process.port}" in addresses
    )


def wait_for_offer(fleet, names, wanted):
    """Wait until entries tell callers to use certain entries."""
    for name in names:
        try:
            wait_until(lambda n=name: offered(fleet, n) == wanted, LIMIT_SECONDS)
        except TimeoutError:
            raise AssertionError((name, offered(fleet, name))) from None


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


@when('"{name}" is told to stop')
def step(context, name):
    context.fleet.entries[name].signal(signal.SIGTERM)


@when('"{name}" has ended')
def step(context, name):
    context.fleet.entries[name].popen.wait(LIMIT_SECONDS)


@when('"{name}" is started again')
def step(context, name):
    process = context.fleet.entries[name]
    process.start()
    context.fleet.wait_for_entry(process)


@when('"{name}" is frozen')
def step(context, name):
    process = context.fleet.entries[name]
    process.signal(signal.SIGSTOP)
    context.add_cleanup(process.signal, signal.SIGCONT)


@when('"{name}" is woken')
def step(context, name):
    context.fleet.entries[name].signal(signal.SIGCONT)


@when('"{name}" is killed')
def step(context, name):
    context.fleet.entries[name].kill()


@when('the network splits into "{one}" and "{other}"')
def step(context, one, other):
    context.network.split(split_names(one), split_names(other))
    context.add_cleanup(context.network.heal)


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
