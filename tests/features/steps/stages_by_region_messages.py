"""Steps on the messages about orders between entries of two regions."""

import msgspec
from behave import then, when

from boragestream.entry.piece_messages import PiecesBook, PiecesCancel, PiecesOrder
from boragestream.policy.queue_owners import owner_ranking
from boragestream.policy.region_links import TrafficKind
from tests.standins.stage_network import (
    REGIONS,
    ROUND_TRIP_SECONDS,
    SERVICES,
)

# The fields of the messages in the release before the queues by region.
ORDER_FIELDS = """
    type order_id service request_id stage numbers key inputs result_bytes priority
    invested start_ms left_ms near regions fingerprint lead_ms waited_ms
"""
BOOK_FIELDS = """
    type order_id service request_id key count priority start_ms left_ms regions lead_ms
    waited_ms
"""
PREVIOUS_FIELDS = {
    PiecesOrder: set(ORDER_FIELDS.split()),
    PiecesBook: set(BOOK_FIELDS.split()),
    PiecesCancel: {"type", "service", "order_id"},
}


@when("an entry of the previous release orders {count:d} pieces")
def step(context, count):
    network = context.network
    sender, receiver = network.entry("valley"), network.entry("hills")
    for number in range(count):
        message = PiecesOrder(
            order_id=f"old-{number}",
            service=SERVICES[0],
            request_id=f"old-{number}",
            stage=0,
            numbers=(0,),
            key="",
            inputs=(),
            result_bytes=1000.0,
            priority=0,
            invested=False,
            start_ms=1000,
            left_ms=5000,
        )
        receiver.calls.held = number < count - 1
        reply = network.deliver(sender.name, receiver.name, message, 0.3)
        assert reply.taken, reply
    receiver.calls.run()


def asked(network, region):
    """Return the order ids of orders and bookings that a region's entries were sent."""
    return [
        message.order_id
        for _, receiver, message in network.sent
        if isinstance(message, PiecesOrder | PiecesBook)
        and network.region_of(receiver) == region
    ]


@then('"{region}" was first asked for the same orders')
def step(context, region):
    network = context.network
    kinds = (PiecesOrder, PiecesBook)
    first = next(sent for sent in network.sent if isinstance(sent[2], kinds))
    assert network.region_of(first[1]) == region, first
    assert set(asked(network, region)) <= set(asked(network, "hills"))


@then("its orders there had two round trips less time")
def step(context):
    orders = [
        (context.network.region_of(receiver), message)
        for sender, receiver, message in context.network.sent
        if isinstance(message, PiecesOrder) and sender == context.entry.name
    ]
    own = next(message for region, message in orders if region == "valley")
    there = next(message for region, message in orders if region == "hills")
    assert own.order_id == there.order_id, orders
    # In whole milliseconds, each of them rounded down.
    less = own.start_ms - there.start_ms
    assert abs(less - 2000 * ROUND_TRIP_SECONDS) <= 1, less


@then('the first stage was ordered near "{own}" there and near no data centre here')
def step(context, own):
    near = {
        message.region: message.near
        for _, _, message in context.network.sent
        if isinstance(message, PiecesOrder) and not message.invested
    }
    assert near == {"valley": own, "hills": ""}, near


@then('the bytes of its orders were counted as sent to "{region}"')
def step(context, region):
    counted = context.entry.view.bytes
    assert set(counted) == {(region, TrafficKind.ORDER)}, counted
    network, name = context.network, context.entry.name
    sent = [m for s, _, m in network.crossed() if s == name]
    answers = [
        answer
        for asking, owner, answer in network.answers
        if asking == name and network.region_of(owner) == region
    ]
    size = sum(len(msgspec.msgpack.encode(m)) for m in [*sent, *answers])
    assert counted[region, TrafficKind.ORDER] == size, (counted, size)


@then("the offer was sent to one entry and cancelled there")
def step(context):
    network = context.network
    crossed = network.crossed()
    offers = {receiver for _, receiver, m in crossed if not is_cancel(m)}
    cancels = {receiver for _, receiver, m in crossed if is_cancel(m)}
    assert len(offers) == 1, crossed
    assert cancels == offers, crossed
    assert all(message.region == "hills" for _, _, message in crossed)


def is_cancel(message):
    """Return whether a message cancels an order."""
    return isinstance(message, PiecesCancel)


@then('no order or booking of it was sent to an entry of "{region}"')
def step(context, region):
    assert not asked(context.network, region), context.network.sent


@then("all orders of a service went to the first in rank for its name")
def step(context):
    network = context.network
    names = [listed.name for listed in network.listed]
    orders = [s for s in network.sent if isinstance(s[2], PiecesOrder | PiecesBook)]
    assert orders
    for _, receiver, message in orders:
        assert receiver == owner_ranking(message.service, names)[0], message


@then("each message has only the fields of the previous release")
def step(context):
    kinds = set()
    for _, _, message in context.network.sent:
        fields = PREVIOUS_FIELDS.get(type(message))
        if fields is None:
            continue
        kinds.add(type(message))
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        assert set(sent) <= fields, sent
    assert {PiecesOrder, PiecesBook} <= kinds, kinds


@then("servers of both regions make them")
def step(context):
    network = context.network
    assert len(network.made) == 40, len(network.made)
    assert {server.region for server in network.made_at.values()} == set(
        REGIONS.values()
    )
