"""Steps on the ports and processes of fleets."""

import select
import socket
import subprocess
import sys

import pynng
from behave import given, then

from tests.standins.fleet import ADDRESS, reserve_ports

PARENT = """
import os, time
from tests.standins.fleet import end_with_parent

begin = end_with_parent()
if os.fork() == 0:
    time.sleep(0.3)
    begin()
    time.sleep(30)
"""


@given("a reserved port")
def step(context):
    (context.reserved,) = reserve_ports(1)
    context.add_cleanup(context.reserved.close)
    context.port = context.reserved.getsockname()[1]


@then("it cannot be reserved again")
def step(context):
    with socket.socket() as sock:
        try:
            sock.bind((ADDRESS, context.port))
        except OSError:
            return
    raise AssertionError(f"port {context.port} was bound twice")


@then("a server can listen on it")
def step(context):
    pynng.Rep0(listen=f"tcp://{ADDRESS}:{context.port}").close()
    socket.create_server((ADDRESS, context.port)).close()


@given("a parent that ends before its child asks to end with it")
def step(context):
    command = [sys.executable, "-c", PARENT]
    context.parent = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.parent.wait()


@then("the child ends within {seconds:d} s")
def step(context, seconds):
    # The child holds the pipe open for as long as it runs.
    ended, _, _ = select.select([context.parent.stdout], [], [], seconds)
    context.parent.stdout.close()
    assert ended, "the child goes on without its parent"
