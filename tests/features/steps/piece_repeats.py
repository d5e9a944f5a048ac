"""Steps on pieces that are made again, without a process or a socket."""

from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.failures import AnswerCut, Ran
from boragestream.base.clock import Clock
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece, PieceFault, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.servers import Server
from boragestream.serving.piece_batches import PieceBatches
from tests.standins.clock import SetClock
from tests.standins.queue_parts import queue_parts

SERVICE = "service"
SERVERS = [Server(f"s-{n}", SERVICE, f"10.0.0.{n}:80", "hall", "1") for n in (1, 2, 3)]
LIMITS = PieceLimits(1, 4, 0.2, 0.01, 1000.0, 4.0)
BOUNDS = RetryBounds(0.2, 10.0, 430.0)


class AnsweredCalls:
    """Answers an owner's calls, some of them with a failure."""

    def __init__(self, fails, lost):
        """Fail every ``fails``-th call, by a lost answer or by faulty results."""
        self.fails, self.lost = fails, lost
        self.made = 0
        self.queued = []

    def submit(self, work, *arguments):
        """Queue work that makes a call, for ``run`` to execute."""
        self.queued.append((work, arguments))

    def run(self):
        """Execute all queued work, including work that it queues."""
        while self.queued:
            work, arguments = self.queued.pop(0)
            work(*arguments)

    def make(self, batch):
        """Answer a call."""
        self.made += 1
        failed = self.made % self.fails == 0
        if failed and self.lost:
            return AnswerCut(batch.server.name, Ran.MAY_HAVE_RUN, "lost")
        fault = PieceFault.ERROR if failed else None
        name = f"{batch.server.host}/{self.made}"
        return [
            PieceResult("" if failed else f"{name}-{n}", fault)
            for n, _ in enumerate(batch.pieces)
        ]

    def release(self, server, handles):
        """Ignore the release of results."""

    def check_overdue_calls(self):
        """Check for overdue calls; there are none."""


@given("the owner of a queue among {entries:d} entries")
def step(context, entries):
    clock: Clock = SetClock()
    context.clock = clock
    context.done = {}
    parts = queue_parts(
        clock,
        SimpleNamespace(live=lambda service: SERVERS, all=SERVERS),
        SimpleNamespace(usable=lambda servers: servers),
        LIMITS,
        retries=RetryWindows(clock.now, lambda: BOUNDS, lambda: entries),
        metrics=RouteMetrics(),
    )
    context.batches = PieceBatches(parts, context.done.setdefault)


@when(
    "{count:d} orders of {pieces:d} pieces come within {seconds:g} s, "
    "and one call in {fails:d} {how}"
)
def step(context, count, pieces, seconds, fails, how):
    context.calls = AnsweredCalls(fails, how == "loses its answer")
    context.batches._calls = context.calls
    results = {}

    def done(order_id, numbered):
        results.setdefault(order_id, []).extend(numbered)

    context.batches._on_results = done
    for number in range(count):
        made = tuple(Piece(f"r{number}", 0, n, "key", ()) for n in range(pieces))
        order = PieceOrder(f"r{number}/0", SERVICE, made, 10.0, 0, False)
        context.clock.seconds += seconds / count
        assert context.batches.submit(order, 2.0, 5.0) is None
        context.calls.run()
    context.results = results


@then("{count:d} of the orders are done")
def step(context, count):
    whole = [
        order_id
        for order_id, numbered in context.results.items()
        if all(result.handle for _, result in numbered)
    ]
    assert len(whole) == count, (len(whole), context.calls.made)


@then("at most {most:d} calls were made")
def step(context, most):
    assert context.calls.made <= most, context.calls.made
