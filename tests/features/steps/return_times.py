"""Steps on the return of callers that a stage's queue has refused."""

import math
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from boragestream.base.route_settings import (
    AccountSettings,
    LateSettings,
    PlatformSettings,
)
from boragestream.daemon.late_parts import plans_returns
from boragestream.document.calls import Piece
from boragestream.entry.piece_messages import PiecesAnswer
from boragestream.policy.late_service import serve_until_deadline
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.return_times import RefusedOrder, ReturnTime, ReturnTimes
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import ServiceQueue
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.piece_failures import StageSaturated, preferred_refusal
from boragestream.serving.piece_refusals import answer_refusal, wait_answer
from tests.features.steps.late_service import LIMITS, shares, unserved

CAPACITY = 100.0
NOW = 1000.0


@when("refused callers are told the expected wait, and when to return")
def step(context):
    context.unplanned, context.planned = shares(context), shares(context, planned=True)


@when("returns are planned, and last attempts are kept until their deadline")
def step(context):
    context.planned = shares(context, serve_until_deadline, planned=True)


@then(
    "planned returns lose at most {share:g} of the callers with 20 s that expected "
    "waits lose"
)
def step(context, share):
    lost, before = unserved(context.planned), unserved(context.unplanned)
    assert lost <= share * before, (lost, before)


@then(
    "in time are served at most {fewer:g} fewer of each kind where returns are planned"
)
def step(context, fewer):
    for name, (in_time, _) in context.planned.items():
        before = context.unplanned[name][0]
        assert in_time >= before - fewer, (name, before, in_time)


@then("at most {most:g} of the callers with 20 s are never served")
def step(context, most):
    assert unserved(context.planned) <= most, context.planned


@given("a queue that has been asked for {demand:g} pieces a second for {seconds:g} s")
def step(context, demand, seconds):
    context.returns = ReturnTimes()
    for tenth in range(int(seconds * 10), 0, -1):
        context.returns.record(int(demand / 10), NOW - tenth / 10 + 0.05)


@given("refused callers with {due:d} pieces that are due to return")
def step(context, due):
    if due:
        refused = RefusedOrder(due, 5.0, NOW + 60, returning=False)
        context.returns.plan(refused, CAPACITY, NOW)
        # One that has returned counts no more.
        gone = RefusedOrder(due, 0.0, NOW - 1, returning=False)
        context.returns.plan(gone, CAPACITY, NOW - 2)


@when("a caller that was refused before is refused with {count:d} pieces")
def step(context, count):
    refused = RefusedOrder(count, 0.5, NOW + 20, returning=True)
    context.returns.plan(refused, CAPACITY, NOW)


@when(
    "a caller with {left:g} s left and an expected wait of {wait:g} s is refused by "
    "servers that do 100 a second"
)
def step(context, left, wait):
    refused = RefusedOrder(6, wait, NOW + left, returning=False)
    context.told = context.returns.plan(refused, CAPACITY, NOW)


@then('it is told to return after "{told}"')
def step(context, told):
    if told == "the own wait":
        assert context.told is None, context.told
        return
    seconds = context.told.wait_seconds
    assert math.isclose(seconds, float(told), abs_tol=1e-6), seconds


def queued(key, number, count, borrowed=False):
    """Return an order that can't wait."""
    request_id = f"{key}/{number}"
    pieces = tuple(Piece(request_id, 0, n, key, ()) for n in range(count))
    order = PieceOrder(
        request_id,
        "service",
        pieces,
        1000.0,
        0,
        invested=False,
        region="hills",
        borrowed=borrowed,
    )
    return QueuedOrder(order, NOW + 0.1, NOW + 20, list(pieces))


class CountedReturns(ReturnTimes):
    """Counts the demand that is recorded."""

    counted = 0

    def record(self, count, now):
        """Count pieces."""
        self.counted += count


@given("a queue of one server with a long wait that plans returns")
def step(context):
    context.returns = CountedReturns()
    context.queue = ServiceQueue(returns=context.returns)
    context.usable = [Server("s", "service", "10.0.0.1:80", "hall", "s")]
    ahead = queued("ahead", 1, 1000)
    ahead.start_by = NOW + 0.05
    assert context.queue.submit(ahead, LIMITS, context.usable, NOW - 60) is None
    context.returns.counted = 0


@when(
    "it refuses a first attempt, its second one and a borrowed one, of 10 pieces each"
)
def step(context):
    orders = queued("a", 1, 10), queued("a", 2, 10), queued("b", 1, 10, borrowed=True)
    context.refusals = [
        context.queue.submit(order, LIMITS, context.usable, NOW + turn / 100)
        for turn, order in enumerate(orders)
    ]
    assert None not in context.refusals, context.refusals


@then("the queue has counted {count:d} pieces of demand")
def step(context, count):
    assert context.returns.counted == count, context.returns.counted


@then("the borrowed one is told the expected wait")
def step(context):
    assert isinstance(context.refusals[-1], float), context.refusals


@given("an owner that refuses a booking until {seconds:g} s from now")
def step(context, seconds):
    context.answer = wait_answer(ReturnTime(seconds))


@when("the entry reads its answer and refuses the request")
def step(context):
    encoded = msgspec.msgpack.encode(context.answer)
    answer = msgspec.msgpack.decode(encoded, type=PiecesAnswer)
    context.failure = answer_refusal("service", "", answer)


def retry_after(failure):
    """Return the Retry-After of a request that was sent nowhere."""
    run = SimpleNamespace(sent=SimpleNamespace(may_have_run=False))
    return outcome_of(run, failure).retry_after


@then("the request's Retry-After is {seconds:g} s")
def step(context, seconds):
    assert math.isclose(retry_after(context.failure), seconds)


@then("an answer without a plan gives one of {seconds:g} s at most")
def step(context, seconds):
    assert retry_after(answer_refusal("service", "", wait_answer(6.4))) == seconds


def refusal(text):
    """Return the refusal that a row describes."""
    kind, wait_ms = text.split()
    return StageSaturated("service", int(wait_ms), planned=kind == "planned")


@then(
    "of a refusal {own} and one of the other region {other}, the caller is told "
    '"{told:d}"'
)
def step(context, own, other, told):
    assert preferred_refusal(refusal(own), refusal(other)).wait_ms == told


@then(
    'with {regions:d} regions, contracts "{contracts}" and planned_returns {setting}, '
    "returns are {planned}"
)
def step(context, regions, contracts, setting, planned):
    values = {"absent": None, "true": True, "false": False}
    settings = SimpleNamespace(
        entry=SimpleNamespace(data_centre="hall-0"),
        regions={f"hall-{n}": f"region-{n}" for n in range(regions)},
        platform=PlatformSettings(tuple(contracts.split(","))),
        accounts=AccountSettings(),
        late=LateSettings(planned_returns=values[setting]),
    )
    assert plans_returns(settings) == (planned == "planned")
