"""Steps on deadline budgets and retry times."""

import random

from behave import given, then, when

from boragestream.document import check_document
from boragestream.entry.baselines import BaselinePart
from boragestream.policy.deadlines import stage_deadline
from boragestream.policy.retry_after import ReturnSchedule
from boragestream.policy.stage_times import StageTimes
from tests.standins.sites import example_document

SAMPLES = 20
BUDGET = 200


@given('stages of "{name}" that took {a:g}, {b:g} and {c:g} seconds')
def step(context, name, a, b, c):
    document, _ = check_document(example_document("cooperative"))
    pipelines = {pipeline.name: pipeline for pipeline in document.pipelines}
    context.pipeline = pipelines[name]
    context.now = 100.0
    context.times = StageTimes()
    for stage, seconds in zip(context.pipeline.stages, (a, b, c), strict=True):
        for _ in range(SAMPLES):
            context.times.add(name, stage.name, seconds, context.now)


@when("{seconds:d} seconds pass without a request")
def step(context, seconds):
    context.now += seconds


@when("an entry that only saw them take {seconds:g} seconds hears of these times")
def step(context, seconds):
    started = StageTimes()
    for stage in context.pipeline.stages:
        started.add(context.pipeline.name, stage.name, seconds, context.now)
    sender, receiver = BaselinePart(context.times), BaselinePart(started)
    for _ in context.pipeline.stages:
        receiver.take("entry-1", sender.offer(BUDGET))
    receiver.take("entry-1", b"\xc1")
    context.times = started


@then('{seconds:g} seconds of "{stage}" are {n:d} times its time without a queue there')
def step(context, seconds, stage, n):
    multiple = context.times.multiple(context.pipeline.name, stage, seconds)
    assert abs(multiple - n) < 0.01, multiple


@then('{seconds:g} seconds of "{stage}" are less than its time without a queue')
def step(context, seconds, stage):
    assert context.times.multiple(context.pipeline.name, stage, seconds) < 1


@then('"{stage}" with {left:g} seconds left has {own:g} seconds of its own')
def step(context, stage, left, own):
    deadline = context.now + left
    found = stage_deadline(
        context.times, context.pipeline, stage, deadline, context.now
    )
    assert abs(found - context.now - own) < 1e-6, found - context.now


@then(
    "{n:d} callers refused at once return over {s:d} seconds where {r:d} end a second"
)
def step(context, n, s, r):
    schedule = ReturnSchedule(random.Random(1))
    times = sorted(schedule.retry_after(5.0, 0.0, float(r)) for _ in range(n))
    assert 0.9 * s <= times[-1] <= 1.3 * s, times
    # No group of a tenth of the callers returns in much less than a tenth of the time.
    tenth = n // 10
    gaps = [b - a for a, b in zip(times, times[2 * tenth :], strict=False)]
    assert min(gaps) > s / 20, gaps
