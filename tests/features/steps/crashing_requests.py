"""Steps on requests that crash the servers that run them."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.operator.client import Client
from boragestream.operator.tickets import call_once
from tests.standins.route_server import DEADLY_KEY
from tests.standins.sites import example_key

# Longer than servers take to come back after a crash.
GAP_SECONDS = 0.6
# Nothing waits for a server in this time.
AT_ONCE_SECONDS = 0.5
# What is refused for the request itself, and for a part of it that crashed servers.
# Which of the two comes first depends on how many crashes were counted before both are
# known.
QUARANTINES = {"request-quarantined": 502, "part-quarantined": 503}
QUARANTINED = "urn:boragestream:failed:request-quarantined"
OTHER_CALLS = 6
DEADLINE_MS = 3000


@when('the {kind} "{path}" comes {count:d} times, at each entry in turn')
def step(context, kind, path, count):
    site, entries = context.site, list(context.site.entries)
    context.came = []
    for number in range(count):
        entry = entries[number % len(entries)]
        began, crashes = time.monotonic(), site.crashes()
        answer = site.call(path, entry=entry)
        took = time.monotonic() - began
        context.came.append((answer, took, site.crashes() - crashes))
        time.sleep(GAP_SECONDS)


@then(
    "no more than {most:d} servers have crashed, "
    "and the last {last:d} calls were refused at once"
)
def step(context, most, last):
    crashes = [crashes for _, _, crashes in context.came]
    assert context.site.crashes() <= most, crashes
    for answer, took, crashed in context.came[-last:]:
        code = answer.body.decode().strip()
        assert QUARANTINES.get(code) == answer.status, (answer.status, code, crashes)
        assert not crashed and not context.site.runs(answer.request_id), crashes
        assert took < AT_ONCE_SECONDS, took


def call_beside(context, count, innocents, deadly, innocent):
    """Make deadly calls, each beside innocent ones."""
    site, entries = context.site, list(context.site.entries)
    context.came, context.innocent = [], []
    with ThreadPoolExecutor(innocents) as pool:
        for number in range(count):
            entry = entries[number % len(entries)]
            names = [f"{number} {index}" for index in range(innocents)]
            beside = [pool.submit(innocent, name, entry) for name in names]
            began, crashes = time.monotonic(), site.crashes()
            answer = deadly(entry)
            took = time.monotonic() - began
            context.came.append((answer, took, site.crashes() - crashes))
            context.innocent += [call.result() for call in beside]
            time.sleep(GAP_SECONDS)


@given('{count:d} more "{kind}" servers')
def step(context, count, kind):
    for _ in range(count):
        context.site.add_server(kind)
    time.sleep(GAP_SECONDS)


@when(
    'the repeatable call "{path}" comes {count:d} times, '
    'each beside {innocents:d} innocent "{beside}"'
)
def step(context, path, count, innocents, beside):
    site = context.site
    call_beside(
        context,
        count,
        innocents,
        lambda entry: site.call(path, entry=entry),
        lambda name, entry: site.call(beside, body=name.encode(), entry=entry),
    )


@when(
    "the staged request whose pieces crash servers comes {count:d} times, "
    "each beside {innocents:d} innocent ones"
)
def step(context, count, innocents):
    site = context.site

    def call(body, key, entry):
        headers = {"Pieces": "2,1", "Piece_Key": key}
        return site.call("/staged/ok", body=body, entry=entry, **headers)

    call_beside(
        context,
        count,
        innocents,
        lambda entry: call(b"deadly", DEADLY_KEY, entry),
        lambda name, entry: call(name.encode(), name, entry),
    )


@then("every innocent call is answered, of {count:d}")
def step(context, count):
    assert len(context.innocent) == count
    unanswered = [a for a in context.innocent if a.status != 200 or not a.whole]
    assert not unanswered, [(a.request_id, a.status, a.body) for a in unanswered]


@when('the {form} of "{pipeline}" that crashes each "{service}" comes {count:d} times')
def step(context, form, pipeline, service, count):
    fleet = context.fleet
    context.deadly, context.replies = f"deadly {form}", []
    context.client = Client(example_key("patan-counter"), fleet.addresses())
    kills = [{"fault": "kill", "at": "ran"}] * 12
    fleet.inject_call(service, context.deadly, *kills)
    for number in range(count):
        address = fleet.addresses()[number % len(fleet.addresses())]
        reply = ask(context.client, form, pipeline, context.deadly, address)
        context.replies.append(reply)
        time.sleep(GAP_SECONDS)


def ask(client, form, pipeline, text, address):
    """Make a call in one of its forms."""
    if form == "ticketed call":
        return call_once(client, pipeline, text, DEADLINE_MS)
    return client.call(pipeline, text, stream=form == "stream", address=address)


@then(
    "no more than {most:d} servers were killed, "
    "and the last {last:d} answers say that it is quarantined"
)
def step(context, most, last):
    servers = context.fleet.servers.values()
    killed = [s.name for s in servers if s.popen.poll() is not None]
    assert len(killed) <= most, killed
    codes = [reply.problem["type"] for reply in context.replies]
    assert all(code == QUARANTINED for code in codes[-last:]), codes


@then('once they are back other calls of "{pipeline}" are answered')
def step(context, pipeline):
    fleet = context.fleet
    for name in [n for n, s in fleet.servers.items() if s.popen.poll() is not None]:
        fleet.replace_server(name)
    fleet.publish_instances()
    time.sleep(GAP_SECONDS)
    for number in range(OTHER_CALLS):
        reply = context.client.call(pipeline, f"other {number}")
        assert reply.outcome == "answered", reply


@given('every "{kind}" server but one crashes at its next call')
def step(context, kind):
    for server in context.site.of_kind(kind)[1:]:
        server.piece_fault = "crash"


@when("{count:d} staged requests come at once")
def step(context, count):
    def call(number):
        body, key = f"staged {number}".encode(), f"k{number}"
        return context.site.call("/staged/ok", body=body, Pieces="2,1", Piece_Key=key)

    context.answers = context.site.at_once(count, call)


@then("all staged requests are answered")
def step(context):
    statuses = [answer.status for answer in context.answers]
    assert all(status == 200 for status in statuses), statuses
    assert context.site.crashes() > 0


@when('the call of "{pipeline}" whose first "{service}" is killed is made')
def step(context, pipeline, service):
    fleet, text = context.fleet, f"innocent at {service}"
    client = Client(example_key("patan-counter"), fleet.addresses())
    fleet.inject_call(service, text, {"fault": "kill", "at": "ran"})
    context.reply = client.call(pipeline, text)


@then("it is answered")
def step(context):
    assert context.reply.outcome == "answered", context.reply
