"""Steps on servers that are leaving and servers that are replaced."""

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when

from boragestream.policy.servers import Server, ServerState, ServerTable
from tests.standins.fleet import fetch, wait_until
from tests.standins.verdicts import Call

HOST = "10.0.0.1:80"
STATES = {"live": ServerState.LIVE, "leaving": ServerState.LEAVING}


@given('a table with the server "{name}" in incarnation "{incarnation}"')
@given('a table with the server "{name}" in incarnation ""')
def step(context, name, incarnation=""):
    context.server = Server(name, "service", HOST, "centre", incarnation)
    context.unused = []
    context.servers = ServerTable()
    context.servers.on_unused(context.unused.append)
    context.servers.take_list([context.server])


@when('"{source}" says that "{name}" is leaving')
def step(context, source, name):
    if source == "the server":
        context.servers.note_leaving(context.server)
    elif source == "a peer":
        context.servers.note_leaving_identity(context.server.identity)
    else:
        context.servers.take_list([replace(context.server, state=ServerState.LEAVING)])


@when('these lists come: "{lists}"')
def step(context, lists):
    for listed in lists.split(", "):
        if listed == "nothing":
            context.servers.take_list([])
            continue
        state, _, incarnation = listed.partition(" ")
        server = replace(context.server, state=STATES[state], incarnation=incarnation)
        context.servers.take_list([server])


@then('new work for "{name}" is "{work}"')
def step(context, name, work):
    assert bool(context.servers.live("service")) is (work == "served")


@then("its idle connections were dropped")
def step(context):
    assert HOST in context.unused


@when("{count:d} other servers leave and vanish")
def step(context, count):
    for number in range(count):
        context.servers.note_leaving_identity((f"server-{number}", HOST, "1"))


@then("the table remembers at most {count:d} of them")
def step(context, count):
    identities = [(f"server-{n}", HOST, "1") for n in range(20000)]
    context.servers.take_list(Server(i[0], "s", HOST, "c", "1") for i in identities)
    assert len(identities) - len(context.servers.live("s")) == count


@given('"{name}" says that it is leaving, with a call in progress')
def step(context, name):
    fleet = context.fleet
    context.calls = []
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    call = Call("caption", context.injected.text(), deadline_ms=3000)
    slow = {"fault": "slow", "at": "ran", "seconds": 1.0}
    fetch(fleet.servers[name].port, "/standin/faults", [slow])
    context.future = pool.submit(call_until_slow, context, name, call)
    wait_until(lambda: fleet.in_progress(name), what="the call in progress")
    fetch(fleet.servers[name].port, "/standin/leaving", {"leaving": True})


def call_until_slow(context, name, call):
    """Call until a call reached the slow server; the servers are used in turn."""
    address = context.fleet.addresses()[1]
    for _ in range(10):
        call = Call("caption", context.injected.text())
        context.calls.append(call.make(address))
        if call.seconds > 1.0:
            return call
    raise AssertionError("no call was slow")


def offered(fleet, name):
    """Return the number of calls that a server was offered."""
    return fetch(fleet.servers[name].port, "/standin/runs")["offered"]


@when('"{name}" has been refused by it')
def step(context, name):
    before = offered(context.fleet, "encoder-2")
    address = context.fleet.entries[name].address

    def refused():
        context.calls.append(Call("caption", context.injected.text()).make(address))
        return offered(context.fleet, "encoder-2") > before

    wait_until(refused, what="the refusal")
    context.injected.note(context.scenario.name, "encoder-2", "says leaving")


@when("{seconds:d} s go by")
def step(context, seconds):
    # The tested requirement states this time, so that the step must wait for it.
    time.sleep(seconds)


@when("every entry is called {count:d} times")
def step(context, count):
    context.before = offered(context.fleet, "encoder-2")
    for address in context.fleet.addresses() * count:
        context.calls.append(Call("caption", context.injected.text()).make(address))


@then('"{name}" was offered nothing')
def step(context, name):
    assert offered(context.fleet, name) == context.before


@then("the call in progress ended answered")
def step(context):
    assert context.future.result().outcome == "answered"


@when('the list drops "{name}" and names it again')
def step(context, name):
    extra = context.fleet.servers[name].extra
    for state, listed in (("gone", 20), ("live", 21)):
        extra["state"] = state
        publish(context, listed)
        context.injected.note(context.scenario.name, name, "listed", state)


def publish(context, servers):
    """Publish the instance list and wait until every entry has it."""
    context.fleet.publish_instances()
    names = context.fleet.entries
    wait_until(
        lambda: all(len(context.fleet.status(n)["servers"]) == servers for n in names)
    )


@when('"{name}" is replaced at its address')
def step(context, name):
    context.fleet.replace_server(name)
    publish(context, 21)
    context.injected.note(context.scenario.name, name, "replaced")


@then('"{name}" has run calls of every entry')
def step(context, name):
    count = len(context.fleet.entries)
    assert offered(context.fleet, name) - context.before >= count
