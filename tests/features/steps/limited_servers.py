"""Steps on stages and admission while all servers of a service have a limit."""

import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.base.clock import SystemClock
from boragestream.base.outcomes import Refused
from boragestream.document import check_document
from boragestream.entry.permit_messages import PermitReply
from boragestream.entry.server_permits import ServerPermits
from boragestream.policy.admission import Admission
from boragestream.policy.admitted import Admitted, Candidate
from boragestream.policy.granters import Granters
from boragestream.policy.load import LoadTable
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.routing import Location
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.limited_servers import LimitedServers
from boragestream.serving.parts import make_parts
from boragestream.serving.pipeline import PipelineRunner
from boragestream.serving.request import RequestRecord, SentRecord
from boragestream.serving.stage import StageRunner
from tests.features.steps.leaving_before_the_send import ADDRESS, Listener
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.limits import lone_limits, lone_seats
from tests.standins.sites import example_document

GRANTING = "granting"
LIMIT = 1.0
SERVICE = "counter-app"
PIPELINE = "order-status"
LATER_SERVICE = "member-ledger"
SERVER = Server("ledger-1", LATER_SERVICE, "10.0.0.1:80", "hall", "1")
DOCUMENT, _ = check_document(example_document("cooperative"))
WAIT_SECONDS = 20


class GrantingEntry:
    """Stands in for the links to an entry whose permits begin after a time."""

    def __init__(self, seconds):
        """Take the seconds until the next permit."""
        self.wait_ms = int(seconds * 1000)

    def ask(self, address, message, seconds):
        """Grant the next permit if the sender can wait for it."""
        granted = message.wait_ms >= self.wait_ms
        return PermitReply(int(granted), self.wait_ms)


def candidate(context, left):
    """Return a request for admission with some seconds left."""
    pipeline = next(p for p in DOCUMENT.pipelines if p.name == PIPELINE)
    deadline = context.clock.now() + left
    return Candidate(DOCUMENT.client_accounts[0], pipeline, deadline, DOCUMENT.policies)


@given("a stage whose only server has a limit")
def step(context):
    context.clock = SystemClock()
    context.listener = Listener("s-1")
    server = replace(context.listener.server, service=SERVICE)
    context.servers = ServerTable()
    context.servers.take_list([server])
    context.limits = ServerLimits(context.clock)
    context.limits.take_list([server])
    context.limits.note_answer(server, LIMIT, context.clock.now(), True)
    context.admission = Admission(8, context.clock, random.Random(1))


@given(
    "another entry grants a permit that begins in {seconds:g} seconds, "
    "but none that begins now"
)
@given("another entry grants no permit in the next {seconds:g} seconds")
def step(context, seconds):
    clock, rng = context.clock, random.Random(1)
    permits = ServerPermits(
        "own",
        context.limits,
        Granters(lambda: [GRANTING], lambda server: server.name, clock),
        lambda name: ADDRESS,
        lambda: True,
        GrantingEntry(seconds),
        lambda work: work(),
        clock,
    )
    limited = LimitedServers(context.limits, permits, lambda: 2, clock, rng)
    loads = LoadTable(clock, rng)
    loads.take_list(context.servers.live(SERVICE))
    executor = ThreadPoolExecutor(2)
    context.add_cleanup(executor.shutdown)
    parts = make_parts(
        context.servers,
        limited,
        lone_seats(limited, clock),
        ServerReach(clock, lambda service: 1),
        lambda server: (),
        Quarantine("own", lambda: ["own"], clock),
        loads,
        executor,
        clock,
        rng,
        lambda: Location("hall"),
        SimpleNamespace(attempt_ended=lambda *ended: None),
    )
    context.runner = PipelineRunner(StageRunner(parts), executor)


@when("a request with {left:g} seconds left comes to the stage")
def step(context, left):
    arriving = candidate(context, left)
    # A window ignores the ends of requests that began before it was created.
    context.admission.leave(context.admission.enter(arriving))
    admitted = context.admission.enter(arriving)
    services = {service.name: service for service in DOCUMENT.services}
    context.window = context.admission.windows()[SERVICE][0]
    request = RequestRecord(
        "r-1",
        arriving.account,
        arriving.pipeline,
        SimpleNamespace(document=DOCUMENT, services=services),
        "order",
        CancelScope(arriving.deadline),
        SentRecord(),
        admitted,
    )
    began = time.monotonic()
    context.failure = context.runner.run(request)
    context.took = time.monotonic() - began


@then("its call is sent")
def step(context):
    assert context.listener.bytes, (context.failure, context.took)


@then('it is refused within {seconds:g} second with "{code}"')
def step(context, seconds, code):
    assert context.failure.code == code, context.failure
    assert context.took < seconds, (context.failure, context.took)
    assert not context.listener.bytes


@then("the window of the service is cut")
def step(context):
    limit, _ = context.admission.windows()[SERVICE]
    assert limit < context.window, (limit, context.window)


@given(
    "an admission with {begun:d} requests in progress "
    "and {queued:d} queued with {left:g} seconds left"
)
def step(context, begun, queued, left):
    context.clock = SetClock()
    context.limited = lone_limits(context.clock)
    servers = {LATER_SERVICE: [SERVER]}
    context.admission = Admission(
        16,
        context.clock,
        random.Random(1),
        limited_wait=lambda name: context.limited.service_wait(servers.get(name, ())),
    )
    context.begun = [context.admission.enter(candidate(context, left))]
    window = context.admission._windows._window(LATER_SERVICE, context.clock.now())
    window._limit = begun
    while len(context.begun) < begun:
        context.begun.append(context.admission.enter(candidate(context, left)))
    pool = ThreadPoolExecutor(queued)
    context.add_cleanup(pool.shutdown)
    context.queued = [
        pool.submit(context.admission.enter, candidate(context, left))
        for _ in range(queued)
    ]
    wait_until(lambda: context.admission.queued == queued, what="the queue")


@when(
    "the only server of a later stage has a limit and no permit for {seconds:g} seconds"
)
def step(context, seconds):
    limits = context.limited.limits
    limits.take_list([SERVER])
    limits.note_answer(SERVER, LIMIT, context.clock.now(), True)
    limits.note_unavailable(SERVER, seconds)


@when("one request ends")
def step(context):
    context.admission.leave(context.begun.pop())


@then("none of the queued requests has begun, and all are refused")
def step(context):
    verdicts = [future.result(WAIT_SECONDS) for future in context.queued]
    assert all(isinstance(verdict, Refused) for verdict in verdicts), verdicts


@then('a request with {left:g} seconds left is refused with "{code}"')
def step(context, left, code):
    verdict = context.admission.enter(candidate(context, left))
    assert isinstance(verdict, Refused) and verdict.failure.code == code, verdict


@then("a request with {left:g} seconds left begins")
def step(context, left):
    verdict = context.admission.enter(candidate(context, left))
    assert isinstance(verdict, Admitted), verdict
