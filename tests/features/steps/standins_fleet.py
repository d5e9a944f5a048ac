"""Steps on the ports of fleets."""

import socket

import pynng
from behave import given, then

from tests.standins.fleet import ADDRESS, reserve_ports


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
