"""Steps on the published entries of servers, without a process."""

import codecs
import json
import random
from types import SimpleNamespace

from behave import given, then, use_fixture, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.daemon.published_servers import PublishedServers
from boragestream.daemon.stream_parts import make_stream_parts
from boragestream.document.calls import Piece, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Sender
from boragestream.entry.peers import EntryPeers
from boragestream.platform.published import PublishedMalformed, read_server
from boragestream.policy.cold_servers import ColdBound, ColdServers
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.server_lives import ServerIncarnations
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.service_queue import ServiceQueue
from tests.standins.clock import SetClock
from tests.standins.log_lines import log_lines

SERVICE = "service"
BORN_MS = 1_700_000_000_000
GOOD = {
    "service": SERVICE,
    "addr": "10.0.0.1:80",
    "zone": "hall",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": BORN_MS,
}
LIMITS = PieceLimits(1, 4, 0.2, 0.01, 1.0, 4.0)
quietly = settings(max_examples=300, derandomize=True, deadline=None, database=None)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
JSON = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
)
ENTRIES = st.fixed_dictionaries(
    {}, optional={name: st.just(value) | JSON for name, value in GOOD.items()}
)


def invalid_lines(context):
    """Return the texts of the lines on entries that name no server."""
    return [line for line in context.lines.texts if '"event":2102' in line]


class Published:
    """What one entry knows by the published entries."""

    def __init__(self, names):
        """Take entries of servers by their names."""
        self.clock = SetClock()
        self.unused = []
        self.servers = ServerTable()
        self.servers.on_unused(self.unused.append)
        self.loads = LoadTable(self.clock, random.Random(1))
        links = PeerLinks(Sender("routes", "10.0.0.9:1", "1", b"a-key-of-16-bytes"))
        self.members = EntryPeers(
            "10.0.0.9:1",
            "1",
            "hall",
            links,
            self.take_notice,
            self.clock,
            random.Random(1),
        )
        self.cold = ColdServers(
            "10.0.0.9:1",
            lambda service: ColdBound(22.0, 38.0, 3.0),
            lambda server: ["10.0.0.9:1"],
            lambda: True,
            self.clock,
        )
        self.published = PublishedServers(
            ServerIncarnations(self.clock),
            self.members,
            self.servers,
            self.loads,
            self.cold,
            ServerLimits(self.clock),
            {"hall": "valley"},
            lambda: None,
            make_stream_parts(
                "10.0.0.9:1",
                self.members,
                links,
                self.clock,
                lambda: SimpleNamespace(confirming=SimpleNamespace(age=lambda: 0.0)),
                lambda: 0.0,
            ),
        )
        self.values = {}
        for number, name in enumerate(names):
            self.values[f"servers/{name}"] = entry(addr=f"10.0.0.{number + 1}:80")
        self.take()

    def take_notice(self, server):
        """Take another entry's word."""
        self.servers.note_leaving_identity(
            (server.name, server.host, server.incarnation)
        )

    def take(self):
        """Take all entries."""
        self.published.take(dict(self.values))

    def change(self, name, **fields):
        """Have an entry written with other fields."""
        known = json.loads(self.values[f"servers/{name}"])
        self.values[f"servers/{name}"] = json.dumps({**known, **fields}).encode()
        self.take()

    def used(self):
        """Return the names of the servers that may take new work."""
        return ", ".join(sorted(s.name for s in self.servers.live(SERVICE)))


def entry(**fields):
    """Return the bytes of a good entry with some other fields."""
    return json.dumps({**GOOD, **fields}).encode()


@given('the published servers "{names}"')
def step(context, names):
    use_fixture(log_lines, context)
    context.site = Published(names.split(", "))
    context.before = dict(context.site.values)


@when('the entry of "{name}" has its "{field}" as {value}')
def step(context, name, field, value):
    known = json.loads(context.site.values[f"servers/{name}"])
    if value == "missing":
        del known[field]
    else:
        known[field] = json.loads(value)
    context.site.values[f"servers/{name}"] = json.dumps(known).encode()
    for _ in range(3):
        context.site.take()


@when('the number "{field}" of the entry of "{name}" is {number}')
def step(context, field, name, number):
    digit, _, count = number.partition(" x ")
    if count:
        sign, digit = ("-", digit[1:]) if digit.startswith("-") else ("", digit)
        number = sign + digit * int(count)
    known = json.loads(context.site.values[f"servers/{name}"])
    # json writes neither that many digits nor "1e400".
    marked = json.dumps({**known, field: "@"})
    value = marked.replace('"@"', number)
    context.site.values[f"servers/{name}"] = value.encode()
    context.site.take()


@when('the entry of "{name}" is as before')
def step(context, name):
    context.site.values = dict(context.before)
    context.site.take()


@when('"{key}" holds the bytes "{value}"')
def step(context, key, value):
    key = codecs.decode(key, "unicode_escape")
    raw = codecs.escape_decode(value)[0]
    copy = context.before["servers/i-1"]
    context.site.values[key] = copy if value == "copy" else raw
    context.site.take()


@then('the servers to use are "{names}"')
def step(context, names):
    assert context.site.used() == names, context.site.used()


@then('one line in the log names "{key}"')
def step(context, key):
    lines = invalid_lines(context)
    assert len(lines) == 1 and key in lines[0], lines


@when("{count:d} entries of another writer come")
def step(context, count):
    for number in range(count):
        context.site.values[f"servers/x-{number}"] = b"x" * 5000
    context.site.take()


@then("the log has one line of at most {most:d} characters")
def step(context, most):
    lines = invalid_lines(context)
    assert len(lines) == 1 and len(lines[0]) <= most, lines
    assert '"malformed":400' in lines[0], lines[0]


@then("any bytes and any JSON give a server that can be called or a typed failure")
def step(context):
    keys = st.just("servers/i-1") | st.text().map(lambda text: f"servers/{text}")
    values = st.binary() | JSON.map(dump) | ENTRIES.map(dump)

    @quietly
    @any_of(keys, values)
    def check(key, value):
        read = read_server(key, value)
        if isinstance(read, PublishedMalformed):
            assert read.describe()
            return
        address, _, port = read.host.rpartition(":")
        parts = [int(part) for part in address.split(".")]
        assert len(parts) == 4 and all(0 <= part <= 255 for part in parts)
        assert 0 < int(port) < 65536
        assert read.name.isascii() and read.name.isprintable()

    check()


def dump(data):
    """Return JSON bytes; lone surrogates can't be encoded and stand for bad bytes."""
    return json.dumps(data, ensure_ascii=False).encode("utf-8", "replace")


@given(
    'the published servers "{name}" of which each has been measured and holds a result'
)
def step(context, name):
    context.execute_steps(f'given the published servers "{name}"')
    site = context.site
    server = site.servers.live(SERVICE)[0]
    number = site.loads.begin(server)
    site.loads.end(server, number, CallEnd.ANSWERED, 0.7, "kind")
    piece = Piece("r", 0, 0, "key", ())
    order = PieceOrder("r/0", SERVICE, (piece,), 1_000_000.0, 0, False)
    context.queue = ServiceQueue()
    now = site.clock.now()
    queued = QueuedOrder(order, now + 1, now + 5, [piece])
    context.queue.submit(queued, LIMITS, [server], now)
    batch = context.queue.next_batches(LIMITS, [server], now)[0]
    context.queue.end(batch, [PieceResult("10.0.0.1:80/ab", None)], True, now)
    assert context.queue.holds(server, "10.0.0.1:80/ab")
    context.earlier = server


@given('"{name}" has said that it is leaving')
def step(context, name):
    context.site.servers.note_leaving(context.earlier)
    context.unused = list(context.site.unused)
    assert not context.site.servers.live(SERVICE)


@when('"{name}" starts again')
def step(context, name):
    context.earlier = context.site.servers.all[0]
    context.site.change(name, born=BORN_MS + 60_000, seq=0)


@then('nothing measured is believed of "{name}"')
def step(context, name):
    server = context.site.servers.live(SERVICE)[0]
    assert server.identity != context.earlier.identity
    assert context.site.loads.get(server).seconds == 0


@then("its room is free and its result is never named again")
def step(context):
    now = context.site.clock.now()
    context.queue.drop_stale_servers(context.site.servers.all, now)
    assert not context.queue.holds(context.earlier, "10.0.0.1:80/ab")
    piece = Piece("q", 0, 0, "key", ())
    order = PieceOrder("q/0", SERVICE, (piece,), 1_000_000.0, 0, False)
    queued = QueuedOrder(order, now + 1, now + 5, [piece])
    live = context.site.servers.live(SERVICE)
    context.queue.submit(queued, LIMITS, live, now)
    assert context.queue.next_batches(LIMITS, live, now)


@then("its idle connections were closed")
def step(context):
    assert "10.0.0.1:80" in context.unused


@when('the earlier life of "{name}" says that it is draining')
def step(context, name):
    context.site.change(name, born=BORN_MS, state="draining")


@when('{seconds:g} seconds pass and the later life of "{name}" is published again')
def step(context, seconds, name):
    context.site.clock.seconds += seconds
    context.site.change(name, born=BORN_MS + 60_000, state="ready")
    assert not context.site.published.malformed


@when('"{name}" starts again with an earlier time of day, and that stays published')
def step(context, name):
    context.site.change(name, born=BORN_MS - 5_000)
    assert context.site.servers.all[0].started_ms == BORN_MS


@then("after {seconds:g} seconds the life that is published is the one to use")
def step(context, seconds):
    context.site.clock.seconds += seconds
    context.site.published.reapply()
    live = context.site.servers.live(SERVICE)
    assert [s.started_ms for s in live] == [BORN_MS - 5_000], live


@when('another entry tells that the earlier life of "{name}" is leaving')
def step(context, name):
    earlier: Server = context.earlier
    word = LeavingServer(earlier.name, earlier.host, earlier.incarnation)
    context.site.take_notice(word)
