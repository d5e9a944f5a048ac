"""Steps on the bytes of calls between regions and the measured round trips."""

import contextlib
import socket
import threading
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import SystemClock
from boragestream.base.outcomes import Failure
from boragestream.platform.wire import read_answer_head
from boragestream.policy.load import CallEnd
from boragestream.policy.servers import Server
from boragestream.serving.forward_attempt import ForwardAttempt, ForwardParts
from boragestream.serving.limited_servers import PermittedServer
from tests.standins.regions import SERVICE, begin


@when("calls of {sent:d} bytes with answers of {received:d} bytes go to both regions")
def step(context, sent, received):
    for region in ("near", "far"):
        server = context.entry.of(region)[0]
        call = context.entry.parts.regions.calls.begin(server)
        call.note_sent(sent)
        call.note_received(received)
        call.note_answer()
        call.end()


@then(
    "{sent:d} bytes of calls and {received:d} of answers were counted for the other "
    "region alone"
)
def step(context, sent, received):
    expected = {("far", "call"): sent, ("far", "answer"): received}
    assert dict(context.entry.links.counted) == expected


@given("an entry before a real server of the other region")
def step(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.host = f"127.0.0.1:{listener.getsockname()[1]}"
    context.body = b"x" * 5000

    def answer():
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            connection.recv(65536)
            length = len(context.body)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            connection.sendall(head.encode() + context.body)
            connection.close()

    threading.Thread(target=answer, daemon=True).start()
    begin(context, 1, 1)


@when("an answer of {size:d} bytes is read {how}")
def step(context, size, how):
    entry = context.entry
    clock = SystemClock()
    server = Server("far-1", SERVICE, context.host, "hall-c", "1", region="far")
    entry.table.take_list([server])
    head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
    fields = {f: getattr(entry.parts, f) for f in ForwardParts.__dataclass_fields__}
    fields |= {
        "line": CallLine(read_answer_head, ConnectionKeeper(), clock, lambda s: 0),
        "encode": lambda request, call, host: head,
        "cold": SimpleNamespace(admit=lambda server: True),
    }
    _, run = entry.choice(body=b"abc")
    run.request.method, run.request.host_header = "POST", "host"
    # The call runs on the system's clock.
    run.scope._deadline = clock.now() + 5
    guard = SimpleNamespace(check_before_send=lambda: None)
    sent = ForwardAttempt(ForwardParts(**fields), run, guard, PermittedServer(server))
    opened = sent.open((), None, False)
    assert not isinstance(opened, Failure), opened
    if how == "as events":
        assert b"".join(sent.chunks()) == context.body
        sent.note_first_event()
        # A caller that leaves after the first event does not undo the measurement.
        sent.end(CallEnd.CANCELLED)
    else:
        assert b"".join(sent.read()) == context.body
        sent.end(CallEnd.ANSWERED if how == "whole" else CallEnd.REFUSED)
    context.sent_bytes, context.received_bytes = len(head) + 3, size


@then("the bytes of call and answer were counted, and {measured}")
def step(context, measured):
    counted = context.entry.links.counted
    assert counted["far", "call"] == context.sent_bytes, counted
    assert counted["far", "answer"] >= context.received_bytes, counted
    estimate = context.entry.parts.regions.calls.estimate(SERVICE, "far")
    if measured == "its time":
        assert estimate.first_seconds is not None and not estimate.refused_share
    else:
        assert estimate.first_seconds is None and estimate.refused_share
