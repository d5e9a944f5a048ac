"""Steps that read the status page."""

import itertools

from behave import given, then, when

from boragestream.operator.client import Client
from tests.standins.fleet import fetch, wait_until
from tests.standins.sites import example_key


@given('"{account}" has called "{pipeline}" through "{name}"')
def step(context, account, pipeline, name):
    address = context.fleet.entries[name].address
    client = Client(example_key(account), (address,))
    reply = client.call(pipeline, "x", address=address)
    assert reply.outcome == "answered", reply
    # The answer is sent before it is counted.
    wait_until(lambda: context.fleet.status(name)["accounts"])


@when('the status page of "{name}" is read with the key "{key}"')
def step(context, name, key):
    key = key.encode().decode("latin-1")
    context.page = fetch(context.fleet.entries[name].port, "/v1/status", key=key)


@then('the status page is refused with "{code}"')
def step(context, code):
    assert context.page["type"] == f"urn:boragestream:refused:{code}", context.page


@then('it counts an answered request of "{account}" with its latency')
def step(context, account):
    report = context.page["accounts"][account]
    assert report["outcomes"] == {"answered": 1}, report
    assert report["latency"]["count"] == 1, report
    assert report["latency"]["max_ms"] > 0, report


@then('it counts an attempt of each stage of "{pipeline}" with its cost')
def step(context, pipeline):
    listed = context.fleet.document["pipelines"]
    stages = next(p["stages"] for p in listed if p["name"] == pipeline)
    for stage in stages:
        report = context.page["stages"][f"{pipeline}.{stage['name']}"]
        assert report["whole"] == 1 <= report["attempts"], report
        assert report["server_seconds"] > 0, report


@then("it names every server as live")
def step(context):
    states = {s["name"]: s["state"] for s in context.page["servers"]}
    assert states == dict.fromkeys(context.fleet.servers, "live"), states


def observed_state(context, name, other):
    """Return the state of another entry or a server as an entry sees it."""
    page = context.fleet.status(name)
    states = {r["name"]: r["state"] for r in [*page["servers"], *page["entries"]]}
    return states[other]


@when('"{entry}" and "{server}" are killed')
def step(context, entry, server):
    context.fleet.entries[entry].kill()
    context.fleet.servers[server].kill()


@then('the status page of "{name}" says "{state}" of "{other}"')
def step(context, name, state, other):
    wait_until(lambda: observed_state(context, name, other) == state)


@then('the status page of "{name}" says "{state}" of "{other}" while it is called')
def step(context, name, state, other):
    address = context.fleet.entries[name].address
    client = Client(example_key("patan-counter"), (address,))
    inputs = itertools.count()

    def has_state():
        # A repeated input would always be routed to the same server.
        client.call("caption", f"portrait {next(inputs)}", address=address)
        return observed_state(context, name, other) == state

    wait_until(has_state)


@when('the instance list says that "{server}" is leaving')
def step(context, server):
    context.fleet.servers[server].extra["state"] = "leaving"
    context.fleet.publish_instances()
