"""Steps that read replies of the server for callers over a socket."""

import hashlib
import http.client
import math
import socket
import threading
import time

from behave import given, then, when

from boragestream.base.clock import SystemClock
from boragestream.base.settings import CallerSettings
from boragestream.caller.connections import PACE, CallerConnection
from boragestream.caller.server import create_server
from tests.standins.callers_memory import caller_memory
from tests.standins.fleet import ADDRESS, free_ports, wait_until

SMALL_BUFFER = 4096
READ_BYTES = 100_000
MEMORY_BYTES = 100_000_000
END_SECONDS = 20
CHUNK_BYTES = 50
# Enough to write megabytes in.
AHEAD_SECONDS = 0.5


@given("a server whose reply is {count:d} chunks of {size:d} bytes")
def step(context, count, size):
    context.chunks = [(b"%06d" % i) * (size // 6) for i in range(count)]

    def application(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield from context.chunks

    serve(context, application)


def serve(context, application):
    """Run a server with an application until the scenario ends."""
    context.port = free_ports(1)[0]
    memory = caller_memory(SystemClock(), MEMORY_BYTES)
    server = create_server(application, CallerSettings(ADDRESS, context.port), memory)
    threading.Thread(target=server.run, daemon=True).start()
    context.add_cleanup(server.close)


@given("a server whose streams run at most {most:d} bytes ahead")
def step(context, most):
    context.unbounded = threading.Event()
    context.chunks, context.written, context.ended = [], 0, threading.Event()

    def application(environ, start_response):
        environ[PACE](lambda: math.inf if context.unbounded.is_set() else most)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        for chunk in context.chunks:
            yield chunk
            context.written += len(chunk)
        context.ended.set()

    serve(context, application)


@when("a caller with a small receive buffer asks for {size:d} bytes and reads nothing")
def step(context, size):
    context.chunks = [b"%050d" % i for i in range(size // CHUNK_BYTES)]
    context.connection = ask_with_small_buffer(context)


@then("less than {most:d} bytes are written and the rest waits")
def step(context, most):
    wait_until(lambda: context.written, what="the stream begins")
    time.sleep(AHEAD_SECONDS)
    assert not context.ended.is_set()
    assert context.written < most, context.written


@when("streams may run ahead without bound")
def step(context):
    context.unbounded.set()


@then("the stream is written to its end")
def step(context):
    assert context.ended.wait(END_SECONDS), context.written


def ask_with_small_buffer(context):
    """Return a connection with a small receive buffer that has sent a request."""
    connection = http.client.HTTPConnection(ADDRESS, context.port, timeout=30)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    connection.sock.connect((ADDRESS, context.port))
    connection.request("GET", "/")
    return connection


@when("a caller with a small receive buffer reads the reply slowly")
def step(context):
    read_slowly(context, ask_with_small_buffer(context))


@when("the caller reads")
def step(context):
    read_slowly(context, context.connection)


def read_slowly(context, connection):
    """Read an answer to its end."""
    response = connection.getresponse()
    context.digest = hashlib.sha256()
    while part := response.read(READ_BYTES):
        context.digest.update(part)
        time.sleep(0.001)
    connection.close()


@then("it has every byte in order")
def step(context):
    expected = hashlib.sha256(b"".join(context.chunks)).hexdigest()
    assert context.digest.hexdigest() == expected


def unused(environ, start_response):
    """Stand in for an application that is not called."""


def standing_server(context):
    """Return a server whose event loop does not run."""
    memory = caller_memory(SystemClock(), MEMORY_BYTES)
    settings = CallerSettings(ADDRESS, free_ports(1)[0])
    server = create_server(unused, settings, memory)
    context.add_cleanup(server.close)
    return server


@given("a server whose event loop stands still")
def step(context):
    context.server = standing_server(context)


@when("a thread wakes the loop {count:d} times")
def step(context, count):
    context.ran = threading.Event()

    def wake():
        for _ in range(count):
            context.server.pull_trigger()
        context.server.trigger.pull_trigger(context.ran.set)

    context.thread = threading.Thread(target=wake, daemon=True)
    context.thread.start()


@then("the thread ends, and the loop runs what was passed to it")
def step(context):
    context.thread.join(END_SECONDS)
    assert not context.thread.is_alive(), "the thread waits for the event loop"
    threading.Thread(target=context.server.run, daemon=True).start()
    assert context.ran.wait(END_SECONDS), "the loop was not woken"


@given("a connection whose output a thread has locked")
def step(context):
    server = standing_server(context)
    ours, theirs = socket.socketpair()
    context.add_cleanup(theirs.close)
    context.channel = CallerConnection(server, ours, ADDRESS, server.adj, map={})
    context.add_cleanup(context.channel.handle_close)
    context.unlocks = threading.Event()
    locked = threading.Event()

    def write():
        with context.channel.outbuf_lock:
            locked.set()
            context.unlocks.wait()

    context.thread = threading.Thread(target=write, daemon=True)
    context.thread.start()
    locked.wait()


@when("the event loop counts what the kernel holds for it")
def step(context):
    context.loop = threading.Thread(target=context.channel.follow, daemon=True)
    context.loop.start()


@then("it has ended before the thread unlocks the output")
def step(context):
    context.loop.join(END_SECONDS)
    waits = context.loop.is_alive()
    context.unlocks.set()
    context.thread.join()
    assert not waits, "the event loop waits for the thread"
