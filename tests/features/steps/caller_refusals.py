"""Steps in which callers are refused before admission."""

import json
import random

from behave import then, when

from boragestream.base.failures import EntryLeaving, NoConfiguration
from boragestream.caller.refusals import Refusals
from boragestream.document import check_document
from boragestream.policy.admission import Admission
from boragestream.policy.tickets import TicketsExhausted
from tests.standins.clock import SetClock
from tests.standins.sites import example_document

FAILURES = {
    "NoConfiguration": NoConfiguration(),
    "EntryLeaving": EntryLeaving(),
    "TicketsExhausted": TicketsExhausted("tickets"),
}


def refusals():
    """Return the ``Refusals`` of an idle entry."""
    return Refusals(Admission(8, SetClock(), random.Random(1)))


@when("{count:d} callers are refused for {name} before admission")
def step(context, count, name):
    refuse = refusals().reply
    replies = [refuse(lambda *_: None, "r", FAILURES[name]) for _ in range(count)]
    reports = [json.loads(b"".join(reply)) for reply in replies]
    context.seconds = [report["retry_after_ms"] / 1000 for report in reports]


@when("{count:d} requests for one pipeline find no thread")
def step(context, count):
    document, _ = check_document(example_document("cooperative"))
    full = refusals().full
    refused = [full(8, document.pipelines[0]) for _ in range(count)]
    context.seconds = [outcome.retry_after for outcome in refused]


@then("each is told when to come back, and their times are spread")
def step(context):
    assert all(seconds > 0 for seconds in context.seconds), context.seconds
    # Two times in whole milliseconds can be equal by chance.
    assert len(set(context.seconds)) > len(context.seconds) / 2, context.seconds
    assert max(context.seconds) > 1.2 * min(context.seconds), context.seconds
