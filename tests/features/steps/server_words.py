"""Steps on leave notices and back-off requests in the answers of servers."""

import time
from collections import Counter

from behave import given, then, when

from tests.standins.fleet import wait_until

MAX_CALLS = 60
# A call in flight when the server answers still arrives within this time.
IN_FLIGHT_SECONDS = 0.5
ENTRY, OTHER_ENTRY = "entry-0", "entry-1"
IMMEDIATE_REPLY_SECONDS = 0.3
# Pause between two requests, which keeps the retries within their limit.
REQUEST_GAP_SECONDS = 0.02
CONCURRENT_GAP_SECONDS = 0.1


def send(context, path, entry=ENTRY):
    """Send a request with a number and body that no other request has."""
    context.number = getattr(context, "number", 0) + 1
    method = "GET" if path.startswith("/safe") else "POST"
    body = None if method == "GET" else f"body {context.number}".encode()
    target = path.replace("/ok", f"/{context.number}/ok")
    headers = {}
    if path.startswith("/staged"):
        headers = {"Pieces": "2,1", "Piece_Key": f"k{context.number}"}
    return context.site.call(target, method, body, entry=entry, **headers)


@given('a "{kind}" server that says so with its answers, and a store that does not')
def step(context, kind):
    context.server = context.site.of_kind(kind)[0]
    context.server.leaving = True


@when('requests "{path}" are sent until it has answered one')
def step(context, path):
    for _ in range(MAX_CALLS):
        send(context, path)
        if context.server.arrivals:
            return
    raise AssertionError(f"server received no call in {MAX_CALLS} requests")


@then('of the next {count:d} requests "{path}" to that entry none reaches it')
def step(context, count, path):
    context.path = path
    before = len(context.server.arrivals)
    for _ in range(count):
        send(context, path)
    assert len(context.server.arrivals) == before


@then("soon none of the other entry does")
def step(context):
    def not_reached():
        before = len(context.server.arrivals)
        for _ in range(4):
            send(context, context.path, OTHER_ENTRY)
        return len(context.server.arrivals) == before

    wait_until(not_reached, seconds=2.0, what="the other entry to avoid the server")


@given('a "{kind}" server that turns calls away and asks for "{pause}" seconds')
def step(context, kind, pause):
    context.server = context.site.of_kind(kind)[0]
    context.server.pause = pause


@given(
    'all "{kind}" servers turn calls away and ask for "{longer}" and "{pause}" seconds'
)
def step(context, kind, longer, pause):
    for server in context.site.of_kind(kind):
        server.pause = longer
    server.pause = pause
    context.pause = float(pause)


@when('requests "{path}" are sent for {seconds:g} seconds')
def step(context, path, seconds):
    context.answers = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        started_at = time.monotonic()
        context.answers.append(
            (send(context, path), started_at, time.monotonic() - started_at)
        )
        time.sleep(REQUEST_GAP_SECONDS)


@when('requests "{path}" are sent side by side for {seconds:g} seconds')
def step(context, path, seconds):
    context.answers = []
    count = int(seconds / CONCURRENT_GAP_SECONDS)

    def send_delayed(number):
        time.sleep(number * CONCURRENT_GAP_SECONDS)
        started_at = time.monotonic()
        answer = send(context, path)
        context.answers.append((answer, started_at, time.monotonic() - started_at))

    context.site.at_once(count, send_delayed)
    context.answers.sort(key=lambda sent: sent[1])


@then("in the pause it got {most:d} calls at the most, and all are answered")
def step(context, most):
    server = context.server
    first, pause = server.arrivals[0], float(server.pause)
    inside = [at for at in server.arrivals if IN_FLIGHT_SECONDS < at - first < pause]
    assert len(inside) <= most, len(inside)
    statuses = Counter(answer.status for answer, _, _ in context.answers)
    assert set(statuses) == {200}, statuses


@when("it takes calls again and the pause is over")
def step(context):
    server = context.server
    left = server.arrivals[-1] + float(server.pause) - time.monotonic()
    server.pause = None
    time.sleep(max(0.0, left) + 0.1)


@then('requests "{path}" reach it again')
def step(context, path):
    before = len(context.server.arrivals)

    def reached():
        assert send(context, path).status == 200
        return len(context.server.arrivals) > before

    wait_until(reached, what="a call to the server")


@then("the later ones are refused at once, to come back at the earliest end")
def step(context):
    first = context.answers[0][1]
    later = [a for a in context.answers if a[1] - first > IN_FLIGHT_SECONDS]
    assert later
    for answer, started_at, elapsed in later:
        assert answer.status == 503 and elapsed < IMMEDIATE_REPLY_SECONDS, (
            answer.status,
            elapsed,
        )
        wait = float(answer.headers["Retry-After"])
        left = first + context.pause - started_at
        assert left - 0.3 < wait < left + 0.6, (wait, left)


@then("it got more than {least:d} calls, and all are answered")
def step(context, least):
    assert len(context.server.arrivals) > least, len(context.server.arrivals)
    statuses = Counter(answer.status for answer, _, _ in context.answers)
    assert set(statuses) == {200}, statuses
