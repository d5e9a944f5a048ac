"""Steps on the settings of shares, the messages and the refusals of a surplus."""

import itertools
import unittest.mock
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from boragestream.base.events import Event
from boragestream.base.failures import AccountOverShare
from boragestream.base.outcomes import Refused
from boragestream.base.route_metrics import RouteMetrics
from boragestream.base.route_settings import AccountSettings, PlatformSettings
from boragestream.daemon.account_parts import make_account_parts, shares_fairly
from boragestream.entry.piece_messages import PiecesAnswer, PiecesOrder
from boragestream.policy.account_shares import (
    Surplus,
)
from boragestream.policy.stage_regions import StageRegions
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.piece_refusals import (
    answer_refusal,
    wait_answer,
    wait_refusal,
)
from boragestream.serving.stage_run import StageRun
from boragestream.serving.surplus import refuse_surplus
from tests.standins.clock import SetClock


@given('settings with fair shares {setting} and the contracts "{contracts}"')
@given('settings with fair shares {setting} and the contracts ""')
def step(context, setting, contracts=""):
    required = {"absent": None, "true": True, "false": False}[setting]
    context.settings = SimpleNamespace(
        accounts=AccountSettings(required),
        platform=PlatformSettings(tuple(contracts.split())),
    )


@then("shortages are divided between accounts")
def step(context):
    assert shares_fairly(context.settings)


@then("shortages are not divided between accounts")
def step(context):
    assert not shares_fairly(context.settings)
    inactive = make_account_parts(context.settings, "entry", "one", None, SetClock())
    assert inactive.new_queue() is None
    assert inactive.services is None
    assert inactive.threads(100) is None


@then("stages send orders without an account")
def step(context):
    run = SimpleNamespace(
        account="a",
        route=SimpleNamespace(name="route", stages=()),
        request=SimpleNamespace(request_id="r"),
        service="service",
        regions=None,
    )
    stages = SimpleNamespace(
        stage_regions=StageRegions(),
        engine_delays=SimpleNamespace(reserve_seconds=lambda route: 0.0),
        stage_delays=None,
        order_numbers=itertools.count(),
        fair_shares=False,
    )
    assert StageRun(stages, run, "")._account == ""
    stages.fair_shares = True
    assert StageRun(stages, run, "")._account == "a"


@then("orders of the previous release have no account")
def step(context):
    fields = {
        "type": "PiecesOrder",
        **dict.fromkeys(("order_id", "service", "request_id", "key"), "x"),
        **dict.fromkeys(("stage", "priority", "start_ms", "left_ms"), 1),
        **dict.fromkeys(("numbers", "inputs"), ()),
        "result_bytes": 1.0,
        "invested": False,
    }
    packed = msgspec.msgpack.encode(fields)
    order = msgspec.msgpack.decode(packed, type=PiecesOrder)
    assert order.account == ""
    answer = msgspec.msgpack.encode({"type": "PiecesAnswer", "taken": False})
    assert not msgspec.msgpack.decode(answer, type=PiecesAnswer).over_share


@when("a request is refused as surplus with a wait of {wait:d} ms")
def step(context, wait):
    context.metrics, context.events = RouteMetrics(), []
    surplus = Surplus("a7", wait / 1000, 80.0, 10.0, 1.5)
    emitted = unittest.mock.patch(
        "boragestream.serving.surplus.emit",
        lambda event, **details: context.events.append((event, details)),
    )
    with emitted:
        context.failure = refuse_surplus(context.metrics, "service", "r-1", surplus)


@then('it is refused with the code "{code}" and a Retry-After of {seconds:g} s')
def step(context, code, seconds):
    run = SimpleNamespace(sent=SimpleNamespace(may_have_run=False))
    outcome = outcome_of(run, context.failure)
    assert isinstance(context.failure, AccountOverShare)
    assert isinstance(outcome, Refused)
    assert outcome.failure.code == code
    assert outcome.retry_after == seconds, outcome.retry_after
    # The owner of a queue reports the same to the entry that sent the order.
    surplus = Surplus("a7", seconds, 80.0, 10.0, 1.5)
    answer = wait_answer(surplus)
    assert answer_refusal("service", "a7", answer) == context.failure
    assert wait_refusal("service", surplus) == context.failure


@then("the event names the account, its demand, its weight and the level")
def step(context):
    [(event, details)] = context.events
    assert event is Event.SURPLUS_REFUSED
    assert details == {
        "request": "r-1",
        "account": "a7",
        "place": "service",
        "demand": 80.0,
        "weight": 10.0,
        "level": 1.5,
        "wait_ms": 1700,
    }


@then("the metrics name its share and its demand")
def step(context):
    text = context.metrics.text()
    labels = '{account="a7",place="service"}'
    for line in (
        f"boragestream_account_share{labels} 15.0",
        f"boragestream_account_demand{labels} 80.0",
        f"boragestream_account_surplus_refused_total{labels} 1.0",
    ):
        assert line in text, line
