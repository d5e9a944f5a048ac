"""Steps for several entries that use the platform's formats."""

import contextlib
import io
import itertools
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

from behave import given, then, when

from boragestream.operator.command import main
from tests.standins.fleet import wait_until
from tests.standins.route_server import RouteServer
from tests.standins.route_site import ADDRESS, KEY, configuration, route
from tests.standins.route_store import RouteStore

EXAMPLE = Path(__file__).parents[3] / "examples" / "route-entry.toml"
NAMES = ("entry-0", "entry-1", "entry-2")
# An entry has asked the store by then.
STARTING_SECONDS = 2.0
LEVELS = b"[" * 100_000 + b"]" * 100_000


def store_answer(revision, items=b"[]", more=b"0"):
    """Return an answer that stands for a read and for a watch."""
    return (
        b'{"store_revision":%s,"items":%s,"events":%s,"truncated":false,"more":%s}'
        % (revision, items, items, more)
    )


ODD_ANSWERS = {
    "100,000 levels": LEVELS,
    "100,000 levels in unknown fields": store_answer(b"1", more=LEVELS),
    "a revision of 400 digits": store_answer(b"9" * 400),
    "items of revisions of 400 digits": store_answer(
        b"1", b'[{"key":"op/other","value":"e30=","rev":%s}]' % (b"9" * 400)
    ),
    "a revision of 5,000 digits": store_answer(b"9" * 5000),
}


@when('the entry "{name}" is killed')
def step(context, name):
    context.site.kill(name)


@when('the entry "{name}" is started again')
def step(context, name):
    context.site.entries[name].start()
    context.site.wait_ready(name)


def wait_until_listed(context, names, count):
    """Wait until each of the named entries lists ``count`` entries."""
    for name in names:
        wait_until(
            lambda n=name: len(context.site.directory(n)) == count,
            what=f"{name} names {count}",
        )


@then('"{one}" and "{two}" name {count:d} entries')
def step(context, one, two, count):
    wait_until_listed(context, (one, two), count)


@then("all entries name {count:d} entries")
def step(context, count):
    wait_until_listed(context, NAMES, count)


def publish(context, version, **changes):
    """Publish a version of the configuration."""
    context.site.publish(configuration(version, **changes))


@when('version {version:d} is published with the route "{prefix}"')
def step(context, version, prefix):
    publish(context, version, extra=[route(prefix, "safe", "plain")])


@when('version {version:d} is published without the route "{prefix}"')
def step(context, version, prefix):
    publish(context, version, without=[prefix])


@when('version {version:d} is published with the key "{key}" alone')
def step(context, version, key):
    publish(context, version, keys=[key])


@when("version {version:d} is published with the usual key")
def step(context, version):
    publish(context, version)


def wait_for_status(context, path, status):
    """Wait until each entry answers a path with a status, then check it once more."""
    for name in context.site.entries:
        wait_until(
            lambda n=name: context.site.call(path, "GET", None, n).status == status,
            what=f"{name} answers {status} to {path}",
        )
        assert context.site.call(path, "GET", None, name).status == status


@then('all entries serve "{path}"')
def step(context, path):
    wait_for_status(context, path, 200)


@then('all entries answer {status:d} to "{path}"')
def step(context, status, path):
    wait_for_status(context, path, status)


@when('the store is "{trouble}"')
def step(context, trouble):
    context.site.store.down = trouble
    time.sleep(0.5)


@when("the store answers with {odd} for {seconds:g} seconds")
def step(context, odd, seconds):
    store = context.site.store
    store.odd_body = ODD_ANSWERS[odd]
    # Ends the watches that wait.
    store.put("op/other", None)
    store.put("servers/other", None)
    time.sleep(seconds)
    store.odd_body = None


@given('"{name}" ends')
def step(context, name):
    context.site.kill(name)


@when('"{name}" starts while the store answers with {odd}')
def step(context, name, odd):
    site = context.site
    site.store.odd_body = ODD_ANSWERS[odd]
    site.entries[name].start()
    time.sleep(STARTING_SECONDS)
    site.store.odd_body = None
    site.wait_ready(name)


@when('the store is back and version {version:d} has the route "{prefix}"')
def step(context, version, prefix):
    context.site.store.down = None
    publish(context, version, extra=[route(prefix, "safe", "plain")])


@when(
    "the store forgets its history and version {version:d} is published with the route "
    '"{prefix}"'
)
def step(context, version, prefix):
    publish(context, version, extra=[route(prefix, "safe", "plain")])
    context.site.store.drop_history()


@given('"{name}" is turned away by its own store')
def step(context, name):
    # The entry gets a separate store with the same values, which then answers 503.
    site = context.site
    context.own_store = RouteStore(ADDRESS)
    for key, (value, *_) in site.store.items.items():
        context.own_store.put(key, value)
    site.kill(name)
    site.fields[name]["platform"]["addr"] = context.own_store.address
    site.write_settings(name)
    site.entries[name].start()
    site.wait_ready(name)
    context.own_store.down = "503"


@then('version {version:d} without "{prefix}" ends it on all entries')
def step(context, version, prefix):
    publish(context, version)
    wait_for_status(context, f"{prefix}ok", 404)


@then('"{name}" is served by the store again')
def step(context, name):
    site = context.site
    site.fields[name]["platform"]["addr"] = site.store.address
    site.write_settings(name)
    site.kill(name)
    site.entries[name].start()
    site.wait_ready(name)
    context.own_store.close()


@when("a plain server is {state}")
def step(context, state):
    site = context.site
    context.gone = site.of_kind("plain")[0]
    if state == "removed":
        site.store.put(f"servers/{context.gone.identity}", None)
    else:
        site.list(context.gone, "draining")
    time.sleep(0.5)


@then('{count:d} requests "{path}" do not reach it')
def step(context, count, path):
    reached = []
    for number in range(count):
        name = NAMES[number % len(NAMES)]
        answer = context.site.call(path, "GET", None, name)
        assert answer.status == 200
        if context.gone.runs[answer.request_id]:
            reached.append(name)
    logged = {name: context.site.events(name)[-40:] for name in set(reached)}
    assert not reached, (reached, logged)


@then("it is listed again under a new id and reached")
def step(context):
    site = context.site
    site.store.put(f"servers/{context.gone.identity}", None)
    context.gone.close()
    site.servers.remove(context.gone)
    new = RouteServer(ADDRESS, "plain", "plain", "hall-a", context.gone.struck)
    site.servers.append(new)
    site.list(new)

    def reached():
        # Sequential calls may all go to the same one of two idle servers.
        site.at_once(6, lambda _: site.call("/safe/slow", "GET", None))
        return sum(new.runs.values()) > 0

    wait_until(reached, what="the new server is reached")


@when("requests with pieces go to all entries while each entry is killed in turn")
def step(context):
    site = context.site
    context.answers = []
    stopped = threading.Event()
    turns = itertools.count()

    def call(_):
        while not stopped.is_set():
            name = NAMES[next(turns) % len(NAMES)]
            try:
                answer = site.call(
                    "/staged/ok", entry=name, Pieces="2,3", Piece_Key="k"
                )
            except OSError:
                continue
            context.answers.append(answer)

    caller = threading.Thread(target=site.at_once, args=(6, call))
    caller.start()
    for name in NAMES:
        time.sleep(0.5)
        site.kill(name)
        site.entries[name].start()
        site.wait_ready(name)
    stopped.set()
    caller.join()


@then("each is answered whole or truthfully refused, and none with another's results")
def step(context):
    whole = [a for a in context.answers if a.status == 200 and a.whole]
    assert len(whole) > 10, len(whole)
    for answer in context.answers:
        if answer.status == 503:
            assert context.site.runs(answer.request_id) == 0, answer.request_id
    makers = {
        handle: piece
        for server in context.site.of_kind("stage")
        for handle, piece in server.held.items()
    }
    for server in context.site.of_kind("engine"):
        for request_id, handles in server.inputs.items():
            for handle in handles:
                piece = makers.get(handle)
                assert piece is None or piece[:2] == (request_id, 1), piece


@when('"{name}" gets SIGTERM while a slow request runs there')
def step(context, name):
    context.results = []

    def call():
        context.results.append(context.site.call("/safe/slow", "GET", None, name))

    context.caller = threading.Thread(target=call)
    context.caller.start()
    time.sleep(0.3)
    context.site.signal(name, signal.SIGTERM)
    context.stopped = name


@when('"{name}" gets SIGTERM while a stream runs there that takes longer')
def step(context, name):
    context.results = []

    def call():
        context.results.append(context.site.call("/chat/slow", entry=name))

    context.caller = threading.Thread(target=call)
    context.caller.start()
    time.sleep(0.3)
    context.site.signal(name, signal.SIGTERM)
    context.stopped = name


@then("the stream ends without its end and the entry ends with exit code {code:d}")
def step(context, code):
    # The settings state when the platform kills the process.
    grace = context.site.fields[context.stopped]["bounds"]["grace_s"]
    assert context.site.entries[context.stopped].popen.wait(grace) == code
    context.caller.join()
    answer = context.results[0]
    assert answer.status == 200 and not answer.whole, answer.events
    assert answer.events == list(range(1, len(answer.events) + 1))


@then('it is not ready at once, and "{one}" and "{two}" name {count:d} entries')
def step(context, one, two, count):
    wait_until(lambda: context.site.ready(context.stopped) == 503, what="not ready")
    wait_until_listed(context, (one, two), count)


@then("the slow request is answered whole and the entry ends with exit code {code:d}")
def step(context, code):
    context.caller.join()
    answer = context.results[0]
    assert answer.status == 200 and answer.whole
    assert context.site.entries[context.stopped].popen.wait(10) == code


@when('the settings of "{name}" change and it gets SIGHUP')
def step(context, name):
    context.site.fields[name]["bounds"]["retry_slack"] += 1
    context.site.write_settings(name)
    context.site.signal(name, signal.SIGHUP)


@when('the settings of "{name}" are broken and it gets SIGHUP')
def step(context, name):
    context.site.settings_path(name).write_text("[entry")
    context.site.signal(name, signal.SIGHUP)


@then('"{name}" logs "{event}" and serves "{path}"')
def step(context, name, event, path):
    wait_until(
        lambda: event in [e["name"] for e in context.site.events(name)], what=event
    )
    assert context.site.call(path, "GET", None, name).status == 200
    assert KEY not in context.site.log(name)


@given('the settings of an entry with "{old}" in place of "{new}"')
def step(context, old, new):
    text = EXAMPLE.read_text()
    assert new in text
    context.faulty = context.site.folder / "faulty.toml"
    context.faulty.write_text(text.replace(new, old))


@then('checking them names "{fault}" and the entry ends with exit code {code:d}')
def step(context, fault, code):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert main(["check", str(context.faulty)]) == 1
    assert fault in output.getvalue(), output.getvalue()
    command = [sys.executable, "-m", "boragestream.daemon.route_command"]
    ended = subprocess.run([*command, str(context.faulty)], capture_output=True)
    assert ended.returncode == code, ended
