"""Steps on streams that callers take up after entries were killed and started again."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import EVENT_TOKENS
from tests.standins.route_site import ZONES, configuration, route
from tests.standins.stream_caller import Tries, read_stream

PATH = "/long/ok"
# Served as soon as an entry knows the routes of this feature.
PROBE = "/probe/"
OK = 200
LONG_EVENTS = 60
PAUSE_SECONDS = 0.1
TIMEOUT_MS = 20_000
ROOMY_TOKENS = 200_000
# Longer than a change in the store takes to reach all entries.
LISTED_SECONDS = 0.6
# Streams have several events so long after their runs began.
UNDER_WAY_SECONDS = 0.8
# From a change of the servers to the kill of the entries.
BEFORE_KILL_SECONDS = 0.3
READY_SECONDS = 2.0
SURVIVOR = "entry-3"
SHARED_TOKENS = 400
OWN_TOKENS = 250
ATTEMPTS = 2
RETRY_SECONDS = 0.3
# A version with fewer streams shows nothing.
FEWEST = 4


def slow_down(server):
    """Have an engine send streams that outlast a start of the entries."""
    server.events, server.event_seconds = LONG_EVENTS, PAUSE_SECONDS


@given("long streams")
def step(context):
    site = context.site
    context.begun, context.reading, context.killed = [], [], []
    context.gone, context.versions = [], set()
    for server in site.of_kind("engine"):
        slow_down(server)
    extra = [
        route(PROBE, "safe", "plain"),
        route("/long/", "stream", "engine", resumable=True, timeout_ms=TIMEOUT_MS)
        | {"sticky": True, "goal_ms": TIMEOUT_MS},
    ]
    published = configuration(2, extra=extra)
    for service in published["services"]:
        if "engine" in service:
            service["engine"]["kv_cap_tokens"] = ROOMY_TOKENS
    site.publish(published)
    for name in site.entries:
        wait_until(
            lambda n=name: site.call(f"{PROBE}ok", "GET", None, n).status == OK,
            what=f"{name} follows the configuration",
        )


@given("engines that do not list their prompt parts")
def step(context):
    for server in context.site.of_kind("engine"):
        server.lists_parts = False


def prompt_headers(number):
    """Return what a request says of its prompt; its last part is its own.

    The part before it draws a request to a server, and differs too, so that the streams
    spread over the versions.
    """
    shared = f"{0x91BD0000 + number:x}:{SHARED_TOKENS}"
    own = f"{0xE4400000 + number:x}:{OWN_TOKENS}"
    parts = [shared, own]
    tokens = sum(int(part.partition(":")[2]) for part in parts)
    return {
        "Model": "m",
        "Prompt-Prefix": ",".join(parts),
        "Token-Counts": f"{tokens},{LONG_EVENTS * EVENT_TOKENS}",
        "Deadline-Ms": str(TIMEOUT_MS),
    }


def entry_of(site, number):
    """Return the name of an entry, in turn."""
    names = list(site.entries)
    return names[number % len(names)]


@when("{count:d} streams are under way at all entries")
def step(context, count):
    site, first = context.site, len(context.begun)
    numbers = range(first, first + count)
    begun = [Tries(length=LONG_EVENTS, headers=prompt_headers(n)) for n in numbers]
    pool = ThreadPoolExecutor(count)
    context.begun += begun
    context.reading += [
        pool.submit(read_stream, site, tries, entry_of(site, number), PATH)
        for number, tries in zip(numbers, begun, strict=True)
    ]
    pool.shutdown(wait=False)
    engines = site.of_kind("engine")
    context.versions |= {engine.version for engine in engines}
    wait_until(
        lambda: sum(len(engine.runs) for engine in engines) >= len(context.begun),
        what="a run of each stream",
    )
    time.sleep(UNDER_WAY_SECONDS)


@when('{count:d} servers of "{version}" are listed')
def step(context, count, version):
    site = context.site
    for number in range(count):
        server = site.make_server("engine", ZONES[number % len(ZONES)])
        server.version, server.when_back = version, site.list_again
        slow_down(server)
        site.servers.append(server)
        site.list(server)
    time.sleep(LISTED_SECONDS)


def of_version(site, version):
    """Return the engines of a version."""
    return [s for s in site.of_kind("engine") if s.version == version]


def remove(context, servers):
    """Remove the entries of servers from the store."""
    for server in servers:
        context.site.store.put(f"servers/{server.identity}", None)
    context.gone += servers


@when('the servers of "{version}" go on serving')
def step(context, version):
    assert len(of_version(context.site, version)) > 1


@when('the servers of "{version}" are removed from the store')
def step(context, version):
    remove(context, of_version(context.site, version))
    time.sleep(BEFORE_KILL_SECONDS)


@when('the servers of "{version}" crash and are removed')
def step(context, version):
    servers = of_version(context.site, version)
    for server in servers:
        server.lose()
    remove(context, servers)
    time.sleep(BEFORE_KILL_SECONDS)


@when('the servers of "{version}" return as "{later}" at their addresses')
def step(context, version, later):
    servers = of_version(context.site, version)
    lives = {server: server.identity for server in servers}
    for server in servers:
        server.crash(version=later)
    keys = context.site.store.items
    wait_until(
        lambda: all(
            server.identity != life and f"servers/{server.identity}" in keys
            for server, life in lives.items()
        ),
        what="new lives",
    )
    time.sleep(BEFORE_KILL_SECONDS)


@when('the servers of "{version}" report that they leave')
def step(context, version):
    servers = of_version(context.site, version)
    for server in servers:
        context.site.list(server, "draining")
    context.gone += servers
    time.sleep(BEFORE_KILL_SECONDS)


def kill(context, names):
    """Kill entries at one moment."""
    for name in names:
        context.site.signal(name, signal.SIGKILL)
    for name in names:
        context.site.entries[name].popen.wait()
    context.killed += names


@when("all entries are killed at once")
def step(context):
    kill(context, list(context.site.entries))


@when("all entries but one are killed at once")
def step(context):
    kill(context, [name for name in context.site.entries if name != SURVIVOR])


@when("the entries are killed in turn {seconds:g} s apart, each started at once")
def step(context, seconds):
    site = context.site
    for name in site.entries:
        kill(context, [name])
        site.entries[name].start()
        time.sleep(seconds)
    wait_ready(context)


@when("the store drops its history")
def step(context):
    context.site.store.drop_history()


@when("the killed entries are started")
def step(context):
    for name in context.killed:
        context.site.entries[name].start()
    wait_ready(context)


def wait_ready(context):
    """Wait until the killed entries are ready, and a while longer."""
    for name in context.killed:
        context.site.wait_ready(name)
    time.sleep(READY_SECONDS)


@when("callers take up the streams that broke")
def step(context):
    site = context.site
    for reading in context.reading:
        reading.result()
    for server in context.gone:
        # A server that left the store ends soon after.
        server.lose()
    broken = [
        (number, tries)
        for number, tries in enumerate(context.begun)
        if tries.events and not tries.whole
    ]
    context.taken_up = {}
    for _, tries in broken:
        context.taken_up.setdefault(tries.events[0][1], []).append(tries)
    counts = {version: len(taken) for version, taken in context.taken_up.items()}
    versions = context.versions
    statuses = [tries.statuses for tries in context.begun]
    shown = all(counts.get(version, 0) >= FEWEST for version in versions)
    assert shown, (counts, statuses)

    def take_up(number, tries):
        for _ in range(ATTEMPTS):
            read_stream(site, tries, entry_of(site, number + 1), PATH)
            if tries.whole:
                break
            time.sleep(RETRY_SECONDS)

    with ThreadPoolExecutor(len(broken)) as pool:
        list(pool.map(lambda one: take_up(*one), broken))
    context.tries = [tries for _, tries in broken]


@then('at least half of the streams of "{version}" that were taken up went on')
def step(context, version):
    taken = context.taken_up[version]
    went_on = sum(tries.whole for tries in taken)
    statuses = [tries.statuses for tries in taken if not tries.whole]
    assert 2 * went_on >= len(taken), (went_on, len(taken), statuses)


@then("no engine is asked for its prompt parts more than {most:d} times")
def step(context, most):
    asked = [engine.part_list_calls for engine in context.site.of_kind("engine")]
    assert max(asked) <= most, asked


@then("no engine is asked for its prompt parts")
def step(context):
    asked = [engine.part_list_calls for engine in context.site.of_kind("engine")]
    assert not any(asked), asked
