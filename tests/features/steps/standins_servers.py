"""Steps on the stand-ins of backend servers, without entries."""

import contextlib
import http.client
import json
import re
import select
import socket
import threading
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_server import KV_LIST, RouteServer
from tests.standins.route_store import RouteStore
from tests.standins.scripted_server import ScriptedServer

ENDING_SECONDS = 0.3
# How long a server has to take what was sent.
TAKING_SECONDS = 0.2
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


@given('a stand-in engine of version "{version}"')
def step(context, version):
    context.server = RouteServer("127.0.0.1", "engine", "engine", "hall-a")
    context.server.version = version


def ask(server, method, path, body=None, **headers):
    """Call a server; return the status and the body as far as it came."""
    connection = http.client.HTTPConnection(server.address, timeout=5)
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    with contextlib.closing(connection):
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        try:
            return response.status, response.read()
        except http.client.IncompleteRead as error:
            return response.status, error.partial


@when(
    '{count:d} events of a stream with the prompt "{prompt}" are written, '
    "which is then cut"
)
def step(context, count, prompt):
    context.status, body = ask(
        context.server,
        "POST",
        "/chat/cut",
        b"",
        Request_Id="r",
        Deadline_Ms="5000",
        Model="m",
        Prompt_Prefix=prompt,
    )
    assert body.count(b"data: ") == count, body


def list_parts(server):
    """Return what a server lists."""
    status, body = ask(server, "GET", KV_LIST)
    assert status == 200, status
    return json.loads(body)


def as_parts(listed):
    """Return listed parts as a prompt names them."""
    assert all(kind == "" and model == "m" for kind, _, _, model in listed["held"])
    return ",".join(f"{part}:{tokens}" for _, part, tokens, _ in listed["held"])


@then('it lists the parts "{parts}"')
def step(context, parts):
    context.listed = list_parts(context.server)
    assert as_parts(context.listed) == parts, context.listed
    assert list_parts(context.server) == context.listed


@then("a list asked of another server is refused")
def step(context):
    status, _ = ask(context.server, "GET", KV_LIST, Expect_Instance="i-other")
    assert status == 421, status


@then("after a crash it lists no parts, in another epoch")
def step(context):
    server, before = context.server, context.server.identity
    server.crash(0)
    wait_until(lambda: server.identity != before, what="a new life")
    listed = wait_until(lambda: list_parts(server), what="listening")
    assert listed["held"] == [], listed
    assert listed["epoch"] != context.listed["epoch"], listed


@then("it was asked {count:d} times for its list")
def step(context, count):
    assert context.server.part_list_calls == count, context.server.part_list_calls


@when("it does not support the list of prompt parts")
def step(context):
    context.server.lists_parts = False


@then("its answer to the call has the status {status:d}")
def step(context, status):
    assert ask(context.server, "GET", KV_LIST)[0] == status


@given("a stand-in store")
def step(context):
    context.store = RouteStore("127.0.0.1")
    context.add_cleanup(context.store.close)


@when('the values "{written}" are written there')
def step(context, written):
    for word in written.split():
        key, _, value = word.partition("=")
        context.store.put(key, value.encode() or None)


@then('items and changes name the revisions of creation "{revisions}"')
def step(context, revisions):
    store = context.store
    watch = "kv-watch?prefix=k/&after=0&wait_ms=100"
    _, body = ask(store, "GET", f"/boragestream/{watch}")
    # The last change of a key counts.
    changes = {item["key"]: item.get("created") for item in json.loads(body)["events"]}
    _, body = ask(store, "GET", "/boragestream/kv-range?prefix=k/")
    items = {item["key"]: item["created"] for item in json.loads(body)["items"]}
    expected = dict(word.split(":") for word in revisions.split())
    expected = {key: int(revision) for key, revision in expected.items()}
    assert items == changes == expected, (items, changes)


@given("a scripted server that reads {size:d} bytes before its answer")
def step(context, size):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    context.server.script(b"the answer")
    context.server.reads = size


@when("{size:d} bytes of a call are sent, and after a while all but the last byte")
def step(context, size):
    server = context.server
    host, _, port = server.address.rpartition(":")
    context.client = socket.create_connection((host, int(port)), timeout=5)
    context.add_cleanup(context.client.close)
    context.client.sendall(bytes(size))
    wait_until(lambda: server.calls == 1, what="the first read of the call")
    context.client.sendall(bytes(server.reads - size - 1))


@then("the server has not answered")
def step(context):
    readable, _, _ = select.select([context.client], [], [], TAKING_SECONDS)
    assert not readable, "answered before the call was read"


@then("once the last byte is sent, its whole answer is read")
def step(context):
    context.client.sendall(b"x")
    with context.client.makefile("rb") as answer:
        assert answer.read() == b"the answer"
