"""Steps on streams while servers of several software versions serve."""

import signal
import threading
import time
from collections import Counter

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import EVENTS, RouteServer
from tests.standins.route_site import ADDRESS, ZONES, configuration
from tests.standins.stream_caller import Tries, read_stream, run_all

PAUSE_SECONDS = 0.04
OTHER_SERVICE = "engine-2"
MOVED = "configuration_in_force"
PART = 3
NOT_RUN = 503
# No wait for a server fits into this time.
AT_ONCE_SECONDS = 0.8
OTHER_KEY = "key-of-another-caller-9876543"
LATER_SECONDS = 1.0
# Between two events of a stream during which something else happens.
LONG_PAUSE_SECONDS = 0.6
PASSED_STREAMS = 24
FROZEN_SECONDS = 4.0
# Longer than the listing of a server takes to reach all entries.
LISTED_SECONDS = 0.6
UPGRADE_GAP_SECONDS = 0.5
# Within this time requests have arrived, and their stages are under way.
UNDER_WAY_SECONDS = 0.1


@given('engines of the versions "{versions}"')
def step(context, versions):
    site, names = context.site, versions.split()
    engines = site.of_kind("engine")
    while len(engines) < len(names):
        server = site.make_server("engine", ZONES[len(engines) % 3])
        server.when_back = site.list_again
        site.servers.append(server)
        engines.append(server)
    for engine, version in zip(engines, names, strict=False):
        engine.version, engine.event_seconds = version, PAUSE_SECONDS
        site.list(engine)
    time.sleep(LISTED_SECONDS)


def move_route(site, version, service):
    """Publish a configuration whose route for chats leads to a service."""
    published = configuration(version)
    route = next(r for r in published["routes"] if r["prefix"] == "/chat/")
    route["service"] = service
    engine = next(s for s in published["services"] if s["name"] == "engine")
    published["services"].append({**engine, "name": OTHER_SERVICE})
    site.publish(published)


@given('engines of "{versions}", and engines of another service of "{other}"')
def step(context, versions, other):
    context.execute_steps(f'Given engines of the versions "{versions}"')
    site = context.site
    move_route(site, 2, "engine")
    for zone in ZONES[:2]:
        server = RouteServer(ADDRESS, OTHER_SERVICE, "engine", zone, site.faults)
        server.version, server.event_seconds = other, PAUSE_SECONDS
        site.servers.append(server)
        site.list(server)


@when(
    "{count:d} callers read part of a stream, its route moves to the other service, "
    "and they take it up at other entries"
)
def step(context, count):
    site, names = context.site, list(context.site.entries)
    run_all(
        context,
        count,
        lambda n: read_stream(site, Tries(), names[n % 3], "/chat/ok", PART),
    )
    move_route(site, 3, OTHER_SERVICE)
    wait_until(
        lambda: all(site.events(name, MOVED)[-1]["version"] == 3 for name in names),
        what="the route has moved everywhere",
    )

    def go_on(number):
        entry = names[(number + 1) % 3]
        return read_stream(site, context.tries[number], entry, "/chat/ok")

    run_all(context, count, go_on)


@then("each ends with its first part, and is refused as not run")
def step(context):
    for tries in context.tries:
        assert tries.statuses == [200, NOT_RUN], tries
        assert len(tries.events) == PART, tries


@when("a new stream of each caller is read in part and taken up at another entry")
def step(context):
    names = list(context.site.entries)
    take_up(context, len(context.tries), 1, lambda n, a: names[(n + a) % len(names)])


@when('{count:d} streams "{path}" are read at all entries')
def step(context, count, path):
    site, entries = context.site, list(context.site.entries)
    run_all(
        context,
        count,
        lambda n: read_stream(site, Tries(), entries[n % len(entries)], path),
    )


@then("no stream holds events of two versions")
def step(context):
    mixed = [t for t in context.tries if len(t.versions) > 1]
    assert not mixed, (len(mixed), len(context.tries), mixed[0])


@then("every stream is whole")
def step(context):
    broken = [t for t in context.tries if not t.whole]
    assert not broken, (len(broken), broken[0])


def take_up(context, count, times, entry_of, path="/chat/ok", wait=0.0):
    """Have callers read parts of streams at entries chosen by number and try."""
    site = context.site

    def one(number):
        tries = Tries()
        for attempt in range(times):
            read_stream(site, tries, entry_of(number, attempt), path, 1)
            time.sleep(wait)
        return read_stream(site, tries, entry_of(number, times), path)

    run_all(context, count, one)


@when(
    "{count:d} callers read part of a stream and take it up at another entry, "
    "{times:d} times"
)
def step(context, count, times):
    names = list(context.site.entries)
    take_up(context, count, times, lambda n, a: names[(n + a) % len(names)])


@when(
    "{count:d} callers read part of a stream and take it up at the same entry, "
    "{times:d} times"
)
def step(context, count, times):
    names = list(context.site.entries)
    take_up(context, count, times, lambda n, a: names[n % len(names)])


@when(
    "{count:d} callers read part of a stream and take it up "
    "at another entry after a second, {times:d} times"
)
def step(context, count, times):
    names = list(context.site.entries)
    take_up(
        context,
        count,
        times,
        lambda n, a: names[(n + a) % len(names)],
        wait=LATER_SECONDS,
    )


@when(
    "{count:d} callers read part of a stream and take it up "
    "where its server breaks it again, {times:d} times"
)
def step(context, count, times):
    names = list(context.site.entries)
    take_up(
        context, count, times, lambda n, a: names[(n + a) % len(names)], "/chat/cut"
    )


@then("at least {most:d} streams in ten went on")
def step(context, most):
    went_on = sum(t.whole for t in context.tries)
    statuses = [t.statuses for t in context.tries if not t.whole]
    assert went_on * 10 >= len(context.tries) * most, (went_on, statuses)


@when(
    "{count:d} callers read part of a stream at two entries that {fate}, "
    "and take it up at others"
)
def step(context, count, fate):
    site, names = context.site, list(context.site.entries)
    lost, others = names[1:3], [names[0], *names[3:]]

    def begin(number):
        return read_stream(site, Tries(), lost[number % 2], "/chat/ok", PART)

    def go_on(number):
        entry = others[number % len(others)]
        return read_stream(site, context.tries[number], entry, "/chat/ok")

    run_all(context, count, begin)
    for name in lost:
        number = signal.SIGKILL if fate == "is killed" else signal.SIGSTOP
        site.signal(name, number)
    try:
        run_all(context, count, go_on)
    finally:
        if fate != "is killed":
            for name in lost:
                site.signal(name, signal.SIGCONT)


@when(
    '{count:d} callers read part of a stream, all servers of "{version}" end, '
    "and they take it up at other entries"
)
def step(context, count, version):
    site, names = context.site, list(context.site.entries)
    run_all(
        context,
        count,
        lambda n: read_stream(site, Tries(), names[n % 3], "/chat/ok", PART),
    )
    for server in site.of_kind("engine"):
        if server.version == version:
            server.lose()
            site.store.put(f"servers/{server.identity}", None)
    time.sleep(LISTED_SECONDS)
    run_all(
        context,
        count,
        lambda n: read_stream(
            site, context.tries[n], names[(n + 1) % len(names)], "/chat/ok"
        ),
    )


@then('every stream of "{version}" is refused at once as not run')
def step(context, version):
    of_version = [t for t in context.tries if version in t.versions]
    assert of_version
    for tries in of_version:
        assert tries.statuses[-1] == NOT_RUN, tries
        assert tries.seconds[-1] < AT_ONCE_SECONDS, tries


@then('every stream of "{version}" went on')
def step(context, version):
    of_version = [t for t in context.tries if version in t.versions]
    assert of_version and all(t.whole for t in of_version), of_version


@when(
    "callers read streams and take them up while each engine in turn "
    'becomes "{version}"'
)
def step(context, version):
    site, names = context.site, list(context.site.entries)
    ended, kept, lock = threading.Event(), [], threading.Lock()

    def call(number):
        while not ended.is_set():
            tries = read_stream(site, Tries(), names[number % 3], "/chat/ok", PART)
            read_stream(site, tries, names[(number + 1) % 3], "/chat/ok")
            with lock:
                kept.append(tries)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(9)]
    for caller in callers:
        caller.start()
    for server in site.of_kind("engine"):
        time.sleep(UPGRADE_GAP_SECONDS)
        server.crash(version=version)
    time.sleep(LISTED_SECONDS + UPGRADE_GAP_SECONDS)
    ended.set()
    for caller in callers:
        caller.join()
    context.tries = kept


@given("stage servers that take {seconds:g} s")
def step(context, seconds):
    for server in context.site.of_kind("stage"):
        server.piece_seconds = seconds


@when(
    "{count:d} callers read part of a stream with stages and take it up, "
    'and during its stages {added:d} engines of "{version}" are listed'
)
def step(context, count, added, version):
    site, names = context.site, list(context.site.entries)
    run_all(
        context,
        count,
        lambda n: read_stream(site, Tries(), names[n % 3], "/staged/ok", PART),
    )

    def go_on(number):
        entry = names[(number + 1) % 3]
        return read_stream(site, context.tries[number], entry, "/staged/ok")

    def list_engines():
        time.sleep(UNDER_WAY_SECONDS)
        for _ in range(added):
            server = site.add_server("engine", version=version)
            server.event_seconds = PAUSE_SECONDS

    listing = threading.Thread(target=list_engines)
    listing.start()
    run_all(context, count, go_on)
    listing.join()


def take_up_unknown(context, **headers):
    """Have a request take up a stream behind its second event at each entry."""
    site = context.site
    context.tries = []
    for entry in site.entries:
        tries = Tries(events=[(2, "none")], began="never-seen")
        context.tries.append(read_stream(site, tries, entry, "/chat/ok", **headers))


@when("a request takes up an unknown stream at each entry")
def step(context):
    take_up_unknown(context)


@when("a request takes up a stream without naming a request at each entry")
def step(context):
    take_up_unknown(context, Resumes="")


@when("a request takes up a stream of another account at each entry")
def step(context):
    site = context.site
    published = configuration(2)
    published["tenants"].append(
        {"name": "other", "api_keys": [OTHER_KEY], "priority": 1}
    )
    site.publish(published)
    time.sleep(LISTED_SECONDS)
    began = read_stream(site, Tries(), "entry-0", "/chat/ok", PART)
    assert began.began
    take_up_unknown(context, Resumes=began.began, Authorization=f"Bearer {OTHER_KEY}")


@then("each is refused as not run")
def step(context):
    for tries in context.tries:
        assert tries.statuses == [NOT_RUN], tries
        assert len(tries.events) == 1, tries


@then("each goes on behind its last event")
def step(context):
    for tries in context.tries:
        numbers = [number for number, _ in tries.events]
        assert numbers == list(range(2, EVENTS + 1)), tries


def resumed_streams(site):
    """Return the log lines of streams that went on, in the order of their times."""
    lines = [e for name in site.entries for e in site.events(name, "stream_resumed")]
    assert lines and all(e["reports"] >= 1 and e["followed_ms"] >= 0 for e in lines)
    return sorted(lines, key=lambda line: line["at"])


@then('the logs name "{basis}" as the basis of each')
def step(context, basis):
    lines = resumed_streams(context.site)
    assert {line["basis"] for line in lines} == {basis}, lines


@then('the logs name "{basis}" as the basis of the first')
def step(context, basis):
    lines = resumed_streams(context.site)
    assert lines[0]["basis"] == basis, lines


def read_later(site, count, entry, path):
    """Begin to read streams at an entry; return the threads and what callers get."""
    kept = [Tries() for _ in range(count)]
    threads = [
        threading.Thread(target=read_stream, args=(site, tries, entry, path))
        for tries in kept
    ]
    for thread in threads:
        thread.start()
    return threads, kept


def slowed_site(context):
    """Return the site, with engines that take a long pause between two events."""
    for server in context.site.of_kind("engine"):
        server.event_seconds = LONG_PAUSE_SECONDS
    return context.site


def end_reading(site, threads):
    """Wait until all streams have ended, and end all cuts."""
    for thread in threads:
        thread.join()
    site.heal()


def wait_cut_off(site, entry):
    """Call an entry until it knows that it is cut off."""
    wait_until(
        lambda: (
            site.call("/draft/ok", entry=entry) and "cut_off_from" in site.log(entry)
        ),
        what="cut off",
    )


def cut_while_read(context, path, mode):
    """Cut an entry off while streams are read there; return the threads that read."""
    site, cut = slowed_site(context), "entry-1"
    threads, context.tries = read_later(site, PASSED_STREAMS, cut, path)
    time.sleep(LONG_PAUSE_SECONDS / 2)
    site.cut_off([cut], mode)
    return threads


@when(
    "streams are read at an entry that is cut off from all servers, "
    "and their servers break them"
)
def step(context):
    threads = cut_while_read(context, "/chat/cut", "kept")
    wait_cut_off(context.site, "entry-1")
    end_reading(context.site, threads)


@when(
    "streams are read at an entry that is cut off from all servers, "
    "and all its connections are reset"
)
def step(context):
    threads = cut_while_read(context, "/chat/ok", "refused")
    end_reading(context.site, threads)


@when(
    "streams are read at an entry that is cut off from all servers, "
    "and the entry that serves them is lost"
)
def step(context):
    site, cut = slowed_site(context), "entry-1"
    site.cut_off([cut], "refused")
    wait_cut_off(site, cut)
    threads, context.tries = read_later(site, PASSED_STREAMS, cut, "/chat/ok")
    time.sleep(2 * LONG_PAUSE_SECONDS)
    # Entries know one another by their addresses for peers.
    names = {site.fields[n]["listen"]["control"]: n for n in site.entries}
    delegated = site.events(cut, "request_delegated")
    took_over = Counter(names[event["entry"]] for event in delegated)
    site.kill(took_over.most_common(1)[0][0])
    end_reading(site, threads)


@then("some of them went on at another entry")
def step(context):
    site = context.site
    resumed = [
        event
        for name in site.entries
        for event in site.events(name, "stream_resumed")
        if name != "entry-1"
    ]
    assert resumed
