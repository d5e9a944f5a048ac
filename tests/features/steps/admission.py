"""Steps on the admission control of an entry, with a simulated clock."""

import itertools
import random
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.base.outcomes import Refused
from boragestream.document import check_document
from boragestream.policy.admission import Admission
from boragestream.policy.admitted import Admitted, Candidate
from boragestream.policy.service_window import (
    MIN_LIMIT,
    START_LIMIT,
    ServiceWindow,
)
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.sites import example_document


def set_up(context, limit):
    """Create the admission control and the state that the steps share."""
    document, _ = check_document(example_document("cooperative"))
    context.document = document
    context.clock = SetClock()
    context.admission = Admission(limit, context.clock, random.Random(1))
    context.pool = ThreadPoolExecutor(256)
    context.gone = threading.Event()
    context.stage_seconds = 0.1
    context.verdicts = []
    context.add_cleanup(end_all, context)


def end_all(context):
    """End every request, so that no thread stays blocked."""
    context.gone.set()
    for future in context.verdicts:
        if future.done() and isinstance(future.result(), Admitted):
            context.admission.leave(future.result())
    context.pool.shutdown()


def candidate(context, account, left):
    """Return a candidate for the caption pipeline."""
    accounts = {a.name: a for a in context.document.client_accounts}
    pipelines = {p.name: p for p in context.document.pipelines}
    deadline = context.clock.now() + left
    policies = context.document.policies
    gone = context.gone.is_set
    return Candidate(accounts[account], pipelines["caption"], deadline, policies, gone)


def answer(context, admitted):
    """Run the stages of an admitted request and end it."""
    for stage in admitted.candidate.pipeline.stages:
        admitted.begin_stage(stage.name)
        context.clock.seconds += context.stage_seconds
        admitted.end_stage(stage.name, timed=True, whole=True)
    context.admission.leave(admitted)


def verdicts_so_far(context):
    """Return the admissions and the refusals so far."""
    done = [f.result() for f in context.verdicts if f.done()]
    begun = [v for v in done if isinstance(v, Admitted)]
    return begun, [v for v in done if isinstance(v, Refused)]


def decided_count(context):
    """Return the number of requests with a verdict."""
    return sum(future.done() for future in context.verdicts)


def wait_until_settled(context):
    """Wait until every request is admitted, queued or refused."""
    count = len(context.verdicts)
    wait_until(
        lambda: decided_count(context) + context.admission.queued == count,
        what="every request to be queued or decided",
    )


@given('an admission whose "caption" stages take {seconds:g} seconds')
def step(context, seconds):
    set_up(context, 160)
    context.stage_seconds = seconds


@given("an admission with {limit:d} threads")
def step(context, limit):
    set_up(context, limit)
    # The window stays at its minimum, so that requests queue behind the first ones.
    context.admission._windows._window("writer", 0.0)._limit = MIN_LIMIT


@given("{count:d} requests have been answered")
def step(context, count):
    for _ in range(count):
        answer(context, context.admission.enter(candidate(context, "scan-desk", 9.0)))


@given("{count:d} requests were cut short after {seconds:d} seconds")
def step(context, count, seconds):
    for _ in range(count):
        admitted = context.admission.enter(candidate(context, "scan-desk", 9.0))
        admitted.begin_stage("encode")
        context.clock.seconds += seconds
        admitted.end_stage("encode", timed=True, whole=False)
        context.admission.leave(admitted)


@when('a request of "{account}" with {left:g} seconds left comes')
def step(context, account, left):
    request = candidate(context, account, left)
    context.verdicts.append(context.pool.submit(context.admission.enter, request))
    wait_until_settled(context)


@when('{count:d} requests of "{account}" with {left:g} seconds left come at once')
def step(context, count, account, left):
    for _ in range(count):
        request = candidate(context, account, left)
        context.verdicts.append(context.pool.submit(context.admission.enter, request))
    wait_until_settled(context)


@when("{seconds:d} seconds pass and one request ends")
def step(context, seconds):
    context.clock.seconds += seconds
    end_one(context)


@when("their callers go and one request ends")
def step(context):
    context.gone.set()
    end_one(context)


def end_one(context):
    """End one admitted request; store the number of admitted ones."""
    begun, _ = verdicts_so_far(context)
    context.begun = len(begun)
    context.admission.leave(begun[0])
    wait_until_settled(context)


@then("it begins")
def step(context):
    assert isinstance(context.verdicts[-1].result(), Admitted)


@then('it is refused with "{code}" and a time to return')
def step(context, code):
    refused = context.verdicts[-1].result()
    assert isinstance(refused, Refused), refused
    assert refused.failure.code == code, refused
    assert refused.retry_after > 0, refused


@then('some begin, some wait and the others are refused with "{code}"')
def step(context, code):
    begun, refused = verdicts_so_far(context)
    assert begun and refused and context.admission.queued, (len(begun), len(refused))
    assert {r.failure.code for r in refused} == {code}


@then("the times to return are spread over more than {seconds:d} second")
def step(context, seconds):
    times = [r.retry_after for r in verdicts_so_far(context)[1]]
    assert max(times) - min(times) > seconds, times


@then("no request waits and none of them has begun")
def step(context):
    wait_until(lambda: all(f.done() for f in context.verdicts), what="every verdict")
    assert len(verdicts_so_far(context)[0]) == context.begun
    assert context.admission.queued == 0


@then('one of "{account}" is refused with "{code}"')
def step(context, account, code):
    wait_until(lambda: verdicts_so_far(context)[1], what="a refusal")
    refused = verdicts_so_far(context)[1]
    assert [r.failure.code for r in refused] == [code], refused
    assert context.admission.queued == 3


@then("a window grows while it is used and stages are quick")
def step(context):
    window = run_rounds(ServiceWindow(0.0), lambda limit: 1.0)
    assert window.limit > START_LIMIT


@then("a window is cut while stages are slow, but never closed")
def step(context):
    window = run_rounds(ServiceWindow(0.0), lambda limit: 10.0)
    assert window.limit == MIN_LIMIT
    assert window.open


@then("a window is not cut where a third of the stages are slow")
def step(context):
    multiples = itertools.cycle((1.0, 1.0, 30.0))
    window = run_rounds(ServiceWindow(0.0), lambda limit: next(multiples))
    assert window.limit >= START_LIMIT


@then("a window is cut when a stage finds no room, once for what began before")
def step(context):
    window = run_rounds(ServiceWindow(0.0), lambda limit: 1.0)
    before = window.limit
    for _ in range(before):
        window.take()
    window.overflow(began=100.0, now=101.0)
    cut = window.limit
    window.overflow(began=100.0, now=101.1)
    assert cut < before and window.limit == cut, (before, cut, window.limit)


@then("a window whose cuts change nothing corrects the baseline")
def step(context):
    corrections = []
    run_rounds(ServiceWindow(0.0), lambda limit: 10.0, corrections)
    assert corrections


def run_rounds(window, multiple, corrections=None, rounds=20):
    """Use a window fully for a number of rounds of one second each."""
    for round_ in range(1, rounds):
        count = window.limit
        for _ in range(count):
            window.take()
        for _ in range(count):
            correction = window.observe(multiple(count), round_, round_ + 0.5)
            if correction is not None and corrections is not None:
                corrections.append(correction)
            window.release()
    return window
