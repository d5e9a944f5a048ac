"""Steps on the records of which software version began a stream, without sockets."""

from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.document.routes import CallKind, Route, RouteTarget
from boragestream.entry.links import PeerRejected, PeerUnreachable
from boragestream.entry.stream_messages import OriginAsk, OriginReply
from boragestream.entry.stream_records import StreamRecords
from boragestream.platform.wire import read_request
from boragestream.policy.peers import ListedEntry
from boragestream.policy.prompt_caches import (
    CachedPart,
    CacheSurvey,
    KeptTokens,
    resolve_by_caches,
)
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import (
    OriginAmbiguous,
    OriginReport,
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
    StreamOrigins,
    record_holders,
    resolve_origin,
    stream_key,
)
from boragestream.policy.version_history import VersionHistory
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.request import SentRecord
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until

SERVICE = "engine"
STREAMS = 200
PEER = ListedEntry("peer", "10.0.0.2:80", "10.0.0.2:81", "hall-b")


def read_report(text):
    """Return the report that a row of the table describes."""
    recorded, versions, completeness = (part.strip() for part in text.split(","))
    names = [] if recorded == "none" else recorded.split()
    origins = frozenset(StreamOrigin(SERVICE, name) for name in names)
    listed = (frozenset(versions.replace("none", "").split()),)
    words = completeness.split()
    return OriginReport(
        origins, listed, "complete" in words, confirmed="confirmed" in words
    )


def listed_servers(versions):
    """Return one server of each version."""
    return [
        Server(f"s-{v}", SERVICE, f"10.9.0.{n}:80", "hall", version=v)
        for n, v in enumerate(versions.split())
    ]


@given('this entry reports "{own}" and others report "{others}"')
def step(context, own, others):
    context.reports = [read_report(own)]
    context.reports += [read_report(text) for text in others.split(";")]


@given('this entry reports "{own}" and others report ""')
def step(context, own):
    context.reports = [read_report(own)]


@when("the origin of a stream is resolved, with {missing:d} entries not reached")
def step(context, missing):
    context.resolved = resolve_origin((SERVICE,), context.reports, missing)


@then("the stream is refused")
def step(context):
    assert isinstance(context.resolved, OriginUnknown), context.resolved


@then("the stream goes on at {version}")
def step(context, version):
    assert context.resolved.origin == StreamOrigin(SERVICE, version), context.resolved


@given("the records of one entry")
def step(context):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.origins = StreamOrigins(context.clock)


def begin(context, name, version):
    """Have a stream begin."""
    key = stream_key("account", name)
    context.origins.note(key, StreamOrigin(SERVICE, version))


def count_origins(context, name):
    """Return the number of origins of a stream."""
    return len(context.origins.get(stream_key("account", name)))


@when(
    'streams "{one}" and "{two}" begin at "{first}" and "{second}", '
    'and stream "{third}" twice at "{same}"'
)
def step(context, one, two, first, second, third, same):
    begin(context, one, first)
    begin(context, two, second)
    begin(context, third, same)
    begin(context, third, same)


@then('"{one}" has {several:d} origins and "{other}" has {single:d}')
def step(context, one, several, other, single):
    assert count_origins(context, one) == several
    assert count_origins(context, other) == single


@when('stream "{name}" begins at "{version}", and goes on {seconds:d} seconds later')
def step(context, name, version, seconds):
    context.name = name
    begin(context, name, version)
    context.clock.seconds += seconds
    begin(context, name, version)


@then("it has an origin for {held:d} more seconds, and none after {dropped:d}")
def step(context, held, dropped):
    context.clock.seconds += held
    assert count_origins(context, context.name) == 1
    context.clock.seconds += dropped - held
    assert count_origins(context, context.name) == 0


@when("{count:d} streams begin one after the other")
def step(context, count):
    context.count = count
    for number in range(count):
        begin(context, f"r-{number}", "v1")


@then("the newest {kept:d} have an origin, and no others")
def step(context, kept):
    held = [n for n in range(context.count) if count_origins(context, f"r-{n}")]
    assert held == list(range(context.count - kept, context.count)), len(held)


@given('the versions "{versions}" are listed for the service')
def step(context, versions):
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.history = VersionHistory(context.clock)
    assert context.history.take_list(listed_servers(versions)) == []


@when('the versions "{first}" are listed, and then "{second}"')
def step(context, first, second):
    assert context.history.take_list(listed_servers(first)) == [SERVICE]
    assert context.history.take_list(listed_servers(second)) == []


@then(
    "the service has had several versions for {during:d} more seconds, "
    "but not after {after:d}"
)
def step(context, during, after):
    context.clock.seconds += during
    assert context.history.has_several(SERVICE)
    context.clock.seconds += after - during
    assert not context.history.has_several(SERVICE)
    assert context.history.versions(SERVICE) == {"v2"}


@then("the history is complete after {seconds:d} seconds and not before")
def step(context, seconds):
    context.clock.seconds += seconds - 1
    assert not context.history.complete
    context.clock.seconds += 1
    assert context.history.complete


@given("{count:d} entries in {centres:d} data centres")
def step(context, count, centres):
    context.entries = [
        ListedEntry(f"e-{n}", "", f"10.0.0.{n}:1", f"hall-{n % centres}")
        for n in range(count)
    ]


def keys():
    """Return the keys of some streams."""
    return [stream_key("account", f"r-{number}") for number in range(STREAMS)]


@then(
    "each of {streams:d} streams has its first {count:d} holders "
    "in {centres:d} data centres"
)
def step(context, streams, count, centres):
    assert streams == STREAMS
    for key in keys():
        first = record_holders(key, reversed(context.entries))[:count]
        assert first == record_holders(key, context.entries)[:count]
        assert len({entry.data_centre for entry in first}) == centres


@then(
    "the loss of one entry changes the first {count:d} holders "
    "of no stream by more than one"
)
def step(context, count):
    for key in keys():
        before = set(record_holders(key, context.entries)[:count])
        for lost in context.entries:
            left = [entry for entry in context.entries if entry != lost]
            after = set(record_holders(key, left)[:count])
            assert len(before - after) <= 1, (before, after)


@then("no entry is among the first {count:d} holders of more than twice its share")
def step(context, count):
    held = Counter(
        entry.name
        for key in keys()
        for entry in record_holders(key, context.entries)[:count]
    )
    assert max(held.values()) <= 2 * STREAMS * count / len(context.entries), held


class FixedLinks:
    """Links over which a peer gives one answer."""

    def __init__(self, answer):
        """Take what the peer answers, given a message."""
        self.answer = answer

    def ask(self, address, message, seconds):
        """Return the peer's answer."""
        return self.answer(address, message)


ANSWERS = {
    "rejects unknown messages": lambda a, m: PeerRejected(a, "message-refused"),
    "does not answer": lambda a, m: PeerUnreachable(a, "Timeout"),
    "reports what it knows": lambda a, m: OriginReply((), (("v1", "v2"),), False),
    "has a record of v2 for the stream": lambda a, m: OriginReply(
        ((SERVICE, "v2"),), (("v1", "v2"),), True
    ),
    "has listed v2 too, and has no record": lambda a, m: OriginReply(
        (), (("v1", "v2"),), True
    ),
    "has no record and has listed v1 alone": lambda a, m: OriginReply(
        (), (("v1",),), True
    ),
    "has listed v1 alone, as the store confirms": lambda a, m: OriginReply(
        (), (("v1",),), True, confirmed=m.confirm
    ),
    "has started, and the store confirms its list of v1": lambda a, m: OriginReply(
        (), (("v1",),), False, confirmed=m.confirm
    ),
}
UNREACHABLE = "gives no answer"
CURRENT = "confirms the list"
# Otherwise the version that the store lists by now follows.
NEWER = "lists "


class FixedList:
    """The server list of an entry before a store in one state."""

    def __init__(self, history, store=CURRENT, read_past=lambda: None):
        """Take the history that the list is applied to, and the store's state."""
        self.history = history
        self._read_past = read_past
        self.store = store
        self.seconds_old = 0.0
        self.confirmations = 0

    def age(self):
        """Return how old the list is."""
        return self.seconds_old

    def confirm(self):
        """Apply what the store lists, if it answers."""
        self.confirmations += 1
        if self.store.startswith(NEWER):
            self.history.take_list(listed_servers(self.store.removeprefix(NEWER)))
        return self.store != UNREACHABLE

    def read_past(self):
        """Add the past to the history."""
        self._read_past()


def stream_records(history, clock, reply, server_list=None):
    """Return the records of an entry with one peer that gives an answer."""
    return StreamRecords(
        "own",
        clock,
        StreamOrigins(clock),
        history,
        lambda: [PEER],
        FixedLinks(reply),
        server_list or FixedList(history),
    )


@given('a service with the versions "{versions}", and a peer that {answer}')
def step(context, versions, answer):
    clock = SetClock()
    history = VersionHistory(clock)
    history.take_list(listed_servers(versions))

    def reply(address, message):
        assert isinstance(message, OriginAsk)
        return ANSWERS[answer](address, message)

    context.records = stream_records(history, clock, reply)


@given(
    'an entry that has listed "{version}" alone for {seconds:d} s, '
    "whose store {store}, and whose peer {answer}"
)
def step(context, version, seconds, store, answer):
    clock = SetClock()
    history = VersionHistory(clock)
    history.take_list(listed_servers(version))
    clock.seconds += seconds
    context.asked, context.server_list = [], FixedList(history, store)

    def reply(address, message):
        context.asked.append(message)
        return ANSWERS[answer](address, message)

    context.records = stream_records(history, clock, reply, context.server_list)


@given('the past "{versions}" is added right after its last report')
def step(context, versions):
    records, report = context.records, context.records._report
    confirmed_reports = []

    def report_before_past(key, services, confirmed=False):
        reported = report(key, services, confirmed)
        if confirmed:
            confirmed_reports.append(reported)
        # The first one is made before the past is read, the second one after it.
        if len(confirmed_reports) == 2:
            context.server_list.history.add_past(listed_servers(versions))
        return reported

    records._report = report_before_past


@when("a stream of its caller is taken up there")
def step(context):
    key = stream_key("account", "r-1")
    context.resolved = context.records.find(key, (SERVICE,))


@when('a stream that it has begun at "{version}" is taken up there')
def step(context, version):
    key = stream_key("account", "r-1")
    context.records.note_began(key, StreamOrigin(SERVICE, version))
    context.resolved = context.records.find(key, (SERVICE,))


@then("its peer is not asked")
def step(context):
    assert not context.asked, context.asked


@then("its store is not asked")
def step(context):
    assert not context.server_list.confirmations


@when("{count:d} streams of its callers are taken up there")
def step(context, count):
    for number in range(count):
        key = stream_key("account", f"r-{number}")
        context.resolved = context.records.find(key, (SERVICE,))


@then("its peer is asked once")
def step(context):
    assert len(context.asked) == 1, context.asked


@then("engines {may} tell its version")
def step(context, may):
    assert isinstance(context.resolved, OriginUnknown), context.resolved
    assert context.resolved.list_confirmed == (may == "may"), context.resolved


@when("another entry asks it about a stream, {whether} confirming its list")
def step(context, whether):
    message = OriginAsk(stream_key("account", "r-1"), (SERVICE,), whether == "with")
    context.reply = context.records.answer_ask(None, message)


@then('its report names "{versions}", {state}')
def step(context, versions, state):
    reply = context.reply
    assert set(reply.versions[0]) == set(versions.split()), reply
    assert reply.confirmed == (state == "confirmed"), reply


@then("a stream may be resumed there")
def step(context):
    assert context.records.shares_records(PEER, SERVICE)


@then("no stream may be resumed there")
def step(context):
    assert not context.records.shares_records(PEER, SERVICE)


@given('a service with the versions "{versions}", and a peer whose link fails once')
def step(context, versions):
    clock = SetClock()
    history = VersionHistory(clock)
    history.take_list(listed_servers(versions))
    context.held, errors = [], [OSError("broken")]

    def reply(address, message):
        if errors:
            raise errors.pop()
        context.held += [key for key, _, _ in message.records]

    context.records = stream_records(history, clock, reply)


@when("{count:d} streams begin one after the other, each sent")
def step(context, count):
    context.keys = [stream_key("account", f"r-{n}") for n in range(count)]
    for key in context.keys:
        context.records.note_began(key, StreamOrigin(SERVICE, "v1"))
        wait_until(lambda: not context.records._sending, what="it was sent")


@then("the peer holds the records of the last {count:d}")
def step(context, count):
    assert context.held == context.keys[-count:], context.held


NO_BEGINNING = "no beginning of its history"


@given(
    'entries that have listed "{version}" alone for {seconds:d} s, '
    "and a store with {past}"
)
def step(context, version, seconds, past):
    clock = SetClock()
    history = VersionHistory(clock)
    history.take_list(listed_servers(version))
    clock.seconds += seconds
    context.key = stream_key("account", "r-1")

    def read_past():
        if past != NO_BEGINNING:
            history.add_past(listed_servers(past.split('"')[1]))

    def reply(address, message):
        return OriginReply((), ((version,),), False, float(seconds))

    context.server_list = FixedList(history, read_past=read_past)
    context.records = stream_records(history, clock, reply, context.server_list)


@given(
    'engines that keep "{kept}" of a prompt of {tokens:d} tokens '
    "with at most {most:d} generated"
)
def step(context, kept, tokens, most):
    keep(context, kept, tokens, most)


@given(
    'engines that keep "" of a prompt of {tokens:d} tokens '
    "with at most {most:d} generated"
)
def step(context, tokens, most):
    keep(context, "", tokens, most)


def keep(context, kept, tokens, most):
    """Set what engines keep: a version and a number, or ``?`` without an answer."""
    engines = [each.split() for each in kept.split(", ") if each]
    context.survey = CacheSurvey(
        tuple(
            CachedPart(StreamOrigin(SERVICE, version), int(number))
            for version, number in engines
            if number != "?"
        ),
        frozenset(StreamOrigin(SERVICE, v) for v, number in engines if number == "?"),
    )
    context.tokens, context.most = tokens, tokens + most


@given('records of the stream at "{first}" and "{second}"')
def step(context, first, second):
    for version in (first, second):
        context.records.note_began(context.key, StreamOrigin(SERVICE, version))


@when("the stream is taken up behind its event {event:d}")
def step(context, event):
    found = context.records.find(context.key, (SERVICE,))
    tells = isinstance(found, OriginUnknown) and found.list_confirmed
    if tells and not isinstance(found, OriginAmbiguous):
        kept = KeptTokens(context.tokens + event, context.most)
        found = resolve_by_caches(found, context.survey, kept)
    context.resolved = found


@when("the list is {seconds:d} s old")
def step(context, seconds):
    assert isinstance(context.resolved, ResolvedOrigin), context.resolved
    context.server_list.seconds_old = float(seconds)
    context.server_list.store = UNREACHABLE


@given(
    'the versions "{versions}" are listed for the service, '
    "whose streams last {seconds:d} s"
)
def step(context, versions, seconds):
    context.clock = SetClock()
    context.history = VersionHistory(context.clock, lambda: float(seconds))
    context.history.take_list(listed_servers(versions))


@given(
    'a service "{one}" with "{first}" and a service "{other}" with "{second}", '
    'and a record at "{recorded}"'
)
def step(context, one, first, other, second, recorded):
    versions = {one: first, other: second}
    origin = StreamOrigin(recorded, versions[recorded])
    listed = tuple(frozenset({version}) for version in versions.values())
    context.services = tuple(versions)
    context.reports = [OriginReport(frozenset({origin}), listed, True)]


@when("the origin is resolved for both services")
def step(context):
    context.resolved = resolve_origin(context.services, context.reports, 0)


@then('it goes on at the service "{service}" with "{version}"')
def step(context, service, version):
    assert context.resolved.origin == StreamOrigin(service, version), context.resolved


TAKES = {
    "a stream that is taken up": {"Last-Event-Id": "3", "Resumes": "r-0"},
    "a stream that is named only": {"Resumes": "r-0"},
    "a stream that begins": {},
}


@given(
    "{what} on a {kind} route with an objective of {objective:d} s, and {left:d} s left"
)
def step(context, what, kind, objective, left):
    headers = {"Host": "h", "Request-Id": "r-1", **TAKES[what]}
    context.run = ForwardedRun(
        request=read_request("POST", "/", headers.items(), b""),
        route=Route(
            "route",
            "h",
            "/",
            CallKind.IDEMPOTENT if kind == "plain" else CallKind.STREAM,
            (RouteTarget(SERVICE),),
            20.0,
            float(objective),
            resumable=kind == "resumable",
        ),
        table=SimpleNamespace(services={}, version=1),
        account="account",
        priority=0,
        service=SERVICE,
        scope=CancelScope(1000.0 + left),
        arrived=1000.0,
        sent=SentRecord(),
    )


@then("it must begin within {seconds:d} s")
def step(context, seconds):
    assert context.run.objective_at == 1000.0 + seconds, context.run.objective_at
