"""Steps that stop entries while requests take longer than the grace period."""

import contextlib
import http.client
import signal
import threading
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_site import HOST, KEY, STAGED, configuration, route, staged

TIMEOUT_MS = 20_000
WORK_SECONDS = 15.0
BODY = b"x" * 1000
# Versions rise only, whatever a scenario publishes.
VERSION = 50


def start_entry(context, name, grace_seconds):
    """Start an entry anew with a grace period, beside servers that take long."""
    site = context.site
    context.add_cleanup(heal, context, name)
    site.publish(configuration(VERSION, extra=long_routes()))
    site.fields[name]["bounds"]["grace_s"] = grace_seconds
    site.write_settings(name)
    site.kill(name)
    site.entries[name].start()
    site.wait_ready(name)
    for entry in site.entries:
        wait_until(lambda e=entry: serves_long_routes(site, e), what="the routes")
    set_work(site, WORK_SECONDS)


def set_work(site, seconds):
    """Set how long the servers work for a call."""
    for server in site.servers:
        server.work_seconds = server.piece_seconds = seconds


def serves_long_routes(site, name):
    """Return whether an entry has the routes in force, and knows all entries."""
    served = site.call("/long/ok", "GET", None, name).status == 200
    return served and len(site.directory(name)) == len(site.entries)


def heal(context, name):
    """End the cuts, and start an entry that has ended."""
    context.site.heal()
    set_work(context.site, 0.0)
    if context.site.entries[name].popen.poll() is not None:
        context.site.entries[name].start()
        context.site.wait_ready(name)


def long_routes():
    """Return routes whose requests may take longer than a stop."""
    return [
        route("/long/", "safe", "plain", attempts=1, timeout_ms=TIMEOUT_MS),
        route("/once/", "unsafe", "plain", attempts=1, timeout_ms=TIMEOUT_MS),
        route("/pieces/", "stream", "engine", stages=staged(), timeout_ms=TIMEOUT_MS),
    ]


def begin_calls(context, count, path, name):
    """Send requests to an entry, each in a thread of its own."""
    context.answers = []
    method, body = ("GET", None) if path.startswith("/long/") else ("POST", b"hello")
    more = STAGED if path.startswith("/pieces/") else {}

    def call():
        deadline = {"Deadline_Ms": str(TIMEOUT_MS)}
        # A call that is cut leaves no answer.
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = context.site.call(path, method, body, name, **deadline, **more)
            context.answers.append(answer)

    context.callers = [threading.Thread(target=call) for _ in range(count)]
    for caller in context.callers:
        caller.start()


def stop(context, name):
    """Send SIGTERM to an entry."""
    context.site.signal(name, signal.SIGTERM)
    context.stopped_at = time.monotonic()


@given('the grace period of "{name}" is {seconds:g} s')
def step(context, name, seconds):
    start_entry(context, name, seconds)


@given('"{name}" reaches no server')
@given('"{name}" and "{other}" reach no server')
def step(context, name, other=None):
    site, names = context.site, [n for n in (name, other) if n]
    set_work(site, 0.0)
    site.cut_off(names, "refused")
    for cut in names:
        wait_until(lambda c=cut: is_delegating(site, c), what="the cut")
    set_work(site, WORK_SECONDS)


def is_delegating(site, name):
    """Return whether an entry knows that it is cut off, and delegates its requests."""
    served = site.call("/long/ok", "GET", None, name).status == 200
    return served and bool(site.events(name, "cut_off_from_servers"))


@when(
    '"{name}" gets SIGTERM, and {count:d} requests "{path}" are sent there {after:g} s '
    "after it"
)
def step(context, name, count, path, after):
    if after < 0:
        begin_calls(context, count, path, name)
        time.sleep(-after)
        stop(context, name)
        return
    stop(context, name)
    time.sleep(after)
    begin_calls(context, count, path, name)


@when(
    '"{name}" gets SIGTERM {seconds:g} s after {count:d} requests "{path}" came to '
    '"{other}"'
)
def step(context, name, seconds, count, path, other):
    begin_calls(context, count, path, other)
    time.sleep(seconds)
    stop(context, name)


@then('"{name}" ends with exit code {code:d} within its grace period')
def step(context, name, code):
    grace = context.site.fields[name]["bounds"]["grace_s"]
    left = context.stopped_at + grace - time.monotonic()
    assert context.site.entries[name].popen.wait(left) == code, [
        (a.status, a.body) for a in context.answers
    ]


@then('each request is answered with "{code}" and the status {status:d}')
def step(context, code, status):
    for caller in context.callers:
        caller.join()
    expected = [(status, code, True)] * len(context.callers)
    found = [(a.status, a.body.decode().strip(), a.whole) for a in context.answers]
    assert found == expected, found
    # The answers say that the requests may have run, and none ran more than once.
    assert all(context.site.runs(a.request_id) <= 1 for a in context.answers)


@when('half of a request "{path}" has come to "{name}", which gets SIGTERM')
def step(context, path, name):
    address = context.site.fields[name]["listen"]["front"]
    context.connection = http.client.HTTPConnection(address, timeout=10)
    context.add_cleanup(context.connection.close)
    context.request_id = f"r-{next(context.site.numbers)}"
    context.connection.putrequest("POST", path, skip_host=True)
    headers = {
        "Host": HOST,
        "Request-Id": context.request_id,
        "Deadline-Ms": str(TIMEOUT_MS),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(BODY)),
    }
    for header in headers.items():
        context.connection.putheader(*header)
    context.connection.endheaders(BODY[: len(BODY) // 2])
    # The entry counts a request once its first bytes have come.
    time.sleep(0.2)
    stop(context, name)


@when("the other half comes {seconds:g} s after it")
def step(context, seconds):
    time.sleep(context.stopped_at + seconds - time.monotonic())
    context.connection.send(BODY[len(BODY) // 2 :])


@then('the request is refused with "{code}", and did not run')
def step(context, code):
    response = context.connection.getresponse()
    assert response.status == 503, response.status
    assert response.read().decode().strip() == code
    assert float(response.headers["Retry-After"]) > 0
    assert context.site.runs(context.request_id) == 0
