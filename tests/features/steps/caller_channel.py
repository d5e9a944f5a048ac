"""Steps that read replies of the server for callers over a socket."""

import hashlib
import http.client
import socket
import threading
import time

from behave import given, then, when

from boragestream.base.clock import SystemClock
from boragestream.base.settings import CallerSettings
from boragestream.caller.server import create_server
from tests.standins.callers_memory import caller_memory
from tests.standins.fleet import ADDRESS, free_ports

SMALL_BUFFER = 4096
READ_BYTES = 100_000
MEMORY_BYTES = 100_000_000


@given("a server whose reply is {count:d} chunks of {size:d} bytes")
def step(context, count, size):
    context.chunks = [(b"%06d" % i) * (size // 6) for i in range(count)]

    def application(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield from context.chunks

    context.port = free_ports(1)[0]
    memory = caller_memory(SystemClock(), MEMORY_BYTES)
    server = create_server(application, CallerSettings(ADDRESS, context.port), memory)
    threading.Thread(target=server.run, daemon=True).start()
    context.add_cleanup(server.close)


@when("a caller with a small receive buffer reads the reply slowly")
def step(context):
    connection = http.client.HTTPConnection(ADDRESS, context.port, timeout=30)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    connection.sock.connect((ADDRESS, context.port))
    connection.request("GET", "/")
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
