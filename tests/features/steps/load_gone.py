"""Steps on measured times and service windows during and after an overload."""

from dataclasses import replace

from behave import given, then, when

from boragestream.document import check_document
from boragestream.policy.admitted import Admitted, Candidate
from boragestream.policy.service_windows import ServiceWindows
from boragestream.policy.stage_times import StageTimes
from boragestream.policy.times import RecentTimes
from tests.standins.clock import SetClock
from tests.standins.sites import example_document

KIND = "caption.write"


@given("{count:d} calls of {seconds:g} seconds")
def step(context, count, seconds):
    context.clock = SetClock(50.0)
    context.times = RecentTimes(context.clock)
    for _ in range(count):
        context.times.add(KIND, seconds)


@when("{passed:g} seconds pass and {count:d} calls take {seconds:g} seconds")
def step(context, passed, count, seconds):
    context.clock.seconds += passed
    for _ in range(count):
        context.times.add(KIND, seconds)


@then("the usual time of a call is {seconds:g} seconds")
def step(context, seconds):
    assert context.times.quantile(KIND, 0.5) == seconds


@given("a request that is under way with {left:g} seconds left")
def step(context, left):
    begin_request(context, left, without=())


@given("a request without admission that is under way with {left:g} seconds left")
def step(context, left):
    begin_request(context, left, without=("admission",))


def begin_request(context, left, without):
    """Begin a request whose stages report to the windows of the scenario."""
    document, _ = check_document(example_document("cooperative"))
    context.clock = SetClock(50.0)
    now = context.clock.now
    deadline = now() + left
    candidate = Candidate(
        document.client_accounts[0],
        document.pipelines[0],
        deadline,
        replace(document.policies, without=without),
    )
    context.times = StageTimes()
    context.windows = ServiceWindows(context.times)
    context.request = Admitted(
        candidate,
        now(),
        now,
        lambda admitted, end: context.windows.end_stage(admitted, end, now()),
        lambda _, stage: deadline,
    )
    context.windows.take(context.request, now())
    context.limits = {k: limit for k, (limit, _) in context.windows.used().items()}


@when("its first stage is given up after {seconds:g} seconds for lack of room")
def step(context, seconds):
    stage = context.request.candidate.pipeline.stages[0]
    context.service = stage.service
    context.request.begin_stage(stage.name)
    context.clock.seconds += seconds
    context.request.end_stage(stage.name, timed=False, whole=False, saturated=True)


@then("the stage's service has a narrower window than before")
def step(context):
    assert context.windows.used()[context.service][0] < context.limits[context.service]


@then("the stage's service has the window that it had before")
def step(context):
    assert context.windows.used()[context.service][0] == context.limits[context.service]


@given("its last stage took {seconds:g} seconds for each of {count:d} whole answers")
def step(context, seconds, count):
    context.last = context.request.candidate.pipeline.stages[-1]
    end_requests(context, count, seconds, streamed=False)
    context.limits = {k: limit for k, (limit, _) in context.windows.used().items()}


@when("{count:d} streams of {seconds:g} seconds end, one after the other")
def step(context, count, seconds):
    end_requests(context, count, seconds, streamed=True)


def end_requests(context, count, seconds, streamed):
    """End requests one after the other; the last stage of each takes ``seconds``."""
    candidate, last = context.request.candidate, context.last
    now = context.clock.now

    def record_end(admitted, end):
        duration = now() - end.began
        name = candidate.pipeline.name
        context.times.add(name, end.stage, duration, now(), end.streamed)
        context.windows.end_stage(admitted, end, now())

    for _ in range(count):
        admitted = Admitted(
            candidate, now(), now, record_end, lambda _, stage: candidate.deadline
        )
        context.windows.take(admitted, now())
        admitted.begin_stage(last.name)
        context.clock.seconds += seconds
        admitted.end_stage(last.name, timed=True, whole=True, streamed=streamed)
        context.windows.release_all(admitted)


@then("the last stage's service has no narrower window than before")
def step(context):
    service = context.last.service
    assert context.windows.used()[service][0] >= context.limits[service]
