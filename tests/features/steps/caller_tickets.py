"""Steps that post under tickets while something fails."""

import http.client
import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from boragestream.operator.tickets import (
    ask_state,
    call_once,
    fetch_ticket,
    ticket_path,
)
from tests.standins.fleet import ADDRESS, fetch, wait_until
from tests.standins.sites import example_key

ACCOUNT = "patan-counter"
PIPELINE = "order-status"
LEDGER = "member-ledger-1"
LOOK_UP = "counter-app-1"
DEADLINE_MS = 2000
SHORT_MS = 600
# The fleet's answers are kept 5 s; 2 s more until all have heard of the stop.
LINGER_SECONDS = 7.5
FAULTS = {
    "slow": {"seconds": 0.5},
    "late": {"seconds": 1.0},
    "silent": {"seconds": 1.0},
    "refuse-always": {"fault": "refuse", "times": 999},
}
CUT_SHORT = ("late", "silent", "refuse-always")


@given("tickets that live {life:g} s and one server for each stage of {pipeline}")
def step(context, life, pipeline):
    fleet = context.fleet
    if not getattr(fleet, "is_narrow", False):
        for name in list(fleet.servers):
            is_spare = name.startswith(("member-ledger", "counter-app"))
            if is_spare and not name.endswith("-1"):
                fleet.servers.pop(name).kill()
        fleet.is_narrow = True
        fleet.publish_instances()
    wanted = {**fleet.document.get("policies", {}), "ticket_seconds": life}
    if fleet.document["policies"] != wanted:
        version = fleet.document["version"] + 1
        fleet.document = {**fleet.document, "policies": wanted, "version": version}
        fleet.publish(fleet.document)
    for name in fleet.entries:
        wait_until(lambda n=name: is_ready(fleet, n), what=f"{name} up to date")
    context.life = life
    context.before = charges(context)
    context.deadline_ms = DEADLINE_MS
    context.posted = []


def is_ready(fleet, name):
    """Tell whether an entry has the newest document and list."""
    status = fleet.status(name)
    newest = status["version"] == fleet.document["version"]
    return newest and {s["name"] for s in status["servers"]} == set(fleet.servers)


def charges(context):
    """Return how often the ledger ran, by request id."""
    return fetch(context.fleet.servers[LEDGER].port, "/standin/runs")["requests"]


def address(context, name):
    """Return an entry's address towards callers."""
    return context.fleet.entries[name].address


def client(account=ACCOUNT):
    """Return a client that knows no entries."""
    return Client(example_key(account), ())


def post(context, name, account=ACCOUNT, pipeline=PIPELINE, deadline_ms=None):
    """Post under the ticket and keep the reply."""
    reply = client(account).call(
        pipeline,
        "one order",
        deadline_ms=context.deadline_ms if deadline_ms is None else deadline_ms,
        address=address(context, name),
        ticket=context.ticket,
    )
    if isinstance(reply, EntryUnreachable):
        return CallReply("lost", "", None, {}, 0.0)
    context.posted.append(reply)
    return reply


def ask(context, name, account=ACCOUNT):
    """Ask for the ticket."""
    path = ticket_path(context.ticket)
    return ask_state(client(account), path, address(context, name))


def settled(context, name):
    """Ask for the ticket until its call is not in progress."""

    def has_ended():
        reply = ask(context, name)
        return reply if reply.outcome != "in-progress" else None

    return wait_until(has_ended, what="the end of the call")


@given('a ticket of "{name}"')
def step(context, name):
    context.ticket = fetch_ticket(client(), address(context, name))
    context.issued = time.monotonic()
    assert isinstance(context.ticket, str), context.ticket


@given('"{name}" reaches "{issuer}"')
def step(context, name, issuer):
    # The issuer may just have been replaced; the other entries connect to it anew.
    # It is asked for a ticket of its own, since a ticket that was asked for is void.
    if name == "nowhere":
        return
    path = ticket_path(fetch_ticket(client(), address(context, issuer)))
    wait_until(
        lambda: ask_state(client(), path, address(context, name)).outcome != "unknown",
        what=f"{name} reaches {issuer}",
    )


@given('the ledger\'s next call meets "{fault}"')
def step(context, fault):
    server = context.fleet.servers[LEDGER]
    if fault in CUT_SHORT:
        context.deadline_ms = SHORT_MS
    if fault == "down":
        context.before = {}
        server.kill()
        context.add_cleanup(revive, server)
        return
    context.fleet.inject(LEDGER, {"fault": fault, **FAULTS.get(fault, {})})
    if fault == "refuse-always":
        # What is left of the faults ends with the process.
        context.add_cleanup(revive, server)
        context.add_cleanup(server.kill)


def revive(server):
    """Start a server again where it is down."""
    if server.popen.poll() is not None:
        server.start()
    wait_until(lambda: fetch(server.port, "/load"), what="the server")


@given("the look-up's next call takes {seconds:g} s")
def step(context, seconds):
    context.fleet.inject(LOOK_UP, {"fault": "slow", "seconds": seconds})


@when('it is posted to "{name}"')
def step(context, name):
    if name != "nowhere":
        context.reply = post(context, name)


@when('it is posted to "{name}" until its outcome is known')
def step(context, name):
    def is_known():
        context.reply = post(context, name)
        return context.reply.outcome != "unknown"

    # What an entry reads first after a pause counts as come before it, so that the
    # first post may find its time over while the delayed one still runs.
    wait_until(is_known, what="a known outcome")


@then('the failure is one of "{codes}"')
def step(context, codes):
    # Another entry may not yet have connected to the new process again.
    code = context.reply.problem["type"].rpartition(":")[2]
    assert code in codes.split(", "), context.reply


@then('asked of "{name}" its state is "{state}"')
def step(context, name, state):
    reply = settled(context, name)
    assert reply.outcome == state, reply


@then("the charge ran {runs} times")
def step(context, runs):
    assert count_runs(context) == int(runs), charges(context)


@then("the charge ran once where it was answered and not at all where refused")
def step(context):
    expected = {"answered": 1, "refused": 0}
    assert context.reply.outcome in expected, context.reply
    assert count_runs(context) == expected[context.reply.outcome], context.reply


def count_runs(context):
    """Return how often the charge ran; no id twice, and none that was refused."""
    revive(context.fleet.servers[LEDGER])
    now = charges(context)
    assert max(now.values(), default=1) == 1, now
    check_refusals(context)
    return sum(now.values()) - sum(context.before.values())


def check_refusals(context):
    """Check that no id that was refused was run anywhere."""
    refused = {r.request_id for r in context.posted if r.outcome == "refused"}
    for name, runs in context.fleet.runs().items():
        assert not refused & set(runs["requests"]), name


@when("it is posted to {count:d} entries at once")
def step(context, count):
    names = list(context.fleet.entries)
    targets = [names[i % len(names)] for i in range(count)]
    with ThreadPoolExecutor(count) as pool:
        context.replies = list(pool.map(lambda n: post(context, n), targets))


@then('every post has the same outcome "{outcome}"')
def step(context, outcome):
    seen = {(r.outcome, r.request_id) for r in context.replies}
    assert len(seen) == 1 and {s[0] for s in seen} == {outcome}, seen


def meanwhile(context, name, server, act):
    """Post in another thread and act once a server runs the request."""
    with ThreadPoolExecutor(1) as pool:
        posting = pool.submit(post, context, name)
        wait_until(lambda: context.fleet.in_progress(server))
        act()
        return posting.result()


@when('it is posted to "{name}" and "{frozen}" is frozen meanwhile until it expired')
def step(context, name, frozen):
    process = context.fleet.entries[frozen]

    def freeze():
        process.freeze()
        # The pause, not the test, decides: the ticket's life and then some.
        time.sleep(context.life + 0.3)
        process.wake()

    context.deadline_ms = DEADLINE_MS * 10
    context.reply = meanwhile(context, name, LOOK_UP, freeze)


@given('no other entry reaches "{name}"')
def step(context, name):
    silent = socket.create_server((ADDRESS, 0))
    context.add_cleanup(silent.close)
    context.peer_port = context.fleet.entries[name].extra["peer_port"]
    publish_peer_port(context, name, silent.getsockname()[1])
    context.add_cleanup(publish_peer_port, context, name, context.peer_port)


@when('every entry reaches "{name}" again')
def step(context, name):
    publish_peer_port(context, name, context.peer_port)


def publish_peer_port(context, name, port):
    """Publish an entry under a peer port and wait until every entry has the list."""
    fleet = context.fleet
    fleet.entries[name].extra["peer_port"] = port
    fleet.publish_instances()
    time.sleep(0.3)


@when('"{name}" is killed and replaced')
def step(context, name):
    context.fleet.entries[name].kill()
    replace(context, name)


@when('"{name}" is replaced')
def replace(context, name):
    """Start an entry anew at its address."""
    process = context.fleet.entries[name]
    process.start()
    wait_until(lambda: is_ready(context.fleet, name), what=f"{name} up to date")


@when('it is posted to "{name}" and "{killed}" is killed meanwhile')
def step(context, name, killed):
    process = context.fleet.entries[killed]
    context.reply = meanwhile(context, name, LEDGER, process.kill)


@when('it is posted to "{name}" by a caller that goes away meanwhile')
def step(context, name):
    connection = http.client.HTTPConnection(address(context, name))
    headers = {
        "Authorization": f"Bearer {example_key(ACCOUNT)}",
        "Idempotency-Key": context.ticket,
    }
    body = json.dumps({"input": "one order"})
    connection.request("POST", f"/v1/pipelines/{PIPELINE}", body, headers)
    wait_until(lambda: context.fleet.in_progress(LEDGER))
    connection.close()


@when('it is asked for at "{name}"')
def step(context, name):
    context.reply = ask(context, name)


@when('it is posted with no time left at "{name}"')
def step(context, name):
    context.reply = post(context, name, deadline_ms=0)


@when('it is posted to an unknown pipeline at "{name}"')
def step(context, name):
    context.reply = post(context, name, pipeline="no-such-pipeline")


@when('"{account}" posts it to "{name}"')
def step(context, account, name):
    context.reply = post(context, name, account)


@when('"{account}" asks "{name}" for it')
def step(context, account, name):
    context.reply = ask(context, name, account)


@then('asked where it says its state is "{state}" for "{code}"')
@then('asked by "{account}" its state is "{state}" for "{code}"')
def step(context, state, code, account=ACCOUNT):
    path = context.reply.problem["ask"]
    reply = ask_state(client(account), path, address(context, "entry-5"))
    assert reply.outcome == state, reply
    assert reply.problem["type"].endswith(f":{code}"), reply


@when("a client calls once and the first entry dies meanwhile")
def step(context):
    fleet = context.fleet
    caller = Client(example_key(ACCOUNT), fleet.addresses())
    first = caller.addresses()[0]
    process = next(p for p in fleet.entries.values() if p.address == first)
    with ThreadPoolExecutor(1) as pool:
        calling = pool.submit(call_once, caller, PIPELINE, "one order", 4000)
        wait_until(lambda: fleet.in_progress(LEDGER))
        process.kill()
        context.reply = calling.result()
    replace(context, process.name)


@then("it issues no ticket any more")
def step(context):
    reply = fetch_ticket(client(), address(context, "entry-6"))
    assert reply.problem["type"].endswith(":entry-leaving"), reply


@when('"{name}" has lingered as long as answers may be kept')
def step(context, name):
    process = context.fleet.entries[name]
    context.add_cleanup(restart, context, process)
    # A stop without tickets would have ended by then: see GracefulStop.
    time.sleep(LINGER_SECONDS)


def restart(context, process):
    """End an entry and start it anew."""
    process.kill()
    replace(context, process.name)
