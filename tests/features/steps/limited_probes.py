"""Steps on the probes of servers that have a limit, without sockets."""

import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.entry.reach_messages import ReachReply
from boragestream.policy.cut_entries import CutEntries
from boragestream.policy.peers import ListedEntry
from boragestream.serving.limited_probes import LimitedProbe
from boragestream.serving.reach_checks import ProbeResult, ReachChecks
from tests.features.steps.server_reach import (
    SERVICE,
    WITNESS,
    new_reach,
    refuse,
    server,
)
from tests.standins.limits import lone_limits

# Few enough that no permit accrues while the steps last.
LIMIT = 0.5


@given(
    "an entry before 3 servers, of which {limited:d} have a limit "
    "and {permits:d} a permit"
)
def step(context, limited, permits):
    new_reach(context)
    context.servers = [server(number) for number in range(3)]
    context.limited = lone_limits(context.clock)
    limits = context.limited.limits
    limits.take_list(context.servers)
    for number, each in enumerate(context.servers[:limited]):
        limits.note_answer(each, LIMIT, context.clock.now(), True)
        while number >= permits and context.limited.acquire_now(each):
            # Take the burst, so that no permit is left.
            continue


def check_limited(context, age):
    """Have the entry check a suspicion; its probes fail."""
    context.probed = []

    def probe(each, timeout):
        context.probed.append(each)
        return ProbeResult(answered=False)

    witness = ListedEntry(WITNESS, "hall-1", "10.9.1.1:80", "10.9.1.1:81")
    limits = context.limited.limits
    checks = ReachChecks(
        "own",
        "hall-2",
        context.reach,
        CutEntries("own", "own-1", lambda name: "", context.clock),
        LimitedProbe(probe, context.limited),
        lambda: [witness],
        lambda service: context.servers,
        lambda: [SERVICE],
        SimpleNamespace(ask=lambda *question: ReachReply((round(age * 1000),))),
        context.clock,
        random.Random(1),
        spared=lambda each: limits.limit(each) is not None,
    )
    checks._check()


@when("a check finds its calls silent")
def step(context):
    refuse(context)
    check_limited(context, 9.0)


@then("{count:d} servers were probed, none of them without a permit")
def step(context, count):
    assert len(context.probed) == count, context.probed
    limits = context.limited.limits
    for each in context.probed:
        granted = each in context.servers[:2]
        assert limits.limit(each) is None or granted, context.probed


@when(
    "{count:d} checks find no server that answers, "
    "and another entry that was just answered"
)
def step(context, count):
    refuse(context)
    context.clock.seconds += 0.5
    for _ in range(count):
        check_limited(context, 0.0)


@then("it is cut off")
def step(context):
    assert context.reach.is_cut_off(SERVICE)
