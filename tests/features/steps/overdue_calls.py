"""Steps on calls of stage servers whose answers were lost."""

from behave import given, then, when

from boragestream.document.calls import StageReport
from boragestream.policy.overdue_calls import answer_is_lost, query_delay_seconds

STAGED = {
    "Pieces": "2,3",
    "Piece-Key": "key-1",
    "Model": "m",
    "Token-Counts": "100,20",
    "Prompt-Prefix": "5c1e07a2:80,91bd3f06:20",
}


@then("a call of {usual:g} s is asked about after {after:g} s")
def step(context, usual, after):
    assert abs(query_delay_seconds(usual) - after) < 1e-9


@then('a report of {queued:d} calls queued and "{work}" says that the answer is {fate}')
def step(context, queued, work, fate):
    report = StageReport(queued, work == "working")
    assert answer_is_lost(report) is (fate == "lost")


@given("the next answer of a stage server is lost")
def step(context):
    for server in context.site.of_kind("stage"):
        server.piece_fault = "lost"
    context.lost = context.site.of_kind("stage")


@when("a request of two stages is sent")
def step(context):
    context.answer = context.site.call("/staged/ok", **STAGED)


@then("it is answered with success, and the log names the lost answer")
def step(context):
    for server in context.lost:
        server.piece_fault = None
    assert context.answer.status == 200 and context.answer.whole
    assert "AnswerLost" in context.site.log(), context.site.log()[-2000:]
