"""Steps on questions to the platform that are never answered."""

import itertools
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import RouteServer
from tests.standins.route_site import ADDRESS, configuration
from tests.standins.route_store import LOST, MUTE

ENTRIES = ("entry-0", "entry-1", "entry-2")
# A lost question was believed for eleven seconds and more; the promise is two. The rest
# is for machines that do much beside it.
SOON_SECONDS = 8.0
# As many requests in a row that do not reach a server.
UNREACHED = 30
INSTANCES = "/v1/instances"
# An entry that has just started asks more often.
SETTLED_SECONDS = 3.0
# Servers whose entries lapsed publish themselves again so soon after the silence.
LISTED_AGAIN_SECONDS = 0.5


def asked_anew(store, before, count):
    """Wait until so many questions came since then; all of them are lost."""
    wait_until(lambda: store.lost >= before + count, what="lost questions")
    store.down = None


@given("every entry has asked about the servers anew, and all these questions are lost")
def step(context):
    site = context.site
    store = site.store
    site.wait(SETTLED_SECONDS)
    store.down = LOST
    before = store.lost
    other = RouteServer(ADDRESS, "plain", "plain", "hall-a", set())
    site.servers.append(other)
    site.list(other)
    asked_anew(store, before, len(ENTRIES))


@given("every entry has asked for the configuration anew, and its questions are lost")
def step(context):
    store = context.site.store
    context.site.wait(SETTLED_SECONDS)
    store.down = LOST
    before = store.lost
    context.site.publish(configuration(2))
    asked_anew(store, before, len(ENTRIES))


@then("requests to all entries soon do not reach it any more")
def step(context):
    until = time.monotonic() + SOON_SECONDS
    unreached = 0
    for name in itertools.cycle(ENTRIES):
        answer = context.site.call("/safe/ok", "GET", None, name)
        reached = context.gone.runs[answer.request_id] > 0
        unreached = 0 if reached else unreached + 1
        if unreached == UNREACHED:
            return
        assert not reached or time.monotonic() < until, name


@then('all entries soon serve "{path}"')
def step(context, path):
    for name in ENTRIES:
        wait_until(
            lambda n=name: context.site.call(path, "GET", None, n).status == 200,
            SOON_SECONDS,
            f"{name} serves {path}",
        )


def statuses(site):
    """Return what one request to each entry is told."""
    return [site.call("/safe/ok", "GET", None, name).status for name in ENTRIES]


@given("the store says nothing, and every entry that is in use has found out")
def step(context):
    site = context.site
    site.wait(SETTLED_SECONDS)
    site.store.down = MUTE

    def found_out():
        statuses(site)
        logs = [site.log(name) for name in ENTRIES]
        return all("configuration_unreachable" in log for log in logs)

    wait_until(found_out, what="all entries know that the store is away")


@when("the entries of all plain servers lapse and come back after the silence")
def step(context):
    site = context.site
    plain = site.of_kind("plain")
    for server in plain:
        site.store.put(f"servers/{server.identity}", None)
    site.store.down = None
    context.statuses = []
    until = time.monotonic() + LISTED_AGAIN_SECONDS
    while time.monotonic() < until:
        context.statuses += statuses(site)
    for server in plain:
        site.list(server)
    until = time.monotonic() + SETTLED_SECONDS
    while time.monotonic() < until:
        context.statuses += statuses(site)


@then("no request was refused meanwhile")
def step(context):
    assert set(context.statuses) == {200}, context.statuses


@given("every entry has asked for the instance list anew, and these questions are lost")
def step(context):
    fleet = context.fleet
    fleet.platform_mode(lost=[INSTANCES])
    before = fleet.platform_calls(INSTANCES)
    fleet.publish_instances()
    wait_until(
        lambda: fleet.platform_calls(INSTANCES) >= before + len(fleet.entries),
        what="lost questions",
    )
    fleet.platform_mode(lost=[])


@then('every entry soon holds "{server}" to be leaving')
def step(context, server):
    fleet = context.fleet
    for name in fleet.entries:
        wait_until(
            lambda n=name: state_of(fleet.status(n), server) == "leaving",
            SOON_SECONDS,
            f"{name} knows of {server}",
        )


def state_of(page, server):
    """Return what a status page says of a server."""
    return next(s["state"] for s in page["servers"] if s["name"] == server)
