"""Steps that run the server for callers with a test application."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.base.memory_budget import MemoryKind
from boragestream.base.settings import CallerSettings
from boragestream.caller.connections import ARRIVED, STOP_WAITING
from boragestream.caller.server import busy_connections, create_server
from tests.standins.callers_memory import caller_memory
from tests.standins.clock import SetClock
from tests.standins.fleet import free_ports, wait_until

PART = b"x" * 65536
SECONDS = 30
# Writes block while more than a share of it is held.
MEMORY_BYTES = 100_000_000
UNREAD_BYTES = 262_144


def start(context, application, threads=2):
    """Run a server until the scenario ends."""
    context.clock = SetClock(0.0)
    settings = CallerSettings("127.0.0.1", free_ports(1)[0], threads)
    context.memory = caller_memory(context.clock, MEMORY_BYTES)
    context.server = create_server(application, settings, context.memory, context.clock)
    context.address = ("127.0.0.1", settings.port)
    pool = ThreadPoolExecutor(1)
    future = pool.submit(context.server.run)
    context.add_cleanup(future.result, SECONDS)
    context.add_cleanup(context.server.trigger.pull_trigger, context.server.close)
    context.environs = []
    context.ended = threading.Event()


@given("a server whose application writes {count:d} MB")
def step(context, count):
    def application(environ, start_response):
        context.environs.append(environ)
        start_response("200 OK", [])
        try:
            for _ in range(count * 16):
                yield PART
        finally:
            context.ended.set()

    start(context, application)


@given("a server of {threads:d} thread whose application waits to be let go")
def step(context, threads):
    context.go = threading.Event()

    def application(environ, start_response):
        context.go.wait(SECONDS)
        context.environs.append((environ[ARRIVED], context.clock.now()))
        start_response("200 OK", [("Content-Length", "0")])
        return []

    start(context, application, threads)


@given("a server whose application answers with the path")
def step(context):
    context.go = threading.Event()
    context.go.set()

    def application(environ, start_response):
        context.go.wait(SECONDS)
        body = environ["PATH_INFO"].encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    start(context, application)


def send(context, count):
    """Send requests over one connection that the scenario keeps open."""
    sock = socket.create_connection(context.address)
    context.add_cleanup(sock.close)
    requests = [b"GET /p%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(count)]
    sock.sendall(b"".join(requests))
    return sock


@when("a caller sends {count:d} request and reads nothing")
@when("a caller sends {count:d} requests at once")
def step(context, count):
    context.sock = send(context, count)


@given("its application waits to be let go")
def step(context):
    context.go.clear()


@when("the application is let go")
def step(context):
    context.go.set()


@then(
    "{count:d} requests of it are parsed, and the others wait as bytes that are charged"
)
def step(context, count):
    channels = context.server.active_channels

    def parsed():
        return max((len(channel.requests) for channel in channels.values()), default=0)

    charged = context.memory.budget.charged
    wait_until(lambda: parsed() == count)
    wait_until(lambda: charged(MemoryKind.REQUEST) > len(PART) // 2)
    assert parsed() == count


@when("another caller sends a request")
def step(context):
    send(context, 1)
    wait_until(lambda: busy_connections(context.server) == 2)


@then("the application waits")
def step(context):
    channels = context.server.active_channels
    wait_until(
        lambda: any(c.total_outbufs_len > UNREAD_BYTES for c in channels.values())
    )
    assert not context.ended.is_set()
    assert context.memory.budget.total <= MEMORY_BYTES


@when("the deadline of the request passes")
def step(context):
    context.environs[0][STOP_WAITING]()


@then("the application has ended")
def step(context):
    assert context.ended.wait(SECONDS)


@then("the connection counts as busy until its caller has read or gone")
def step(context):
    assert busy_connections(context.server) == 1
    context.sock.close()
    wait_until(lambda: busy_connections(context.server) == 0)


@when("{seconds:d} s go by on the clock and the application is let go")
def step(context, seconds):
    context.clock.seconds += seconds
    context.go.set()


@then("the second request arrived {seconds:d} s before it was run")
def step(context, seconds):
    wait_until(lambda: len(context.environs) == 2)
    arrived, run = context.environs[1]
    assert run - arrived == seconds, context.environs


@then("it reads {count:d} answers, each with its own path")
def step(context, count):
    context.sock.settimeout(SECONDS)
    expected = [b"/p%d" % i for i in range(count)]
    read = b""
    while not read.endswith(expected[-1]):
        data = context.sock.recv(65536)
        assert data, read
        read += data
    bodies = [part.split(b"HTTP/1.1")[0] for part in read.split(b"\r\n\r\n")[1:]]
    assert bodies == expected, bodies


@then("no buffer of it overflows to a file")
def step(context):
    settings = context.server.adj
    largest = settings.max_request_body_size + UNREAD_BYTES + len(PART)
    assert min(settings.inbuf_overflow, settings.outbuf_overflow) > largest
