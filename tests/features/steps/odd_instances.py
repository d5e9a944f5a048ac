"""Steps on instance lists of the platform with an odd instance."""

import json

from behave import then, when

from tests.features.steps.odd_answers import spell_out
from tests.standins.fleet import ADDRESS, wait_until

ODD_NAME = "odd-1"
SECONDS = 10


def state(fleet, entry, server):
    """Return a server's state at an entry; None if it isn't listed there."""
    servers = fleet.status(entry)["servers"]
    return {s["name"]: s["state"] for s in servers}.get(server)


@when('an instance with {value} as "{field}" is listed, and "{server}" as leaving')
def step(context, value, field, server):
    fleet = context.fleet
    fleet.servers[server].extra["state"] = "leaving"
    odd = {
        "name": ODD_NAME,
        "service": "counter-app",
        "address": ADDRESS,
        "port": 9,
        "data_centre": "hall",
        field: json.loads(spell_out(value)),
    }
    fleet.publish_instances(more=[odd])


@then("no entry knows the odd instance")
def step(context):
    for name in context.fleet.entries:
        assert state(context.fleet, name, ODD_NAME) is None


@when('"{name}" starts anew')
def step(context, name):
    context.fleet.entries[name].kill()
    context.fleet.entries[name].start()


@then('"{name}" is ready and holds "{server}" to be "{held}"')
def step(context, name, server, held):
    fleet = context.fleet
    fleet.wait_for_entry(fleet.entries[name])
    wait_until(lambda: state(fleet, name, server) == held, SECONDS, "the state")
