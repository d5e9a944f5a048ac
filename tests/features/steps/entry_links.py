"""Steps that send messages to the peer port of an entry."""

import random
import socket
from concurrent.futures import ThreadPoolExecutor

import pynng
from behave import given, then, when

from boragestream.entry.links import PeerLinks, PeerRejected, PeerUnreachable
from boragestream.entry.messages import Probe, ProbeReply, Sender
from tests.standins.fleet import ADDRESS, PEER_KEY

REPLY_TIMEOUT_SECONDS = 5


@when('a peer of deployment "{deployment}" with the key of the tests probes "{name}"')
@when('a peer of deployment "{deployment}" with the key "{key}" probes "{name}"')
def step(context, deployment, name, key=PEER_KEY):
    """Send a probe and store the answer in the context."""
    links = PeerLinks(Sender(deployment, "entry-9", "9", key.encode()))
    address = f"{ADDRESS}:{context.fleet.entries[name].extra['peer_port']}"
    context.answer = links.ask(address, Probe(), REPLY_TIMEOUT_SECONDS)
    links.close()


@when('{count:d} bytes of garbage are sent to the peer port of "{name}"')
def step(context, count, name):
    port = context.fleet.entries[name].extra["peer_port"]
    with socket.create_connection((ADDRESS, port)) as sock:
        sock.sendall(random.Random(count).randbytes(count))


@then("it is told the version in force")
def step(context):
    assert context.answer == ProbeReply(1), context.answer


@then("it is rejected")
def step(context):
    # The refusal is sealed with the entry's key, so a peer without that key can't read
    # it and gets no ``PeerRejected``.
    refused = not isinstance(context.answer, ProbeReply)
    assert refused, context.answer
    assert not isinstance(context.answer, PeerRejected), context.answer


@when("a peer is asked that accepts connections and stays silent")
def step(context):
    with socket.create_server((ADDRESS, 0)) as silent:
        links = PeerLinks(Sender("cooperative", "entry-9", "9", PEER_KEY.encode()))
        address = f"{ADDRESS}:{silent.getsockname()[1]}"
        with ThreadPoolExecutor(1) as pool:
            reply = pool.submit(links.ask, address, Probe(), 0.2)
            context.answer = reply.result(REPLY_TIMEOUT_SECONDS)
        links.close()


@then('the question ends as "{code}"')
def step(context, code):
    assert context.answer.code == code, context.answer


@given("a peer that only takes connections and answers nothing")
def step(context):
    listener = socket.create_server((ADDRESS, 0))
    context.add_cleanup(listener.close)
    context.silent = f"{ADDRESS}:{listener.getsockname()[1]}"


@given("a peer that hears messages and answers nothing")
def step(context):
    peer = pynng.Rep0(listen=f"tcp://{ADDRESS}:0")
    context.add_cleanup(peer.close)
    context.silent = str(peer.listeners[0].local_address)


@when("it is probed twice from one link")
def step(context):
    links = PeerLinks(Sender("cooperative", "entry-9", "9", PEER_KEY.encode()))
    pool = ThreadPoolExecutor(2)
    # Closing the links ends a request that would otherwise never return.
    context.add_cleanup(links.close)
    context.replies = [
        pool.submit(links.ask, context.silent, Probe(), seconds)
        for seconds in (0.2, 0.4)
    ]


@then("both questions end as unreachable")
def step(context):
    answers = [reply.result(REPLY_TIMEOUT_SECONDS) for reply in context.replies]
    assert [type(a) for a in answers] == [PeerUnreachable] * 2, answers
