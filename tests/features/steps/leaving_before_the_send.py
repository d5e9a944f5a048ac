"""Steps on servers whose state changes between their choice and the first byte."""

import random
import socket
import threading
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.calls import StageCall
from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.failures import (
    AttemptCancelled,
    PlacesTaken,
    Ran,
    ServerCold,
    ServerLeft,
    ServerLimited,
)
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import SystemClock
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece
from boragestream.document.routes import PieceLimits
from boragestream.policy.cold_servers import ColdBound, ColdServers
from boragestream.policy.costs import Purpose
from boragestream.policy.load import LoadTable
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.quarantine import (
    CRASHES_TO_QUARANTINE,
    CrashRecord,
    Quarantine,
    RequestQuarantined,
)
from boragestream.policy.region_choice import RegionChoice
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import OpenCalls
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.service_queue import Batch
from boragestream.serving.attempts import AttemptRun
from boragestream.serving.forward_attempt import ForwardAttempt
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_calls import BatchParts, PieceCalls
from boragestream.serving.request import SentRecord
from boragestream.serving.request_guard import RequestGuard
from tests.standins.fleet import wait_until
from tests.standins.limits import lone_limits, lone_seats

ADDRESS = "127.0.0.1"
SERVICE = "service"
LIMITS = PieceLimits(1, 4, 0.2, 0.01, 1000.0, 4.0)
CALL_SECONDS = 2.0
FINGERPRINT = b"12345678"


class Listener:
    """A server that records the bytes it receives and never answers."""

    def __init__(self, name):
        """Listen on a free port and accept connections in a thread."""
        self.socket = socket.create_server((ADDRESS, 0))
        host = f"{ADDRESS}:{self.socket.getsockname()[1]}"
        self.server = Server(name, SERVICE, host, "hall", "1")
        self.bytes = b""
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            connection, _ = self.socket.accept()
            self.bytes += connection.recv(65536)
            connection.close()


class LeavingWhileConnecting(ConnectionKeeper):
    """Makes a server begin to leave while a connection to it is made."""

    def __init__(self, servers, leaving):
        """Store the table that is told of the leave, and the server that leaves."""
        super().__init__()
        self.servers, self.leaving = servers, leaving
        self.on_connect = self.leave

    def connect(self, host, seconds):
        """Connect, then run ``on_connect`` if it is the chosen server."""
        connection = super().connect(host, seconds)
        if host == self.leaving.host:
            self.on_connect()
        return connection

    def leave(self):
        """Record in the table that the server is leaving."""
        self.servers.note_leaving_identity(self.leaving.identity)


class Wire:
    """Encodes calls with the server's name as the path."""

    def encode_piece_call(self, server, pieces):
        """Return the encoded call."""
        return f"POST /{server.name} HTTP/1.1\r\n\r\n".encode()

    def encode_release(self, server, handles):
        """Return the encoded release."""
        return f"POST /release/{server.name} HTTP/1.1\r\n\r\n".encode()

    def encode_report_call(self, server):
        """Return the encoded question."""
        return f"GET /report/{server.name} HTTP/1.1\r\n\r\n".encode()

    def read_piece_results(self, body):
        """Return no results."""

    def read_stage_report(self, body):
        """Return no report."""


def batch_parts(context):
    """Return the dependencies of calls to stage servers."""
    clock = SystemClock()
    return BatchParts(
        line=CallLine(lambda head: None, context.keeper, clock, lambda service: 0),
        format=Wire(),
        servers=context.server_table,
        cold=context.cold,
        backoffs=ServerBackoffs(clock),
        limited=context.limited,
        quarantine=Quarantine("e", lambda: ["e"], clock),
        loads=context.loads,
        retries=RetryWindows(clock.now, lambda: RetryBounds(0.0, 10.0, 0.0), lambda: 1),
        watchdog=Watchdog(clock),
        clock=clock,
        metrics=RouteMetrics(),
        piece_limits=lambda service: LIMITS,
        note_use=lambda: None,
    )


def order():
    """Return an order of one piece."""
    piece = Piece("r-1", 0, 0, "key", ())
    return PieceOrder("r-1/0/0", SERVICE, (piece,), 100.0, 0, False)


def call_pieces(context, server):
    """Send a batch of pieces."""
    piece_order = order()
    queued = QueuedOrder(piece_order, 1e9, 1e9, list(piece_order.pieces))
    batch = Batch(
        server, LIMITS, tuple((queued, piece) for piece in piece_order.pieces)
    )
    return PieceCalls(batch_parts(context)).make(batch)


def call_forwarded(context, server):
    """Send a forwarded request."""
    clock = SystemClock()
    scope = CancelScope(clock.now() + CALL_SECONDS)
    parts = SimpleNamespace(
        line=CallLine(lambda head: None, context.keeper, clock, lambda service: 0),
        encode=lambda request, call, host: b"GET / HTTP/1.1\r\n\r\n",
        servers=context.server_table,
        cold=context.cold,
        backoffs=ServerBackoffs(clock),
        limited=context.limited,
        loads=context.loads,
        choice=SimpleNamespace(open_calls=OpenCalls()),
        regions=RegionChoice(RegionLinks(Regions("hall"), clock), clock),
        clock=clock,
        metrics=RouteMetrics(),
        outstanding=None,
        oversized=None,
        seated=context.seated,
    )
    run = SimpleNamespace(
        scope=scope,
        request=SimpleNamespace(
            method="GET", request_id="r-1", host_header="", body=b""
        ),
        route=SimpleNamespace(name="route", repeatable=True),
        table=SimpleNamespace(services={}),
        service=SERVICE,
        account="",
        priority=0,
        sent=SentRecord(),
    )
    answer = ForwardAttempt(parts, run, context.guard, PermittedServer(server)).open(
        (), None, False
    )
    assert not run.sent.any
    return answer


def call_stage(context, server):
    """Send an attempt of a stage."""
    clock = SystemClock()
    request = SimpleNamespace(
        request_id="r-1",
        fingerprint=FINGERPRINT,
        scope=CancelScope(clock.now() + CALL_SECONDS),
        sent=SentRecord(),
        account=SimpleNamespace(name="account"),
        pipeline=SimpleNamespace(name="pipeline"),
    )
    run = SimpleNamespace(
        request=request,
        call=StageCall("r-1", "/", b"{}", False, 0, False),
        stage=SimpleNamespace(name="stage", service=SERVICE),
        guard=context.guard,
        name="pipeline.stage",
        kind="pipeline.stage",
    )
    parts = SimpleNamespace(
        clock=clock,
        loads=context.loads,
        servers=context.server_table,
        backoffs=ServerBackoffs(clock),
        limited=context.limited,
        seated=context.seated,
        reach=ServerReach(clock, lambda service: 2),
        connections=context.keeper,
        observations=SimpleNamespace(attempt_ended=lambda *a: None),
        costs=SimpleNamespace(add=lambda *a: None),
        call_queues=SimpleNamespace(
            of=lambda s: SimpleNamespace(record_end=lambda: None)
        ),
    )
    answer = AttemptRun(parts, run, PermittedServer(server), Purpose.FIRST).send()
    assert not request.sent.any
    return answer


CALLS = {
    "a batch of pieces": call_pieces,
    "a forwarded request": call_forwarded,
    "a stage's attempt": call_stage,
}


def listen(context, *names):
    """Start servers; the first one leaves while a connection to it is made."""
    context.listeners = [Listener(name) for name in names]
    servers = [listener.server for listener in context.listeners]
    context.server_table = ServerTable()
    context.server_table.take_list(servers)
    # Cold servers are allowed no request here.
    context.cold = ColdServers(
        "e",
        lambda service: ColdBound(1.0, 1.0, 9.0),
        lambda server: ["e"],
        lambda: True,
        SystemClock(),
    )
    context.loads = LoadTable(SystemClock(), random.Random(1))
    context.loads.take_list(servers)
    context.limited = lone_limits(SystemClock())
    context.seated = lone_seats(context.limited, SystemClock())
    context.keeper = LeavingWhileConnecting(context.server_table, servers[0])
    context.quarantine = Quarantine("e", lambda: ["e"], SystemClock())
    context.guard = RequestGuard(context.quarantine, context.keeper, "r-1", FINGERPRINT)


@given("a server that has been chosen for {call}")
def step(context, call):
    listen(context, "s-1")
    context.call = CALLS[call]


@when("it begins to leave while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    context.failure = context.call(context, context.server)


@when("its data centre is drained while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    centre = context.server.data_centre
    context.keeper.on_connect = lambda: context.server_table.set_drained(
        frozenset({centre})
    )
    context.failure = context.call(context, context.server)


@when("it turns out to be cold while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    cold = replace(context.server, cold_seconds=9.0)
    context.keeper.on_connect = lambda: context.cold.take(cold)
    context.failure = context.call(context, context.server)


@when("it names a limit while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    limits = context.limited.limits
    context.keeper.on_connect = lambda: limits.note_answer(
        context.server, 1.0, 0.0, True
    )
    context.failure = context.call(context, context.server)


@when("it says that it is brittle while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    services = context.seated.seats.services
    context.keeper.on_connect = lambda: services.note_answer(
        context.server, True, 0.0, True
    )
    context.failure = context.call(context, context.server)


@then("no byte was sent, and a place must be held for it")
def step(context):
    assert isinstance(context.failure, PlacesTaken), context.failure
    assert context.failure.ran is Ran.NOT_SENT
    assert not context.listeners[0].bytes
    assert context.loads.get(context.server).in_progress == 0


@when("the request turns out to crash servers while the connection is made")
def step(context):
    context.server = context.listeners[0].server
    assert context.guard.refusal() is None
    record = CrashRecord(FINGERPRINT, crashes=CRASHES_TO_QUARANTINE)
    context.keeper.on_connect = lambda: context.quarantine.merge(record, 0.0)
    context.failure = context.call(context, context.server)


@then("no byte was sent, and the request is quarantined")
def step(context):
    assert isinstance(context.failure, AttemptCancelled), context.failure
    assert isinstance(context.failure.reason, RequestQuarantined)
    assert not context.listeners[0].bytes
    assert context.loads.get(context.server).in_progress == 0


@when("its data centre is drained and {word} is due")
def step(context, word):
    server = context.listeners[0].server
    context.server_table.set_drained(frozenset({server.data_centre}))
    send_message(context, server, word)


def send_message(context, server, word):
    """Send a server a message other than a call for pieces."""
    calls = PieceCalls(batch_parts(context))
    if word == "a release of results":
        calls.release(server, ("handle",))
    else:
        calls._ask(SimpleNamespace(server=server))


@when("it has named a limit and {word} is due")
def step(context, word):
    server = context.listeners[0].server
    context.limited.limits.note_answer(server, 1.0, 0.0, True)
    send_message(context, server, word)


@when("it is leaving and {message} is due")
def step(context, message):
    server = context.listeners[0].server
    context.server_table.note_leaving_identity(server.identity)
    send_message(context, server, message)


@when("it is missing from the list and {message} is due")
def step(context, message):
    context.server_table.take_list([])
    send_message(context, context.listeners[0].server, message)


@when("it begins to leave while a release connects and {message} is due")
def step(context, message):
    # The keeper makes it leave with each connection.
    send_message(context, context.listeners[0].server, message)


@then("it is asked")
def step(context):
    assert context.listeners[0].bytes


@then("not a byte is sent")
def step(context):
    assert not context.listeners[0].bytes


@then('no byte was sent, the failure is "{code}", and nothing speaks against it')
def step(context, code):
    assert context.failure.code == code, context.failure
    assert isinstance(context.failure, ServerLeft | ServerCold | ServerLimited)
    assert not context.listeners[0].bytes
    assert context.loads.get(context.server).in_progress == 0


@given("two servers, of which the first begins to leave while its call connects")
def step(context):
    listen(context, "s-1", "s-2")


@when("the owner of their queue is given an order")
def step(context):
    context.done = {}
    batches = PieceBatches(batch_parts(context), context.done.__setitem__)
    assert batches.submit(order(), 5.0, 5.0) is None
    wait_until(lambda: context.listeners[1].bytes, what="the call of the second server")


@then("the second one makes its pieces, and the first one gets none")
def step(context):
    assert b"/s-2" in context.listeners[1].bytes
    assert not context.listeners[0].bytes
