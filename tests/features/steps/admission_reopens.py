"""Steps that start and end a load at the admission control of an entry."""

from behave import given

from boragestream.policy.admitted import Candidate

DISTANT_DEADLINE_SECONDS = 30.0


def admit(context):
    """Admit a request with a distant deadline."""
    document = context.document
    pipeline = next(p for p in document.pipelines if p.name == "caption")
    deadline = context.clock.now() + DISTANT_DEADLINE_SECONDS
    account = document.client_accounts[0]
    return context.admission.enter(
        Candidate(account, pipeline, deadline, document.policies, lambda: False)
    )


@given("{count:d} more were answered while each stage took {seconds:g} seconds")
def step(context, count, seconds):
    for _ in range(count):
        admitted = admit(context)
        for stage in admitted.candidate.pipeline.stages:
            admitted.begin_stage(stage.name)
            context.clock.seconds += seconds
            admitted.end_stage(stage.name, timed=True, whole=True)
        context.admission.leave(admitted)


@given("one is under way")
def step(context):
    admitted = admit(context)
    context.add_cleanup(context.admission.leave, admitted)
