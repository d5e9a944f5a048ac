"""Steps that check the record of the calls sent for a request."""

from behave import given, then, when

from boragestream.base.failures import NoLiveServer
from boragestream.serving.request import RequestRecord, SentRecord


@given("a request for which nothing was sent")
def step(context):
    context.sent = SentRecord()


@given("a request for which {attempt} was sent as {kind}")
def step(context, attempt, kind):
    context.sent = getattr(context, "sent", None) or SentRecord()
    context.sent.note_sending(attempt, kind == "repeatable")


@when("the server says that it did not run {attempt}")
def step(context, attempt):
    context.sent.note_not_run(attempt)


@then('a failure of the request ends as "{outcome}"')
def step(context, outcome):
    request = RequestRecord("r-1", *[None] * 5, context.sent, None)
    ended = request.outcome_of(NoLiveServer("member-ledger"), 1.0)
    assert type(ended).__name__.lower() == outcome, ended
