"""Steps on what measured times say once a load has gone, or never got through."""

from behave import given, then, when

from boragestream.document import check_document
from boragestream.policy.admitted import Admitted, Candidate
from boragestream.policy.times import RecentTimes
from tests.standins.sites import example_document

KIND = "caption.write"


class SteppedClock:
    """A clock that the steps move."""

    def __init__(self):
        self.seconds = 50.0

    def now(self):
        """Return the time."""
        return self.seconds


@given("{count:d} calls of {seconds:g} seconds")
def step(context, count, seconds):
    context.clock = SteppedClock()
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


@given("a request whose only stage may take {seconds:g} seconds")
def step(context, seconds):
    document, _ = check_document(example_document("cooperative"))
    pipeline = document.pipelines[0]
    account = document.client_accounts[0]
    context.clock = SteppedClock()
    deadline = context.clock.now() + seconds
    candidate = Candidate(account, pipeline, deadline, document.policies)
    context.ends = []
    context.request = Admitted(
        candidate,
        context.clock.now(),
        context.clock.now,
        lambda _, end: context.ends.append(end),
        lambda _, stage: deadline,
    )


@when("its stage is given up after {seconds:g} seconds for lack of room")
def step(context, seconds):
    stage = context.request.candidate.pipeline.stages[0].name
    context.request.begin_stage(stage)
    context.clock.seconds += seconds
    context.request.end_stage(stage, timed=True, whole=False, hopeless=True)


@then("the stage counts as one that took {seconds:g} seconds without a result")
def step(context, seconds):
    (end,) = context.ends
    assert round(context.clock.now() - end.began, 6) == seconds, end
    assert end.timed and not end.whole, end
