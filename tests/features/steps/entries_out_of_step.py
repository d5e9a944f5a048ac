"""Steps on streams at an entry that is out of step with the store and other entries."""

import itertools
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import EVENT_TOKENS, EVENTS
from tests.standins.route_site import ZONES, configuration, route
from tests.standins.stream_caller import Tries, read_stream

OK = 200
NOT_RUN = 503
# No wait for a server fits into this time.
AT_ONCE_SECONDS = 0.8
FIRST, SECOND = "v1", "v2"
ENGINES_A_VERSION = 3
PAUSE_SECONDS = 0.02
PART = 2
GOAL_MS = 2000
ROOMY_TOKENS = 200_000
PROMPT_TOKENS = 250
# Less than the slots of the engines of one version.
AT_A_TIME = 20
# At least one in so many streams begins at either version.
FEWEST_SHARE = 8
PROMPTS = itertools.count()
# Of a service whose engines keep their version in all examples.
SINGLE_VERSION_PATH = "/chat/ok"


def path_of(entry):
    """Return the path of the service that serves streams in an entry's example.

    Entries remember the versions of a service for a minute.
    """
    return f"/{entry}/ok"


def add_engines(site, entry, version):
    """List engines of a version for an entry's example."""
    for number in range(ENGINES_A_VERSION):
        server = site.make_server("engine", ZONES[number % 3])
        server.service, server.version = entry, version
        server.event_seconds = PAUSE_SECONDS
        site.servers.append(server)
        site.list(server)


def publish_services(site):
    """Publish a service and a route to it for each entry's example."""
    extra = []
    for name in site.entries:
        streams = route(f"/{name}/", "stream", name, resumable=True, timeout_ms=6000)
        extra.append(streams | {"goal_ms": GOAL_MS, "sticky": True})
    published = configuration(2, extra=extra)
    engine = next(s for s in published["services"] if s["name"] == "engine")
    for name in site.entries:
        parts = {**engine["engine"], "kv_cap_tokens": ROOMY_TOKENS}
        published["services"].append({**engine, "name": name, "engine": parts})
        add_engines(site, name, FIRST)
    site.publish(published)


def followed_seconds(site, entry):
    """Return how long ago an entry took its first server list; 0 if it logged none."""
    taken = site.events(entry, "instances_changed")
    return time.time() - taken[0]["at"] if taken else 0.0


def known_revision(site, entry):
    """Return the store's revision up to which an entry knows the servers."""
    return max(event["revision"] for event in site.events(entry, "instances_changed"))


@given('entries that have served streams of "{version}" for {seconds:g} s')
def step(context, version, seconds):
    site = context.site
    if not any(server.service in site.entries for server in site.servers):
        publish_services(site)

    def served(name):
        tries = read_stream(site, Tries(), name, SINGLE_VERSION_PATH)
        return tries.whole and tries.versions == {version}

    for name in site.entries:
        wait_until(
            lambda n=name: served(n) and followed_seconds(site, n) >= seconds,
            seconds=2 * seconds,
            what=f"{name} has served for {seconds} s",
        )


@given('{count:d} streams that have begun at "{entry}"')
def step(context, count, entry):
    context.own = begin(context.site, count, lambda number: entry, path_of(entry))
    assert all(tries.versions == {FIRST} for tries in context.own), context.own


def begin(site, count, entry_of, path, headers_of=lambda number: {}):
    """Begin streams, a few at a time, and leave each after its first events."""

    def one(number):
        tries = Tries(headers=headers_of(number))
        return read_stream(site, tries, entry_of(number), path, PART)

    with ThreadPoolExecutor(AT_A_TIME) as pool:
        begun = list(pool.map(one, range(count)))
    assert all(len(tries.events) == PART for tries in begun), begun
    return begun


def go_on(site, begun, entry):
    """Take streams up at an entry, a few at a time."""
    with ThreadPoolExecutor(AT_A_TIME) as pool:
        list(pool.map(lambda t: read_stream(site, t, entry, path_of(entry)), begun))


def fall_out(context, end, before_take_up=lambda: None):
    """Keep what ends a fault, and what is to be done before streams are taken up."""
    context.end_fault, context.before_take_up = ExitStack(), before_take_up
    context.end_fault.callback(end)
    # A failed example leaves the site to the next one.
    context.add_cleanup(context.end_fault.close)


@when('"{entry}" is cut off from the entries and the store, which {how}')
def step(context, entry, how):
    fall_out(context, context.site.isolate(entry, resets=how == "resets"))


@when('"{entry}" is cut off from the store alone')
def step(context, entry):
    fall_out(context, context.site.isolate(entry, entries=False))


@when('"{entry}" is cut off from the entries')
def step(context, entry):
    fall_out(context, context.site.isolate(entry, store=False))


@when('"{entry}" stands still')
def step(context, entry):
    process = context.site.entries[entry]
    process.freeze()
    fall_out(context, process.wake, process.wake)


def list_engines(context, entry, version):
    """List engines of a version, and wait until all entries but one know them."""
    site = context.site
    context.revision_before = site.store.revision
    add_engines(site, entry, version)
    for name in set(site.entries) - {entry}:
        wait_until(
            lambda n=name: known_revision(site, n) >= site.store.revision,
            what=f"{name} knows the engines of {version}",
        )


def begin_at_others(context, count, entry, headers_of=lambda number: {}):
    """Begin streams at all entries but one, some of them on either version."""
    others = [name for name in context.site.entries if name != entry]
    begun = begin(
        context.site,
        count,
        lambda number: others[number % len(others)],
        path_of(entry),
        headers_of,
    )
    began_at = Counter(version for tries in begun for version in tries.versions)
    assert min(began_at[FIRST], began_at[SECOND]) * FEWEST_SHARE >= count, began_at
    return begun


def prompt_headers(number):
    """Return what a request says of its prompt, whose last part is its own."""
    own = f"{0xE4400000 + next(PROMPTS):x}:{PROMPT_TOKENS}"
    return {
        "Model": "m",
        "Prompt-Prefix": own,
        "Token-Counts": f"{PROMPT_TOKENS},{EVENTS * EVENT_TOKENS}",
    }


@when(
    'engines of "{version}" are listed, and callers read part of {count:d} streams '
    '{prompts} at the other entries and take them up at "{entry}"'
)
def step(context, version, count, prompts, entry):
    headers_of = prompt_headers if prompts == "with prompts" else lambda number: {}
    list_engines(context, entry, version)
    context.others = begin_at_others(context, count, entry, headers_of)
    context.tries = [*context.own, *context.others]
    context.before_take_up()
    go_on(context.site, context.tries, entry)
    context.known = known_revision(context.site, entry)


@then('"{entry}" has heard of no engine of "{version}"')
def step(context, entry, version):
    assert context.known <= context.revision_before, context.known


@then("each stream is whole or was refused at once as not run")
def step(context):
    for tries in context.tries:
        if not tries.whole:
            assert tries.statuses[-1] == NOT_RUN, tries
            assert tries.seconds[-1] < AT_ONCE_SECONDS, tries


@then("at least half of the streams of the other entries went on")
def step(context):
    went_on = sum(tries.whole for tries in context.others)
    statuses = Counter(t.statuses[-1] for t in context.others if not t.whole)
    assert 2 * went_on >= len(context.others), (went_on, statuses)


@then('all streams that have begun at "{entry}" went on')
def step(context, entry):
    broken = [tries for tries in context.own if not tries.whole]
    assert not broken, (len(broken), broken[0])


@when('"{entry}" is in step again')
def step(context, entry):
    context.end_fault.close()
    wait_until(
        lambda: known_revision(context.site, entry) >= context.site.store.revision,
        what=f"{entry} knows what is listed",
    )


@then('streams of the other entries go on at "{entry}" again')
def step(context, entry):
    site = context.site

    def goes_on():
        begun = begin_at_others(context, AT_A_TIME, entry)
        go_on(site, begun, entry)
        context.tries += begun
        return all(tries.whole for tries in begun)

    wait_until(goes_on, what=f"streams go on at {entry}")
    mixed = [tries for tries in context.tries if len(tries.versions) > 1]
    assert not mixed, (len(mixed), len(context.tries), mixed[0])
