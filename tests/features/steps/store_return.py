"""Steps on a store that comes back from a copy."""

import time

from behave import given, then, when

from tests.standins.route_site import configuration, route

# Each lost version has a route of its own.
FIRST_LOST = 10
AWAY_SECONDS = 1.0
# A change is in force everywhere after this.
SETTLED_SECONDS = 2.0
# A server that lives has written its entry again so long after the return.
REPORT_SECONDS = 1.8


def publish_versions(site, first, count):
    """Publish versions one after the other, each with one more route."""
    for version in range(first, first + count):
        routes = [route(f"/v{n}/", "safe", "plain") for n in range(first, version + 1)]
        site.publish(configuration(version, extra=routes))
        time.sleep(0.05)


def lose_revisions(site, count):
    """Publish versions that a copy of the store lacks, and see them in force."""
    copy = site.store.copy()
    publish_versions(site, FIRST_LOST, count)
    path = f"/v{FIRST_LOST + count - 1}/ok"
    for name in site.entries:
        while site.call(path, "GET", None, name).status != 200:
            time.sleep(0.05)
    return copy


@given("the store has come back from a copy that lacks its last {count:d} revisions")
def step(context, count):
    site = context.site
    copy = lose_revisions(site, count)
    site.store.down = "reset"
    time.sleep(AWAY_SECONDS)
    site.store.return_from(copy)
    time.sleep(AWAY_SECONDS)


@given("the store has lost its last {count:d} revisions, and entries can't ask it yet")
def step(context, count):
    site = context.site
    copy = lose_revisions(site, count)
    site.store.down = "silent"
    time.sleep(AWAY_SECONDS)
    with site.store.lock:
        site.store.return_from(copy)
        site.store.down = "silent"


@when(
    "{count:d} other changes pass the lost revisions before entries are answered again"
)
def step(context, count):
    site = context.site
    for number in range(count):
        site.list(site.servers[0], cold_ms=number)
    time.sleep(AWAY_SECONDS)
    site.store.down = None


def plain(site, number):
    """Return one of the plain servers."""
    return site.of_kind("plain")[number]


def acknowledge(site, what):
    """Have something published; return the servers that may be reached after it."""
    first, second = plain(site, 0), plain(site, 1)
    if what == "a leave":
        site.list(first, "draining")
        return [second]
    if what == "a removal":
        site.store.put(f"servers/{first.identity}", None)
        return [second]
    if what == "a new server":
        site.add_server("plain")
        for server in (first, second):
            site.list(server, "draining")
        return site.of_kind("plain")[2:]
    if what == "an order to drain":
        site.drain(first.zone)
        return [second]
    site.drain()
    site.list(second, "draining")
    return [first]


@given("{what} that the store has acknowledged, and a copy of before")
def step(context, what):
    site = context.site
    if what == "the end of a drain":
        site.drain(plain(site, 0).zone)
        site.wait(SETTLED_SECONDS)
    context.copy = site.store.copy()
    context.allowed = acknowledge(site, what)
    site.wait(SETTLED_SECONDS)


@when("the store comes back from the copy, and one entry is started anew")
def step(context):
    site = context.site
    site.store.down = "reset"
    site.wait(AWAY_SECONDS)
    site.store.return_from(context.copy)
    served_as_before(context, REPORT_SECONDS)
    for server in site.of_kind("plain")[2:]:
        # One that lives writes its entry again.
        site.list(server)
    site.kill("entry-2")
    site.entries["entry-2"].start()
    site.wait_ready("entry-2")
    # It learns from the others what the copy lacks.
    site.wait(AWAY_SECONDS)


@then("for {seconds:g} seconds requests to all entries are served as before the return")
def step(context, seconds):
    served_as_before(context, seconds)


def served_as_before(context, seconds):
    """Call all entries for a while, and look which servers were reached."""
    site = context.site
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for name in site.entries:
            answer = site.call("/safe/ok", "GET", None, name)
            assert answer.status == 200, (name, answer.status)
            by = [s for s in site.of_kind("plain") if s.runs[answer.request_id]]
            assert set(by) <= set(context.allowed), (name, [s.identity for s in by])
        time.sleep(0.02)


@when("the store answers as usual for {seconds:g} seconds")
def step(context, seconds):
    count_calls(context, seconds)


@when("the store has no history to any watch for {seconds:g} seconds")
def step(context, seconds):
    context.site.store.refuses_watches = True
    count_calls(context, seconds)


@when("the store answers from earlier copies than before for {seconds:g} seconds")
def step(context, seconds):
    store = context.site.store
    with store.lock:
        store.era = 1
        store.revision -= 3
        store.lock.notify_all()
    count_calls(context, seconds)


@when("the store names another era in each page of a read for {seconds:g} seconds")
def step(context, seconds):
    context.site.store.changes_era = True
    count_calls(context, seconds)


def count_calls(context, seconds):
    """Let time pass while requests come, and count the calls of the store."""
    site = context.site
    before, began = site.store.calls, time.monotonic()
    while time.monotonic() - began < seconds:
        for name in site.entries:
            site.call("/safe/ok", "GET", None, name)
        time.sleep(0.1)
    context.rate = (site.store.calls - before) / (time.monotonic() - began)


@then("each entry has asked it at most {most:g} times a second")
def step(context, most):
    assert context.rate <= most * len(context.site.entries), context.rate
