"""Steps on entries that are lost, in simulated time."""

from behave import given, then, when

from tests.standins.membership import MemberCrowd

WARM_UP_SECONDS = 5.0


@given("{count:d} entries that know one another, by seed {seed:d}")
def step(context, count, seed):
    context.members = MemberCrowd(count, seed)
    context.members.run(WARM_UP_SECONDS)


@when("{lost:d} of them are killed at one moment")
def step(context, lost):
    context.members.kill(lost)


@when("the others run for {seconds:d} seconds")
def step(context, seconds):
    context.members.run(seconds)


@then("after {seconds:g} seconds no running entry names one that is gone")
def step(context, seconds):
    context.members.run(seconds)
    assert not context.members.naming_gone()


@then("every running entry names all that run")
def step(context):
    running = {entry.name for entry in context.members.running()}
    for entry in context.members.running():
        assert entry.named() == running, (entry.name, running ^ entry.named())
