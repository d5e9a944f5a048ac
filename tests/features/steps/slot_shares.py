"""Steps on windows sized by reported slots, with a simulated clock."""

import random
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from behave import given, then, when

from boragestream.base.outcomes import Refused
from boragestream.document import check_document
from boragestream.policy.admission import Admission
from boragestream.policy.admitted import Candidate
from boragestream.policy.load import LoadTable
from boragestream.policy.reports import LoadReport
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.service_window import MIN_LIMIT, ServiceWindow
from boragestream.policy.slot_shares import SlotShares
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.sites import example_document

DEADLINE_SECONDS = 20.0


@given("{count:d} servers of {slots:d} slots and {entries:d} entries")
def step(context, count, slots, entries):
    document, _ = check_document(example_document("cooperative"))
    pipeline = min(document.pipelines, key=lambda p: len(p.stages))
    context.services = {stage.service for stage in pipeline.stages}
    context.candidate = partial(
        Candidate, document.client_accounts[0], pipeline, policies=document.policies
    )
    context.clock = SetClock()
    context.slots = slots
    context.entries = entries
    context.servers = ServerTable()
    context.listed = [
        Server(f"{service}-{i}", service, f"127.0.0.1:{i}", "here")
        for service in sorted(context.services)
        for i in range(count)
    ]
    context.servers.take_list(context.listed)
    context.loads = LoadTable(context.clock, random.Random(1))
    context.shares = SlotShares(
        context.servers, context.loads, lambda: context.entries, context.clock
    )


@given("a door that {count:d} long requests come to, at once")
def step(context, count):
    context.admission = Admission(
        256, context.clock, random.Random(1), share=context.shares.share
    )
    context.loads.on_first_report(partial(look_again, context))
    context.pool = ThreadPoolExecutor(count)
    context.add_cleanup(end_all, context)
    candidate = context.candidate(deadline=context.clock.now() + DEADLINE_SECONDS)
    context.verdicts = [
        context.pool.submit(context.admission.enter, candidate) for _ in range(count)
    ]
    wait_until(lambda: context.admission.in_hand == count, what="all requests")


def look_again(context, service):
    """Handle a server's first report as the daemon does."""
    if context.shares.note_first_report(service):
        context.admission.recheck_queue()


def end_all(context):
    """End every admitted request, so that no thread stays blocked."""
    while not all(verdict.done() for verdict in context.verdicts):
        end_one(context)
    context.pool.shutdown()


def end_one(context):
    """End one admitted request."""
    for verdict in context.verdicts:
        if verdict.done() and not isinstance(verdict.result(), Refused):
            context.admission.leave(verdict.result())
            context.verdicts.remove(verdict)
            return


@given("no request has completed")
def step(context):
    assert context.admission.queued


@when("one server reports its slots")
def step(context):
    for service in context.services:
        server = next(s for s in context.listed if s.service == service)
        context.loads.note_report(server, LoadReport(1, context.slots))


@when("no server reports its slots")
def step(context):
    context.admission.recheck_queue()


@then("{count:d} requests have begun")
def step(context, count):
    def begun():
        done = [v.result() for v in context.verdicts if v.done()]
        return len([v for v in done if not isinstance(v, Refused)])

    wait_until(lambda: begun() == count, what=f"{count} requests")
    assert context.admission.queued == len(context.verdicts) - count


@when("{count:d} entries are live a second later")
def step(context, count):
    context.entries = count
    context.clock.seconds += 1.0


@then("the entry's share is {slots:d} slots")
def step(context, slots):
    assert {context.shares.share(name) for name in context.services} == {slots}


@given("a window that was cut to its least")
def step(context):
    context.window = ServiceWindow(0.0)
    context.window.request_room(0.0, 1.0)
    for began in (1.0, 2.0, 3.0):
        context.window.overflow(began, began + 0.5)
    assert context.window.limit == MIN_LIMIT


@when(
    "a request asks for room with a share of {slots:d} slots after {seconds:d} seconds"
)
def step(context, slots, seconds):
    context.window.request_room(float(slots), 1.0 + seconds)


@given("a window with a share of {slots:d} slots")
def step(context, slots):
    context.window = ServiceWindow(0.0)
    context.window.request_room(float(slots), 1.0)


@when("it is fully used and its stages are quick")
def step(context):
    for _ in range(context.window.limit):
        context.window.take()
    for _ in range(10):
        context.window.observe(1.0, 1.0, 2.0)


@then("the window has room for {count:d} requests")
def step(context, count):
    assert context.window.limit == count, context.window.limit
