"""Steps on entries that are cut off from servers while requests wait there."""

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_site import STAGED

CHAINS = 4
# Longer than it takes to confirm a cut; both stages of a chain take so long.
PIECE_SECONDS = 2.5
SHORT_PIECE_SECONDS = 0.05
# The pause between two streams at one entry.
GAP_SECONDS = 0.1
STREAMS = 64
# The services that answer the routes of the site.
SERVICES = {"chat": "engine", "safe": "plain", "staged": "engine"}


@given("stages that take long, and steady streams at all entries")
def step(context):
    for server in context.site.of_kind("stage"):
        server.piece_seconds = PIECE_SECONDS
    call_steadily(context)


@given("steady streams at all entries")
def step(context):
    call_steadily(context)


def call_steadily(context):
    """Call streams at all entries until the scenario ends."""
    site, ended = context.site, threading.Event()
    pool = ThreadPoolExecutor(STREAMS)

    def stream(name):
        try:
            site.call("/chat/ok", entry=name, Deadline_Ms="1000")
        except OSError:
            # The entry may be cut off.
            return

    def call_all():
        while not ended.wait(GAP_SECONDS):
            for name in site.entries:
                pool.submit(stream, name)

    calling = threading.Thread(target=call_all, daemon=True)
    calling.start()
    context.add_cleanup(pool.shutdown)
    context.add_cleanup(calling.join)
    context.add_cleanup(ended.set)


def cut_off(site, name, how):
    """Cut an entry off from the engines, and wait until it knows."""
    site.cut_off([name], how, site.of_kind("engine"))

    wait_until(lambda: is_cut_off(site, name, "engine"), what=f"the cut of {name}")


def is_cut_off(site, name, service):
    """Return whether an entry knows that it is cut off from a service."""
    events = site.events(name, "cut_off_from_servers")
    return service in {event["service"] for event in events}


@given('"{name}" is cut off from all engines, "{how}"')
def step(context, name, how):
    cut_off(context.site, name, how)


@when('chains are called at "{name}", which is then cut off from all engines, "{how}"')
def step(context, name, how):
    call_chains(context, name, name, how)


@when('chains are called at "{name}", and "{other}" is then cut off as well, "{how}"')
def step(context, name, other, how):
    call_chains(context, name, other, how)


def call_chains(context, name, cut, how):
    """Call chains at an entry, and cut one off once their stages run."""
    site = context.site
    context.ids = [f"chain-{number}" for number in range(CHAINS)]
    more = STAGED | {"Deadline_Ms": "6000"}
    began = sum(server.piece_calls for server in site.of_kind("stage"))
    with ThreadPoolExecutor(CHAINS) as pool:
        calls = [
            pool.submit(site.call, "/staged/ok", entry=name, request_id=each, **more)
            for each in context.ids
        ]
        wait_until(
            lambda: sum(s.piece_calls for s in site.of_kind("stage")) > began,
            what="a stage",
        )
        cut_off(site, cut, how)
        # The entries that serve them now have the rest of the time.
        for server in site.of_kind("stage"):
            server.piece_seconds = SHORT_PIECE_SECONDS
        context.answers = [call.result() for call in calls]


@when(
    '"{path}" is called at "{name}" again and again while a cut, "{how}", is confirmed'
)
def step(context, path, name, how):
    site, calls = context.site, []
    more = STAGED if path.startswith("/staged/") else {}
    # Measured times and kept connections are there before the cut.
    for _ in range(CHAINS):
        site.call(path, entry=name, **more)
    site.cut_off([name], how)

    with ThreadPoolExecutor(STREAMS) as pool:

        def call_until_confirmed():
            calls.append(pool.submit(site.call, path, entry=name, **more))
            return is_cut_off(site, name, SERVICES[path.split("/")[1]])

        wait_until(call_until_confirmed, what="the confirmed cut")
        context.answers = [call.result() for call in calls]


@then("all of these calls are served")
def step(context):
    ends = Counter((a.status, a.whole, a.body[:4]) for a in context.answers)
    served = sum(a.status == 200 and a.whole for a in context.answers)
    assert served == len(context.answers), ends


@then("all chains are served, by other entries")
def step(context):
    site = context.site
    ends = [(a.status, a.whole, a.body[:40]) for a in context.answers]
    assert all(status == 200 and whole for status, whole, _ in ends), ends

    def delegated():
        events = site.events("entry-0", "request_delegated")
        return set(context.ids) <= {event["request"] for event in events}

    wait_until(delegated, what="the delegation of all chains")
