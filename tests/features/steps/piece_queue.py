"""Steps on the queue of a stage service, without a process."""

import math
from dataclasses import replace

from behave import given, then, when

from boragestream.document.calls import Piece, PieceFault, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.piece_queue import (
    PieceBooking,
    PieceOrder,
    QueuedOrder,
    ServerRoom,
    choose_batch,
    expected_wait,
    is_abandoned,
    is_admitted,
)
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import ServiceQueue
from tests.standins.limited_stage import LimitedStage

RESULT_BYTES = 10.0
SERVER = Server("s", "service", "10.0.0.1:80", "hall", "s")


def order(name, count=1, priority=0, invested=False, near=""):
    """Return an order with a number of pieces."""
    pieces = tuple(Piece(name, 0, n, f"key-{name}", ()) for n in range(count))
    return PieceOrder(name, "service", pieces, RESULT_BYTES, priority, invested, near)


def queued(made, start_by):
    """Return an order in the queue."""
    return QueuedOrder(made, start_by, start_by + 10, list(made.pieces))


@given("stage servers with a batch of {batch:d} and room for {room:d} results")
def step(context, batch, room):
    context.limits = PieceLimits(1, batch, 0.2, 0.01, 1.0, 4.0)
    context.room = room * RESULT_BYTES
    context.free_at = {}


@given('the orders "{orders}" wait, each with its pieces and latest start')
def step(context, orders):
    context.queue = []
    for text in orders.split(", "):
        name, count, start_by, *priority = text.split()
        made = order(name, int(count), int(priority[0]) if priority else 0)
        context.queue.append(queued(made, float(start_by)))


@then('the next batch at {now:d} is "{chosen}"')
def step(context, now, chosen):
    room = ServerRoom(context.room)
    batch = choose_batch(context.queue, context.limits, room, float(now))
    found = [f"{q.order.order_id} {len(pieces)}" for q, pieces in batch]
    assert (", ".join(found) or "nothing") == chosen, found


@given('an order that reads in "{centre}" and must start by {start_by:g}')
def step(context, centre, start_by):
    context.queue = [queued(order("a", near=centre), start_by)]


@given('a server in "{centre}" is free at {free_at}')
def step(context, centre, free_at):
    if free_at != "never":
        context.free_at[centre] = float(free_at)


@then('a server in "{centre}" takes it at {now:g}: {taken}')
def step(context, centre, now, taken):
    room = ServerRoom(context.room, centre, context.free_at)
    batch = choose_batch(context.queue, context.limits, room, now)
    assert bool(batch) is (taken == "yes"), batch


@then(
    "an order of priority {priority:d} with {left:g} s left and a wait of {wait:g} s "
    "is {verdict}"
)
def step(context, priority, left, wait, verdict):
    admitted = is_admitted(order("a", priority=priority), wait, left)
    assert admitted is (verdict == "taken")


@then(
    "an order that must start by {start_by:g} with {made:d} of 2 pieces made and "
    "{earlier} is {verdict} at {now:g}"
)
def step(context, start_by, made, earlier, verdict, now):
    waiting = queued(order("a", 2, invested=earlier == "earlier results"), start_by)
    del waiting.left[:made]
    assert is_abandoned(waiting, now) is (verdict == "given up")


@then(
    "an order with earlier results, {left:g} s left and a wait of {wait:g} s is taken"
)
def step(context, left, wait):
    assert is_admitted(order("a", priority=2, invested=True), wait, left)


@given('a queue with the order "{name}" of {count:d} pieces and one server')
def step(context, name, count):
    context.limits = replace(context.limits, memory_mb=context.room / 1e6)
    context.service_queue = ServiceQueue()
    context.server = SERVER
    waiting = queued(order(name, count), 200.0)
    context.service_queue.submit(waiting, context.limits, [context.server], 100.0)


def batches(context, now):
    """Return the next batches for the server."""
    queue = context.service_queue
    return queue.next_batches(context.limits, [context.server], now)


@when("the server answers that there is no room for them")
def step(context):
    (batch,) = batches(context, 100.0)
    results = [PieceResult("", PieceFault.NO_ROOM)] * len(batch.pieces)
    context.service_queue.end(batch, results, True, 100.1)
    for waiting, piece in batch.pieces:
        context.service_queue.requeue(waiting.order.order_id, piece)


@then("the pieces wait, and the server gets none of them at once")
def step(context):
    assert batches(context, 100.1) == []


@then("it gets them once what takes its room has had time to go")
def step(context):
    (batch,) = batches(context, 101.0)
    assert len(batch.pieces) == 2


@then("with a free server an order waits 0 s")
def step(context):
    context.limits = PieceLimits(1, 4, 0.2, 0.05, 1.0, 4.0)
    assert expected_wait(0, 1, 2, context.limits) == 0


@then(
    "behind {ahead:d} pieces at {servers:d} busy servers with a batch of 4 it waits "
    "three calls of two"
)
def step(context, ahead, servers):
    call = 0.2 + 4 * 0.05
    found = expected_wait(ahead, 0, servers, context.limits)
    assert math.isclose(found, call * 3 / 2), found


@then("without a server it waits for ever")
def step(context):
    assert expected_wait(0, 0, 0, context.limits) == math.inf


@given(
    "a queue of one server in which chains book {count:d} pieces each for {left:g} s "
    "from now"
)
def step(context, count, left):
    context.service_queue = ServiceQueue()
    context.now, context.count, context.left = 100.0, count, left
    context.chains = 0


def book(context, priority=0, more=0.0):
    """Book the next chain; return the wait with which it is refused."""
    context.chains += 1
    booking = PieceBooking(
        f"chain-{context.chains}",
        "service",
        f"request-{context.chains}",
        f"key-{context.chains}",
        context.count,
        priority,
    )
    start_by = 100.0 + context.left + more
    return context.service_queue.book(
        booking, start_by, start_by + 9.0, context.limits, [SERVER], context.now
    )


@then(
    "the first {taken:d} chains are booked and the next is refused with a wait of "
    "{wait:g} s"
)
def step(context, taken, wait):
    assert [book(context) for _ in range(taken)] == [None] * taken
    assert math.isclose(book(context), wait)


@then("a chain of priority {priority:d} that must start by then is refused as well")
def step(context, priority):
    assert book(context, priority) is not None


@then("one that has {more:g} s more is booked")
def step(context, more):
    assert book(context, more=more) is None


@when("{count:d} chains are booked")
def step(context, count):
    assert [book(context) for _ in range(count)] == [None] * count


def submit(context, name, left, priority=0, invested=False):
    """Submit an order of one piece, or the whole order of a chain."""
    made = order(name, context.count if invested else 1, priority, invested)
    return context.service_queue.submit(
        queued(made, context.now + left), context.limits, [SERVER], context.now
    )


@then("an order that must start by {left:g} s later is taken")
def step(context, left):
    assert submit(context, "early", left) is None


@then("one of priority {priority:d} that must start by {left:g} s later is refused")
def step(context, priority, left):
    assert submit(context, "late", left, priority) is not None


@when("the order of the first chain comes")
def step(context):
    assert submit(context, "chain-1", context.left, invested=True) is None
    assert list(context.service_queue.orders) == ["chain-1"]


@then("no other chain is booked")
def step(context):
    assert book(context) is not None


@when("the second chain is given up")
def step(context):
    context.service_queue.drop("chain-2")


@then("one other chain is booked")
def step(context):
    assert book(context) is None
    assert book(context) is not None


@when("the time of the bookings is over")
def step(context):
    context.now += context.left + 1.0
    context.service_queue.drop_expired(context.now)
    context.left += 2.0


@then("three other chains are booked, ahead of the order that is late by now")
def step(context):
    assert context.service_queue.orders["chain-1"].start_by < context.now
    assert [book(context) for _ in range(3)] == [None] * 3
    assert book(context) is not None


@given("a queue whose only server takes {calls:g} calls a second")
def step(context, calls):
    context.stage = LimitedStage(calls)


@when("{chains:g} chains of two stages a second come to it for {seconds:g} s")
def step(context, chains, seconds):
    context.stage.play(chains, seconds)


@then("at least {least:d} are accepted, and their last stages begin in time")
def step(context, least):
    chains = context.stage.chains.values()
    assert len(chains) >= least, len(chains)
    late = [chain for chain in chains if not chain.in_time]
    assert not late, late


@given("a queue of one idle server")
def step(context):
    context.service_queue, context.now = ServiceQueue(), 100.0


@when("a borrowed chain books its second stage")
def step(context):
    booking = PieceBooking("chain/1", "service", "chain", "", 1, 0, borrowed=True)
    wait = context.service_queue.book(
        booking, context.now + 0.1, context.now + 9, context.limits, [SERVER], 100.0
    )
    assert wait is None, wait


def submit_borrowed(context, name, late):
    """Submit the first order of a borrowed chain that is late."""
    made = replace(order(name), borrowed=True)
    return context.service_queue.submit(
        queued(made, context.now - late), context.limits, [SERVER], context.now
    )


@then("its first order is accepted, even if it is {late:g} s late")
def step(context, late):
    wait = submit_borrowed(context, "chain", late)
    assert wait is None, wait


@then("the first order of another one is not, if it is {late:g} s late")
def step(context, late):
    assert submit_borrowed(context, "other", late) is not None
