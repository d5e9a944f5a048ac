"""Steps that make a load come and go at the admission of an entry."""

from behave import given

from boragestream.policy.admitted import Candidate

PLENTY_SECONDS = 30.0


def begin(context):
    """Begin a request that has plenty of time."""
    document = context.document
    pipeline = next(p for p in document.pipelines if p.name == "caption")
    deadline = context.clock.now() + PLENTY_SECONDS
    account = document.client_accounts[0]
    return context.admission.enter(
        Candidate(account, pipeline, deadline, document.policies, lambda: False)
    )


@given("{count:d} more were answered while each stage took {seconds:g} seconds")
def step(context, count, seconds):
    for _ in range(count):
        admitted = begin(context)
        for stage in admitted.candidate.pipeline.stages:
            admitted.begin_stage(stage.name)
            context.clock.seconds += seconds
            admitted.end_stage(stage.name, timed=True, whole=True)
        context.admission.leave(admitted)


@given("one is under way")
def step(context):
    admitted = begin(context)
    context.add_cleanup(context.admission.leave, admitted)
