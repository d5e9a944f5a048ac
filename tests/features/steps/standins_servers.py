"""Steps on the stand-ins of backend servers, without entries."""

import http.client
import re
import socket
import threading
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import RouteServer

ENDING_SECONDS = 0.3
VERSION = re.compile(rb"^data: \d+ (\S+)", re.MULTILINE)


class EndingServer(RouteServer):
    """A stand-in that takes a while from the order to end to its end."""

    def __init__(self, *arguments):
        """Listen; the order to end is to come."""
        self.ending = threading.Event()
        super().__init__(*arguments)

    def lose(self):
        """End after a while."""
        self.ending.set()
        time.sleep(ENDING_SECONDS)
        super().lose()


def read_versions(server):
    """Return the versions that the events of a new stream name."""
    connection = http.client.HTTPConnection(server.address, timeout=5)
    headers = {"Request-Id": "r", "Deadline-Ms": "5000"}
    try:
        connection.request("POST", "/chat/ok", b"", headers)
        return set(VERSION.findall(connection.getresponse().read()))
    finally:
        connection.close()


@given('a stand-in engine of version "{version}" that takes a while to end')
def step(context, version):
    context.server = EndingServer("127.0.0.1", "engine", "engine", "hall-a")
    context.server.version = version


@when('it is upgraded to "{version}", and streams are read before and after its end')
def step(context, version):
    server, back = context.server, threading.Event()
    server.when_back = lambda server, before: back.set()
    ending = threading.Thread(target=lambda: server.crash(version=version))
    ending.start()
    assert server.ending.wait(5)
    context.before = read_versions(server)
    ending.join()
    assert back.wait(5)
    context.after = read_versions(server)
    server.close()


@then(
    'the events before its end are of "{former}", '
    'and those after its new start of "{latter}"'
)
def step(context, former, latter):
    assert context.before == {former.encode()}, context.before
    assert context.after == {latter.encode()}, context.after


@when("it ends while a connection is accepted")
def step(context):
    server = context.server
    with server.lock:
        context.sock = socket.create_connection(server.address.split(":"), timeout=5)
        # The server has accepted it, and has not added it to its open ones.
        time.sleep(ENDING_SECONDS)
        ending = threading.Thread(target=server.lose)
        ending.start()
        wait_until(lambda: server.listener.fileno() < 0, what="the listener is closed")
    ending.join()


@then("the connection is reset")
def step(context):
    try:
        assert context.sock.recv(1) == b""
    except ConnectionResetError:
        pass
    finally:
        context.sock.close()
