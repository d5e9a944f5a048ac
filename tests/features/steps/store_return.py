"""Steps on a store that comes back from a copy."""

import time

from behave import given, when

from tests.standins.route_site import configuration, route

# Each lost version has a route of its own.
FIRST_LOST = 10
AWAY_SECONDS = 1.0


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
