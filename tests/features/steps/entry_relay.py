"""Steps on the distribution of the configuration over separate processes."""

import copy
import threading
import time

from behave import given, then, when

from boragestream.entry.exchange import ROUND_SECONDS
from boragestream.platform.reader import PlatformUnreachable, Reading, read_platform
from boragestream.policy.watchers import select_watchers
from tests.standins.fleet import ADDRESS, fetch, wait_until
from tests.standins.http import Handler, Server

LIMIT_SECONDS = 40
DOCUMENT = "/v1/document"
RESTORED_INDEX = 1
SETTLE_SECONDS = 0.2


def document(context, version, **policies):
    """Return the fleet's document with the given version and policies."""
    changed = copy.deepcopy(context.fleet.document)
    changed["version"] = version
    changed["policies"] = {**changed.get("policies", {}), **policies}
    return changed


def newest(context):
    """Return the newest published version."""
    return getattr(context.fleet, "newest", 1)


def publish_next(context, **policies):
    """Publish a document of the next version."""
    context.fleet.newest = newest(context) + 1
    context.fleet.publish(document(context, context.fleet.newest, **policies))


def wait_for_version(context, names):
    """Wait until the newest version is in force on entries."""
    context.fleet.wait_for_version(newest(context), names, LIMIT_SECONDS)


@when("the next version is published")
def step(context):
    publish_next(context)


@given("the next version is in force everywhere")
def step(context):
    context.fleet.platform_mode(down=[])
    publish_next(context)
    wait_for_version(context, context.fleet.entries)
    wait_for_log(context)


def wait_for_log(context):
    """Wait until all entries have logged that the newest version is in force."""
    for process in context.fleet.entries.values():
        # Lines are written out a moment after what they tell.
        wait_until(lambda p=process: newest(context) in logged_versions(p))


def logged_versions(process):
    """Return the versions of which an entry has logged that they are in force."""
    events = process.events()
    return {e["version"] for e in events if e["name"] == "configuration_in_force"}


@then("it is in force on every entry")
def step(context):
    wait_for_version(context, context.fleet.entries)


@then('it is in force on "{names}"')
def step(context, names):
    wait_for_version(context, names.split(", "))


@when("the configuration service is down")
def step(context):
    context.fleet.platform_mode(down=[DOCUMENT])
    context.add_cleanup(context.fleet.platform_mode, down=[])


@when("the configuration service goes back to version {version:d}")
def step(context, version):
    context.logged = {n: len(p.events()) for n, p in context.fleet.entries.items()}
    context.fleet.platform_mode(down=[])
    context.fleet.publish(document(context, version), RESTORED_INDEX)


@when("every entry is killed and started again in turn")
def step(context):
    for process in context.fleet.entries.values():
        process.kill()
        process.start()
        context.fleet.wait_for_entry(process)


@then("since then no entry took an older version")
def step(context):
    wait_for_log(context)
    for name, logged in context.logged.items():
        for event in context.fleet.entries[name].events()[logged:]:
            if event["name"] == "configuration_in_force":
                assert event["version"] == newest(context), (name, event)


@when("an invalid document of the next version is published")
def step(context):
    invalid = document(context, newest(context) + 1)
    invalid["pipelines"][0]["stages"][0]["service"] = "nowhere"
    context.fleet.publish(invalid)


@then('every entry logs "{event}"')
def step(context, event):
    for name, process in context.fleet.entries.items():
        wait_until(
            lambda p=process: event in {e["name"] for e in p.events()},
            LIMIT_SECONDS,
            f"{name} logging {event}",
        )


@then('some entry logs "{event}"')
def step(context, event):
    entries = context.fleet.entries.values()
    wait_until(
        lambda: event in {e["name"] for process in entries for e in process.events()},
        LIMIT_SECONDS,
        f"some entry logging {event}",
    )


@when("two documents of the next version are published in a race")
def step(context):
    publish_next(context, answer_keep_seconds=1.0)
    # A watch that returns after both publications would deliver only the second
    # document.
    wait_for_version(context, ["entry-1"])
    context.fleet.publish(document(context, newest(context), answer_keep_seconds=2.0))


@then("every entry has one of them and keeps it for {rounds:d} rounds")
def step(context, rounds):
    wait_for_version(context, context.fleet.entries)
    digests = {n: context.fleet.status(n)["digest"] for n in context.fleet.entries}
    time.sleep(rounds * ROUND_SECONDS)
    for name, digest in digests.items():
        assert context.fleet.status(name)["digest"] == digest, name


@when('the next version is published while "{names}" sleep')
def step(context, names):
    frozen_names = names.split(", ")
    fleet = context.fleet
    # The service is down when the entries are frozen and when they are woken, so that
    # none of them reads the answer to an earlier watch after it wakes.
    fleet.platform_mode(down=[DOCUMENT])
    wait_for_calls(context, 0)
    for name in frozen_names:
        fleet.entries[name].freeze()
    time.sleep(SETTLE_SECONDS)
    try:
        fleet.platform_mode(down=[])
        publish_next(context)
        wait_for_version(context, [n for n in fleet.entries if n not in frozen_names])
        fleet.platform_mode(down=[DOCUMENT])
        context.add_cleanup(fleet.platform_mode, down=[])
    finally:
        for name in frozen_names:
            fleet.entries[name].wake()


@then('the earlier one stays on "{names}" for {rounds:d} rounds')
def step(context, names, rounds):
    time.sleep(rounds * ROUND_SECONDS)
    for name in names.split(", "):
        assert context.fleet.status(name)["version"] == newest(context) - 1, name


@given("{count:d} calls wait at the configuration service")
@then("{count:d} calls wait at the configuration service")
def step(context, count):
    wait_for_calls(context, count)


def wait_for_calls(context, count):
    """Wait until the configuration service has this number of pending calls."""
    port = context.fleet.platform.port
    wait_until(
        lambda: fetch(port, "/standin/calls")["waiting"][DOCUMENT] == count,
        LIMIT_SECONDS,
        f"{count} waiting calls",
    )


@when("the watching entries are frozen")
def step(context):
    context.frozen = select_watchers(context.fleet.entries)
    for name in context.frozen:
        process = context.fleet.entries[name]
        process.freeze()
        context.add_cleanup(process.wake)


@then("it is in force on the entries that are not frozen")
def step(context):
    names = [n for n in context.fleet.entries if n not in context.frozen]
    wait_for_version(context, names)


def read_document(context, index):
    """Read the document like an entry that has the given index."""
    platform = context.fleet.platform
    return read_platform(f"{ADDRESS}:{platform.port}", DOCUMENT, index, 0.1)


@when("the document is read, and read again as a watch that ends would")
def step(context):
    context.first_reading = read_document(context, 0)
    context.reading = read_document(context, context.first_reading.index)


@then("the second reading has the same index and no value")
def step(context):
    assert context.first_reading.value
    assert context.reading == Reading(context.first_reading.index, b"")


@then("a third reading has it")
def step(context):
    reading = read_document(context, context.reading.index)
    assert reading.index > context.reading.index and reading.value


def publish_next_at_index(context, index):
    """Publish the next version with the given index."""
    context.fleet.newest = newest(context) + 1
    context.fleet.publish(document(context, context.fleet.newest), index)


@when(
    "the configuration service names its return from a copy, "
    "and the next version has the last index"
)
def step(context):
    publish_next_at_index(context, read_document(context, 0).index)
    context.fleet.platform_mode(era=1)
    context.add_cleanup(context.fleet.platform_mode, era=0)


@when(
    "the configuration service was away and names no return, "
    "and the next version has the last index"
)
def step(context):
    index = read_document(context, 0).index
    # An outage that no watch meets shows nobody that the index may be another value's.
    port = context.fleet.platform.port
    wait_until(
        lambda: fetch(port, "/standin/calls")["waiting"].get(DOCUMENT),
        what="a watch of the document",
    )
    context.fleet.platform_mode(down=[DOCUMENT])
    time.sleep(SETTLE_SECONDS)
    publish_next_at_index(context, index)
    context.fleet.platform_mode(down=[])


@when("a service answers 304 to all, each time in another era")
def step(context):
    context.requests_received = 0

    class NotModifiedHandler(Handler):
        """Answers every request with 304."""

        def get(self, path, query):
            """Answer with a new era each time."""
            context.requests_received += 1
            self.not_modified([("X-Platform-Era", str(context.requests_received))])

    server = Server((ADDRESS, 0), NotModifiedHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    address = f"{ADDRESS}:{server.server_address[1]}"
    context.reading = read_platform(address, DOCUMENT, index=5)


@then("reading it fails after {count:d} questions")
def step(context, count):
    assert isinstance(context.reading, PlatformUnreachable), context.reading
    assert context.requests_received == count
