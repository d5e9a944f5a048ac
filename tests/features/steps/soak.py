"""Steps on the soak: short runs of it, and what its checks see."""

import contextlib
import http.client
import os
import socket
import threading
import time
from functools import partial
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from tests.soak.callers import Told
from tests.soak.checks import broken_promises
from tests.soak.crowds import MemoryPeaks
from tests.soak.limits import over_limits
from tests.soak.plan import Family, Strike, StrikeKind, make_plan
from tests.soak.regions import RegionWays
from tests.soak.relay import LinkFault, Relay
from tests.soak.run import run_seed
from tests.standins.fleet import wait_until
from tests.standins.partition import (
    GREETING_BYTES,
    LENGTH_BYTES,
    REQUEST_ID_BYTES,
    PartitionedNetwork,
)
from tests.standins.route_server import EVENTS
from tests.standins.route_site import RouteSite

REQUEST = "s-1"
LIFE = ("entry-0", 0)
# Entries use 45 MB in runs without callers that don't read.
HELD_MB = 64
BAD_GATEWAY = 502
NOTICED = {
    Family.READERS: lambda verdict: verdict.peak_mb > HELD_MB,
    Family.SURGES: lambda verdict: verdict.events.get("surplus_refused"),
    Family.PARTITIONS: lambda verdict: verdict.events.get("region_unreachable"),
    Family.CUTS: lambda verdict: verdict.events.get("request_delegated"),
    Family.UPGRADES: lambda verdict: verdict.events.get("stream_resumed"),
    Family.OUT_OF_STEP: lambda verdict: verdict.events.get("stream_resumed"),
    Family.LOGS: lambda verdict: verdict.events.get("lines_lost"),
    Family.SPOILS: lambda verdict: verdict.statuses.get(BAD_GATEWAY),
}

# A search of the owners of connections takes as long on a busy machine.
SEARCH_SECONDS = 0.05


@when("faults of seed {seed:d} strike {entries:d} entries for {seconds:d} seconds")
def step(context, seed, entries, seconds):
    context.verdict = run_seed(seed, entries, seconds)


@when(
    "faults of seed {seed:d} and of data centres strike {entries:d} entries for "
    "{seconds:d} seconds"
)
def step(context, seed, entries, seconds):
    context.verdict = run_seed(seed, entries, seconds, families=[Family.CENTRES])


@when(
    "faults of seed {seed:d} and returns of the store strike {entries:d} entries for "
    "{seconds:d} seconds"
)
def step(context, seed, entries, seconds):
    context.verdict = run_seed(seed, entries, seconds, families=[Family.RETURNS])


@when(
    "faults of seed {seed:d} and limits of servers strike {entries:d} entries for "
    "{seconds:d} seconds"
)
def step(context, seed, entries, seconds):
    context.verdict = run_seed(seed, entries, seconds, families=[Family.LIMITS])


@when(
    'faults of seed {seed:d} and "{family}" strike {entries:d} entries for '
    "{seconds:d} seconds"
)
def step(context, seed, family, entries, seconds):
    context.family = Family(family)
    context.verdict = run_seed(seed, entries, seconds, families=[context.family])


@given(
    "a server with a limit of {limit:d} that {count:d} requests of two entries reached "
    "in {seconds:d} seconds"
)
def step(context, limit, count, seconds):
    at = [10.0 + number * seconds / (count + 1) for number in range(count)]
    # Each entry has passed an answer on long before.
    at = [1.0, 1.1, *at]
    server = SimpleNamespace(identity="i-1", calls=[])
    context.told = []
    for number, moment in enumerate(at):
        request_id, life = f"s-{number}", (f"entry-{number % 2}", 0)
        server.calls.append((moment, request_id))
        one = SimpleNamespace(
            request_id=request_id, life=life, status=200, ended_at=moment
        )
        context.told.append(one)
    limited = [(server, float(limit), 0.0, 20.0)]
    context.site = SimpleNamespace(limited=limited, excused=set())


@given("one of these entries was suspended")
def step(context):
    context.site.excused.add(("entry-1", 0))


@then("the soak finds that it got more than its limit allows")
def step(context):
    assert over_limits(context.site, context.told)


@then("the soak finds that it got no more than its limit allows")
def step(context):
    assert not over_limits(context.site, context.told)


@when(
    'the kind "{kind}" strikes {entries:d} entries every second for {seconds:d} s '
    'as "{how}"'
)
def step(context, kind, entries, seconds, how):
    strike_every_second(context, kind, entries, seconds, how)


@when(
    'the kind "{kind}" strikes {entries:d} entries every second for {seconds:d} s as ""'
)
def step(context, kind, entries, seconds):
    strike_every_second(context, kind, entries, seconds, "")


@when("an answer that announces {announced:d} bytes ends after {came:d}")
def step(context, announced, came):
    mine, other = socket.socketpair()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\n"
    other.sendall(head.encode() + b"x" * came)
    other.close()
    response = http.client.HTTPResponse(mine)
    response.begin()
    context.read = RouteSite.read(response)
    mine.close()


@then("its caller takes it for {taken}")
def step(context, taken):
    assert context.read[1] is (taken == "whole"), context.read


def strike_every_second(context, kind, entries, seconds, how):
    """Run one kind of fault alone; strikes overlap by half a second."""
    plan = [
        Strike(1.0 + number, 1.5, StrikeKind[kind], how, 7 * number)
        for number in range(seconds)
    ]
    context.verdict = run_seed(0, entries, seconds + 1, plan=plan)


@then("the soak sees no broken promise, and requests were served")
def step(context):
    assert not context.verdict.broken, context.verdict
    assert context.verdict.statuses.get(200), context.verdict


@then("the entries have noticed these faults")
def step(context):
    assert NOTICED[context.family](context.verdict), context.verdict


def told(kind, status, body, **more):
    """Return what a caller was told."""
    fields = {
        "request_id": REQUEST,
        "kind": kind,
        "fault": "ok",
        "version": 0,
        "life": LIFE,
        "sent_at": 10.0,
        "ended_at": 10.5,
        "status": status,
        "sealed": status == 200,
        "body": body,
        "whole": True,
        "left": False,
    }
    return Told(**{**fields, **more})


def soaked(runs):
    """Return a site whose one server ran a request so often."""
    server = SimpleNamespace(
        runs={REQUEST: runs}, keys_seen=[], identity="i-1", made={}, inputs={}
    )
    return SimpleNamespace(
        servers=[server],
        entries={},
        own_ends=[],
        long_pauses=[],
        of_kind=lambda kind: [server],
    )


@given(
    'a soaked request "{kind}" that ran {runs:d} times and was told {status:d} '
    'with "{body}"'
)
def step(context, kind, runs, status, body):
    if body.startswith("events "):
        numbers = body.removeprefix("events ").split(",")
        body = "".join(f"id: {number}\ndata: x\n\n" for number in numbers)
    context.found = broken_promises(soaked(runs), [told(kind, status, body.encode())])


def event(number, version):
    """Return an event as the stand-in of a server writes it."""
    return b"id: %d\ndata: %d %s www\n\n" % (number, number, version.encode())


@given('a soaked stream that began at "{first}" and was taken up at "{version}"')
def step(context, first, version):
    began = told("chat", 200, event(1, first), whole=False)
    rest = b"".join(event(number, version) for number in range(2, EVENTS + 1))
    again = told("chat", 200, rest, request_id="s-2", resumes=REQUEST, last_event=1)
    site = soaked(1)
    site.servers[0].runs["s-2"] = 1
    context.found = broken_promises(site, [began, again])


@given("an entry answered version {version:d} and {later:g} seconds later 404 to it")
def step(context, version, later):
    body = f"i-1 {REQUEST} 5".encode()
    first = told("probe", 200, body, version=version)
    at = first.ended_at + later
    again = told("probe", 404, b"", version=version, sent_at=at, ended_at=at)
    context.found = broken_promises(soaked(1), [first, again])


@then('the soak finds "{found}"')
def step(context, found):
    assert any(found in line for line in context.found), context.found


@then('the soak finds ""')
def step(context):
    assert not context.found, context.found


@then("two plans of seed {seed:d} are the same, and one of seed {other:d} is another")
def step(context, seed, other):
    assert make_plan(seed, 20) == make_plan(seed, 20)
    assert make_plan(seed, 20) != make_plan(other, 20)


@given("a soaked request that had no answer for {seconds:g} seconds")
def step(context, seconds):
    hanging = told("safe", 0, b"", whole=False, ended_at=10.0 + seconds)
    context.found = broken_promises(soaked(1), [hanging])


@given(
    "a soaked request that had no answer for {seconds:g} seconds, "
    "and whose entry was paused from second {began:g} to {ended:g}"
)
def step(context, seconds, began, ended):
    hanging = told("safe", 0, b"", whole=False, ended_at=10.0 + seconds)
    site = soaked(1)
    site.long_pauses.append((LIFE[0], 10.0 + began, 10.0 + ended))
    context.found = broken_promises(site, [hanging])


@given("a soaked request that had none since its caller's connection had gone silent")
def step(context):
    hanging = told("safe", 0, b"", whole=False, ended_at=19.5, silenced=True)
    context.found = broken_promises(soaked(1), [hanging])


def echo(listener, received=None):
    """Send back what comes, on every connection, and add it to a list."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo_one, args=(sock, received), daemon=True).start()


def echo_one(sock, received):
    """Send back what comes on one connection."""
    with contextlib.suppress(OSError):
        while data := sock.recv(100):
            if received is not None:
                received.append(data)
            sock.sendall(data)


def connect(context):
    """Connect through the relay."""
    host, _, port = context.relay.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    context.add_cleanup(sock.close)
    return sock


def echoes(sock):
    """Tell whether a connection still echoes."""
    sock.settimeout(2.0)
    sock.sendall(b"x")
    try:
        return sock.recv(1) == b"x"
    except TimeoutError:
        return False


@given("a relay to an echo with an open connection")
def step(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=echo, args=(listener,), daemon=True).start()
    context.relay = Relay(f"127.0.0.1:{listener.getsockname()[1]}")
    context.add_cleanup(context.relay.close)
    context.old = connect(context)
    assert echoes(context.old)


@when("the relay's connections go stale and the fault is over")
def step(context):
    context.relay.strike(LinkFault.STALE)
    context.relay.heal()


@then("what is sent on the old connection is lost, and the relay says so")
def step(context):
    assert not echoes(context.old)
    assert context.relay.lost(context.old.getsockname()[1])


@then("a new connection echoes, and the relay says that nothing was lost on it")
def step(context):
    sock = connect(context)
    assert echoes(sock)
    assert not context.relay.lost(sock.getsockname()[1])


@given("a process that has used memory")
def step(context):
    context.peaks = MemoryPeaks(SimpleNamespace(lives={"entry-0": 0}))
    context.peaks.note("entry-0", os.getpid())


@then("the soak finds that it has used more than {limit:d} MB, and no more than it has")
def step(context, limit):
    assert context.peaks.beyond(limit)
    assert not context.peaks.beyond(context.peaks.most + 1)


@given('a network before an echo in the place of "{name}"')
def step(context, name):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=echo, args=(listener,), daemon=True).start()
    context.lost_ways = set()
    ports = {name: listener.getsockname()[1], "entry-a": 1}
    context.network = PartitionedNetwork(ports, lambda *way: way in context.lost_ways)
    context.add_cleanup(context.network.close)


@given('an entry "{name}" that names itself by its {what}')
def step(context, name, what):
    by_address = f"127.0.0.1:{context.network.ports[name]}"
    message = [1, "routes", name if what == "name" else by_address, b""]
    data = b"\0" * REQUEST_ID_BYTES + msgspec.msgpack.encode(message)
    length = len(data).to_bytes(LENGTH_BYTES, "big")
    context.message = b"\0" * GREETING_BYTES + length + data


@when("the network is {how}")
def step(context, how):
    there = ("entry-a", "entry-b")
    if how == "split":
        context.network.split(*([name] for name in there))
    elif how == "lossy back":
        context.lost_ways.add(there[::-1])
    elif how != "whole":
        context.lost_ways.add(there)
    if how == "lossy at first":
        sock = send_between(context)
        assert not answers(sock, context.message)
        context.lost_ways.clear()
        context.network.close_stuck()


@then('what it sends to "{name}" has {answer}')
def step(context, name, answer):
    sock = send_between(context)
    assert answers(sock, context.message) is (answer == "an answer")


def send_between(context):
    """Send the message of one entry to another; return the connection."""
    sock = socket.create_connection(("127.0.0.1", context.network.ports["entry-b"]))
    context.add_cleanup(sock.close)
    sock.sendall(context.message)
    return sock


def answers(sock, message):
    """Tell whether a message comes back on a connection."""
    sock.settimeout(1.0)
    received = b""
    try:
        while len(received) < len(message):
            part = sock.recv(100)
            if not part:
                return False
            received += part
    except TimeoutError:
        return False
    return received == message


@given('a server of "{zone}" behind a relay, and this process as an entry of "{own}"')
def step(context, zone, own):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.received = []
    echoing = (listener, context.received)
    threading.Thread(target=echo, args=echoing, daemon=True).start()
    site = SimpleNamespace(
        fields={"entry-0": {"zone": own}},
        entries={"entry-0": SimpleNamespace(popen=SimpleNamespace(pid=os.getpid()))},
        network=SimpleNamespace(close_stuck=lambda: None),
        store_relays={},
        server_relays={},
    )
    context.ways = RegionWays(site)
    server = SimpleNamespace(zone=zone, address="")
    target = f"127.0.0.1:{listener.getsockname()[1]}"
    context.relay = Relay(target, partial(context.ways.to_server, server))
    context.add_cleanup(context.relay.close)
    server.address = context.relay.address
    site.server_relays["i-1"] = context.relay


@when('the regions are parted, "{how}"')
def step(context, how):
    context.open_ways = context.ways.part(how)


@when("the regions have healed")
def step(context):
    context.open_ways()


@when("{count:d} connections send something to the server and end")
def step(context, count):
    find_owners, context.searches = context.ways.find_owners, []

    def slow_search():
        time.sleep(SEARCH_SECONDS)
        context.searches.append(time.monotonic())
        return find_owners()

    loses, asked = context.relay.loses, []

    def counted(port, there):
        asked.append(port)
        return loses(port, there)

    context.ways.find_owners, context.relay.loses = slow_search, counted
    for _ in range(count):
        sock = connect(context)
        sock.sendall(b"late")
        sock.close()
    wait_until(lambda: len(asked) >= count, what="the relay has what was sent")


@then("the server has received nothing of them")
def step(context):
    time.sleep(20 * SEARCH_SECONDS)
    assert not context.received, context.received


@then("their owners were searched for a few times only")
def step(context):
    assert len(context.searches) < 10, len(context.searches)


@then("what it sends to the server has {answer}")
def step(context, answer):
    assert echoes(connect(context)) is (answer == "an answer")
