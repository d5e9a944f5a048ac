"""Steps for the start of an entry, before it serves requests."""

import socket
import subprocess
import sys

from behave import given, then, when

from boragestream.base.route_settings import EntryAddresses
from boragestream.daemon.listening import open_listening_sockets
from tests.standins.fleet import free_ports

ADDRESS = "127.0.0.1"


def modules_loaded_by(module):
    """Return the names of all modules loaded after importing one module."""
    code = f"import sys, {module}; print(' '.join(sys.modules))"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


@given("the sockets of an entry are opened")
def step(context):
    callers, ready, directory, entries = (f"{ADDRESS}:{port}" for port in free_ports(4))
    context.listen = EntryAddresses(callers, ready, directory, entries)
    context.sockets = open_listening_sockets(context.listen)
    for opened in (context.sockets.callers, *context.sockets.pages):
        context.add_cleanup(opened.close)


@when("a caller connects to each of its addresses")
def step(context):
    listen = context.listen
    context.connected = []
    for address in (listen.callers, listen.ready, listen.directory):
        host, _, port = address.rpartition(":")
        connection = socket.create_connection((host, int(port)), timeout=2)
        context.add_cleanup(connection.close)
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        context.connected.append(connection)


@then("every connection stands before anything accepts it")
def step(context):
    assert len(context.connected) == 3
    for connection in context.connected:
        assert connection.getpeername()


@when("the command of an entry is loaded in a process of its own")
def step(context):
    context.loaded = modules_loaded_by("boragestream.daemon.route_command")


@when("the whole entry is loaded in a process of its own")
def step(context):
    context.loaded = modules_loaded_by("boragestream.daemon.route_process")


@then('nothing of "{names}" is loaded')
def step(context, names):
    wrong = context.loaded & set(names.split(", "))
    assert not wrong, wrong
