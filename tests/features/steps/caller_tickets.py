"""Steps that post under tickets while servers or entries fail."""

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
LEDGER_SERVER = "member-ledger-1"
LOOKUP_SERVER = "counter-app-1"
DEADLINE_MS = 2000
SHORT_DEADLINE_MS = 600
# The fleet keeps answers for 5 s; 2 s more until all entries know of the stop.
LINGER_SECONDS = 7.5
FAULTS = {
    "slow": {"seconds": 0.5},
    "late": {"seconds": 1.0},
    "silent": {"seconds": 1.0},
    "refuse-always": {"fault": "refuse", "times": 999},
}
SHORT_DEADLINE_FAULTS = ("late", "silent", "refuse-always")


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
    policies = {**fleet.document.get("policies", {}), "ticket_seconds": life}
    if fleet.document["policies"] != policies:
        version = fleet.document["version"] + 1
        fleet.document = {**fleet.document, "policies": policies, "version": version}
        fleet.publish(fleet.document)
    for name in fleet.entries:
        wait_until(lambda n=name: is_ready(fleet, n), what=f"{name} up to date")
    context.life = life
    context.before = charges(context)
    context.deadline_ms = DEADLINE_MS
    context.posted = []


def is_ready(fleet, name):
    """Return whether an entry has the newest document and instance list."""
    status = fleet.status(name)
    newest = status["version"] == fleet.document["version"]
    return newest and {s["name"] for s in status["servers"]} == set(fleet.servers)


def charges(context):
    """Return how often the ledger ran, by request id."""
    return fetch(context.fleet.servers[LEDGER_SERVER].port, "/standin/runs")["requests"]


def address(context, name):
    """Return an entry's address towards callers."""
    return context.fleet.entries[name].address


def client(account=ACCOUNT):
    """Return a client without entry addresses."""
    return Client(example_key(account), ())


def post(context, name, account=ACCOUNT, pipeline=PIPELINE, deadline_ms=None):
    """Post under the ticket and record the reply."""
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
    """Query the ticket's state."""
    path = ticket_path(context.ticket)
    return ask_state(client(account), path, address(context, name))


def wait_for_end(context, name):
    """Query the ticket's state until its call has ended."""

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
    # The issuer may just have been replaced, so the other entries must reconnect. A
    # separate ticket is used, since querying an unused ticket makes it unusable.
    if name == "nowhere":
        return
    path = ticket_path(fetch_ticket(client(), address(context, issuer)))
    wait_until(
        lambda: ask_state(client(), path, address(context, name)).outcome != "unknown",
        what=f"{name} reaches {issuer}",
    )


@given('the ledger\'s next call meets "{fault}"')
def step(context, fault):
    server = context.fleet.servers[LEDGER_SERVER]
    if fault in SHORT_DEADLINE_FAULTS:
        context.deadline_ms = SHORT_DEADLINE_MS
    if fault == "down":
        context.before = {}
        server.kill()
        context.add_cleanup(revive, server)
        return
    context.fleet.inject(LEDGER_SERVER, {"fault": fault, **FAULTS.get(fault, {})})
    if fault == "refuse-always":
        # Killing the process discards the remaining faults.
        context.add_cleanup(revive, server)
        context.add_cleanup(server.kill)


def revive(server):
    """Restart a server if it is down."""
    if server.popen.poll() is not None:
        server.start()
    wait_until(lambda: fetch(server.port, "/load"), what="the server")


@given("the look-up's next call takes {seconds:g} s")
def step(context, seconds):
    context.fleet.inject(LOOKUP_SERVER, {"fault": "slow", "seconds": seconds})


@when('it is posted to "{name}"')
def step(context, name):
    if name != "nowhere":
        context.reply = post(context, name)


@when('it is posted to "{name}" until its outcome is known')
def step(context, name):
    def is_known():
        context.reply = post(context, name)
        return context.reply.outcome != "unknown"

    # Data that an entry reads first after a pause counts as received before the pause,
    # so the first post may exceed its deadline while the delayed one still runs.
    wait_until(is_known, what="a known outcome")


@then('the failure is one of "{codes}"')
def step(context, codes):
    # Another entry may not yet have reconnected to the new process.
    code = context.reply.problem["type"].rpartition(":")[2]
    assert code in codes.split(", "), context.reply


@then('asked of "{name}" its state is "{state}"')
def step(context, name, state):
    reply = wait_for_end(context, name)
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
    """Return how often the charge ran; check that no id ran twice or when refused."""
    revive(context.fleet.servers[LEDGER_SERVER])
    now = charges(context)
    assert max(now.values(), default=1) == 1, now
    check_refusals(context)
    return sum(now.values()) - sum(context.before.values())


def check_refusals(context):
    """Check that no server ran a refused request."""
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


def post_and_act(context, name, server, act):
    """Post in another thread and call ``act`` once a server runs the request."""
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
        # The pause alone makes the ticket expire: it exceeds the ticket's lifetime.
        time.sleep(context.life + 0.3)
        process.wake()

    context.deadline_ms = DEADLINE_MS * 10
    context.reply = post_and_act(context, name, LOOKUP_SERVER, freeze)


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
    """Restart an entry at its address."""
    process = context.fleet.entries[name]
    process.start()
    wait_until(lambda: is_ready(context.fleet, name), what=f"{name} up to date")


@when('it is posted to "{name}" and "{killed}" is killed meanwhile')
def step(context, name, killed):
    process = context.fleet.entries[killed]
    context.reply = post_and_act(context, name, LEDGER_SERVER, process.kill)


@when('it is posted to "{name}" by a caller that goes away meanwhile')
def step(context, name):
    connection = http.client.HTTPConnection(address(context, name))
    headers = {
        "Authorization": f"Bearer {example_key(ACCOUNT)}",
        "Idempotency-Key": context.ticket,
    }
    body = json.dumps({"input": "one order"})
    connection.request("POST", f"/v1/pipelines/{PIPELINE}", body, headers)
    wait_until(lambda: context.fleet.in_progress(LEDGER_SERVER))
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
        wait_until(lambda: fleet.in_progress(LEDGER_SERVER))
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
    # Without tickets the stop would have ended by then; see GracefulStop.
    time.sleep(LINGER_SECONDS)


def restart(context, process):
    """Kill an entry and restart it."""
    process.kill()
    replace(context, process.name)
