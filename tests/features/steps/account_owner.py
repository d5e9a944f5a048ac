"""Steps on the owner of a stage's queue that divides it between client accounts."""

import heapq
import itertools
import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import PieceResult
from boragestream.entry.piece_messages import PiecesOrder
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.queue_owners import StageQueue
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.servers import Server
from boragestream.policy.stage_servers import Batch
from boragestream.serving.batch_records import BegunCall
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_orders import PieceOrders
from tests.standins.account_kinds import LIMITS, PIECES
from tests.standins.clock import SetClock
from tests.standins.queue_parts import queue_parts


@given("the owner of a queue with shares")
def step(context):
    context.clock = SetClock()
    context.servers = [
        Server(f"s-{n}", "service", f"10.0.0.{n}:80", "hall", "1") for n in range(3)
    ]
    parts = queue_parts(
        context.clock,
        SimpleNamespace(live=lambda service: context.servers, all=context.servers),
        ColdServers(
            "own", lambda service: None, lambda server: [], bool, context.clock
        ),
        LIMITS,
        metrics=RouteMetrics(),
        shares=QueueShares,
    )
    context.batches = PieceBatches(parts, lambda order_id, results: None)
    # Calls are made by the test, each at the end of its usual time.
    context.submitted = []
    context.batches._calls = SimpleNamespace(
        submit=lambda work, *arguments: context.submitted.append(arguments),
        takes_releases=lambda server: True,
        release=None,
        check_overdue_calls=lambda: None,
    )


@when(
    'accounts use {load:g} of it for {calm:g} s, and then account "{account}" sends '
    "{factor:g} times as many for {surge:g} s"
)
def step(context, load, calm, account, factor, surge):
    rng, numbers = random.Random(1), itertools.count()
    owners = SimpleNamespace(own="owner")
    orders = PieceOrders(owners, context.clock)
    orders.set_batches(context.batches)
    context.answers = {}
    began, ending = context.clock.seconds, []
    call = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
    rate = load * len(context.servers) * LIMITS.batch / call / PIECES / 4
    rates = {name: rate for name in "abcd"}
    moments = sorted(
        (began + start + rng.random() * seconds, name)
        for name in rates
        for start, seconds, times in (
            (0, calm, 1.0),
            (calm, surge, factor if name == account else 1.0),
        )
        for _ in range(int(rates[name] * seconds * times))
    )
    for now, name in moments:
        while ending and ending[0][0] <= now:
            context.clock.seconds, _, batch = heapq.heappop(ending)
            results = [PieceResult(f"h{next(numbers)}", None, "") for _ in batch.pieces]
            call = BegunCall(batch, 0.0, 0, [], None)
            context.batches._end_batch(StageQueue("service"), call, results)
            context.batches.release([result.handle for result in results])
            context.batches._send_batches(StageQueue("service"))
            start_calls(context, ending, numbers)
        context.clock.seconds = now
        order_id = f"{name}/{next(numbers)}"
        message = PiecesOrder(
            order_id=order_id,
            service="service",
            request_id=order_id,
            stage=0,
            numbers=tuple(range(PIECES)),
            key=order_id,
            inputs=(),
            result_bytes=10.0,
            priority=0,
            invested=False,
            start_ms=900,
            left_ms=6000,
            account=name,
        )
        envelope = SimpleNamespace(sender="other")
        answer = orders.answer_order(envelope, message)
        context.answers.setdefault(name, []).append((order_id, answer))
        start_calls(context, ending, numbers)


def start_calls(context, ending, numbers):
    """Let each call that was submitted end after its usual time."""
    while context.submitted:
        arguments = context.submitted.pop(0)
        # Releases of results have other arguments than calls.
        batch = arguments[-1]
        if not isinstance(batch, Batch):
            continue
        end = context.clock.seconds + batch.seconds
        heapq.heappush(ending, (end, next(numbers), batch))


@then('other entries are told which orders of "{account}" are over its share')
def step(context, account):
    over = [a for _, a in context.answers[account] if a.over_share]
    assert len(over) > 50, len(over)
    assert all(not answer.taken and 0 <= answer.wait_ms <= 5000 for answer in over)


@then("no order of the others is refused")
def step(context):
    for name in "bcd":
        assert all(answer.taken for _, answer in context.answers[name]), name


@then("no piece of a refused order is in the queue")
def step(context):
    for _, answers in context.answers.items():
        for order_id, answer in answers:
            assert answer.taken or not context.batches.has_order(order_id)
