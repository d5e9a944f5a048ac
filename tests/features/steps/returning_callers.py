"""Steps on callers that retry after a refusal."""

from behave import given, then, when

from boragestream.policy.returning_callers import ReturningCallers
from tests.features.steps.urgency import (
    LIMITS,
    PIECES,
    SEEDS,
    SIMULATED_SECONDS,
    SLACK_SECONDS,
)
from tests.standins.stage_load import Kind, play


@given('a caller with the key "{key}" and the deadline {deadline:g} came at {now:g}')
def step(context, key, deadline, now):
    context.callers = ReturningCallers()
    assert context.callers.waited(key, "request-1", deadline, now) == 0.0


@then(
    'a request {request:d} with the key "{key}" and the deadline {deadline:g} at '
    "{now:g} has waited {waited:g} s"
)
@then(
    'a request {request:d} with the key "" and the deadline {deadline:g} at {now:g} '
    "has waited {waited:g} s"
)
def step(context, request, deadline, now, waited, key=""):
    found = context.callers.waited(key, f"request-{request}", deadline, now)
    assert abs(found - waited) < 1e-9, found
    # A further order of the same attempt has the same wait.
    again = context.callers.waited(key, f"request-{request}", deadline, now + 0.3)
    assert abs(again - waited) < 1e-9, again


@when("{count:d} callers come within a second")
def step(context, count):
    context.callers = ReturningCallers()
    for number in range(count):
        now = 100 + number / count
        context.callers.waited(f"key-{number}", f"r-{number}", now + 6, now)


@then("the queue remembers {count:d} of them")
def step(context, count):
    assert len(context.callers._attempts) == count


@then("none of them {later:g} s later")
def step(context, later):
    context.callers.waited("new", "r-new", 118, 101 + later)
    assert len(context.callers._attempts) == 1


@when("refused callers come back, recognized and not")
def step(context):
    kind = Kind("all", 1, PIECES, context.per_second, SLACK_SECONDS)

    def in_time(recognized):
        played = [
            play(
                [kind],
                LIMITS,
                context.servers,
                SIMULATED_SECONDS,
                seed,
                True,
                recognized,
            )
            for seed in SEEDS
        ]
        return sum(p["all"][0] for p in played) / len(played)

    context.recognized, context.unknown = in_time(True), in_time(False)


@then(
    "{more:g} or more of all requests begin in time beside those of a queue that knows "
    "nobody"
)
def step(context, more):
    found = context.recognized, context.unknown
    assert context.recognized >= context.unknown + more, found
