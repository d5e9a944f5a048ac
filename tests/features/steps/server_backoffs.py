"""Steps on servers that stated a back-off, and on servers that have crashed."""

import contextlib
import random
import socket
from dataclasses import replace

from behave import given, then, when

from boragestream.backend.connections import ConnectionKeeper
from boragestream.daemon.reach import other_servers
from boragestream.policy.server_backoffs import ServerBackoffs, parse_backoff
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.request_guard import has_crashed
from tests.standins.clock import SetClock

ADDRESS = "127.0.0.1"
# Exceeds the connections that a listener without a backlog accepts.
PENDING = 8


def server(name):
    """Return a server of the service, by its name."""
    return Server(name, "service", f"{name}:80", "hall", "1")


@given("an entry that calls servers")
def step(context):
    context.clock = SetClock()
    context.backoffs = ServerBackoffs(context.clock)
    context.backed_off = set()


@when('the server "{name}" asks for {first:g} s, and after {gap:g} s for {second:g} s')
def step(context, name, first, gap, second):
    context.server = server(name)
    context.backed_off.add(context.server)
    context.backoffs.note(context.server, first)
    context.clock.seconds += gap
    context.backoffs.note(context.server, second)


@then("after {seconds:g} s more it is left alone")
def step(context, seconds):
    context.clock.seconds += seconds
    assert not context.backoffs.takes_calls(context.server)


@then("after {seconds:g} s more it is called")
def step(context, seconds):
    context.clock.seconds += seconds
    assert context.backoffs.takes_calls(context.server)


@then('the server "{name}" is called')
def step(context, name):
    assert context.backoffs.takes_calls(server(name))


@then('a new life of the server "{name}" is called')
def step(context, name):
    assert context.backoffs.takes_calls(replace(server(name), incarnation="2"))


@then("the first of them is called after {seconds:g} s")
def step(context, seconds):
    servers = list(context.backed_off)
    assert not context.backoffs.usable(servers)
    assert context.backoffs.seconds_left(servers) == seconds


@then('the backoff "{text}" is {seconds}')
def step(context, text, seconds):
    expected = None if seconds == "none" else float(seconds)
    assert parse_backoff(text) == expected


def refusing_host():
    """Return the address of a server that refuses connections."""
    with socket.create_server((ADDRESS, 0)) as listener:
        return f"{ADDRESS}:{listener.getsockname()[1]}"


def accepting_host(context):
    """Return the address of a server that accepts connections."""
    listener = socket.create_server((ADDRESS, 0))
    context.add_cleanup(listener.close)
    return f"{ADDRESS}:{listener.getsockname()[1]}"


def hanging_host(context):
    """Return the address of a server that answers no connection."""
    listener = socket.create_server((ADDRESS, 0), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(PENDING):
        pending = socket.socket()
        context.add_cleanup(pending.close)
        pending.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            pending.connect(listener.getsockname())
    return f"{ADDRESS}:{listener.getsockname()[1]}"


@given("a server that refuses connections")
def step(context):
    context.host = refusing_host()


@given("a server that takes connections")
def step(context):
    context.host = accepting_host(context)


@given("a server that leaves connections without a word")
def step(context):
    context.host = hanging_host(context)


@then(
    "beside {count:d} others, of which {refusing:d} refuse as well, "
    "it {verdict} crashed"
)
def step(context, count, refusing, verdict):
    hosts = [context.host] * refusing
    hosts += [accepting_host(context) for _ in range(count - refusing)]
    assert_crashed(context, hosts, verdict)


def assert_crashed(context, hosts, verdict):
    """Check whether a server counts as crashed beside others at some addresses."""
    others = [replace(server(f"o-{n}"), host=host) for n, host in enumerate(hosts)]
    suspect = replace(server("a"), host=context.host)
    crashed = has_crashed(ConnectionKeeper(), suspect, lambda s: others)
    assert crashed is (verdict == "has")


@then('beside others that "{others}" it {verdict} crashed')
def step(context, others, verdict):
    hosts = {
        "accept": lambda: accepting_host(context),
        "hang": lambda: hanging_host(context),
        "refuse": refusing_host,
    }
    assert_crashed(context, [hosts[each]() for each in others.split(", ")], verdict)


@given("{count:d} servers in each of {centres:d} data centres")
def step(context, count, centres):
    context.servers = ServerTable()
    context.listed = [
        replace(server(f"s-{centre}-{n}"), data_centre=f"hall-{centre}")
        for centre in range(centres)
        for n in range(count)
    ]
    context.servers.take_list(context.listed)


@then("each is compared with servers of both data centres")
def step(context):
    others = other_servers(context.servers, random.Random(1))
    for listed in context.listed:
        compared = others(listed)
        assert listed not in compared
        assert len({each.data_centre for each in compared}) == 2, compared


@then("it {verdict} crashed")
def step(context, verdict):
    crashed = has_crashed(ConnectionKeeper(), replace(server("a"), host=context.host))
    assert crashed is (verdict == "has")
