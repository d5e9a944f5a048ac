"""Takes a forwarded request through its stages, in the order of their needs.

A stage begins as soon as the results that it needs are there; stages that need nothing
of one another run side by side. Results are given up as soon as nothing needs them any
more. Who makes the pieces is left to ``serving.piece_orders``.
"""

import itertools
import threading
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import DeadlinePassed
from boragestream.base.outcomes import Failure
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece, StageResult
from boragestream.document.routes import Route
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.fingerprints import stage_fingerprint
from boragestream.policy.piece_queue import PieceBooking, PieceOrder
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.server_choice import stage_place
from boragestream.policy.stage_delays import StageDelays
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.piece_bookings import BookedOrder, PieceBookings
from boragestream.serving.piece_failures import PieceFailed
from boragestream.serving.piece_orders import OpenOrder, PieceOrders

__all__ = ["StagePieces", "seconds_after"]

# How full a batch is expected to be, to plan by.
EXPECTED_FILL = 0.6
WAKE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StagePieces:
    """Runs the stages of requests.

    :ivar bookings: asks for places in the queues of the later stages.
    :ivar quarantine: which requests crash servers.
    :ivar numbers: tells the orders of one request apart that are made again.
    """

    orders: PieceOrders
    bookings: PieceBookings
    quarantine: Quarantine
    clock: Clock
    numbers: itertools.count
    delays: StageDelays
    engines: EngineDelays
    metrics: RouteMetrics

    def run(
        self, run: ForwardedRun, home: str = ""
    ) -> tuple[StageResult, ...] | Failure:
        """Run all stages; return the results that the last call reads.

        :param home: the data centre of the engine that will most likely read them;
            empty for any.
        """
        if not run.route.stages:
            return ()
        return _StageRun(self, run, home).finish()

    def release(self, results: tuple[StageResult, ...]) -> None:
        """Give results up once nothing needs them any more."""
        if results:
            self.orders.release([result.handle for result in results])


class _StageRun:
    """The stages of one request under way."""

    def __init__(self, stages: StagePieces, run: ForwardedRun, home: str) -> None:
        self._stages = stages
        self._home = home
        self._run = run
        self._changed = threading.Event()
        self._results: dict[int, tuple[StageResult, ...]] = {}
        self._open: dict[int, OpenOrder] = {}
        self._released: set[int] = set()
        self._done: list[dict[str, object]] = []
        engine_seconds = stages.engines.expected(run.route.name)
        self._after = seconds_after(run, stages.delays, engine_seconds)
        self._order_ids = {
            number: f"{run.request.request_id}/{number}/{next(stages.numbers)}"
            for number in range(len(run.route.stages))
        }
        # What is booked and not yet ordered, by stage.
        self._booked: dict[int, BookedOrder] = {}

    def finish(self) -> tuple[StageResult, ...] | Failure:
        """Run until every stage is done or one has failed."""
        failure: Failure | None = None
        try:
            failure = self._quarantined() or self._book_later_stages()
            while failure is None and len(self._results) < len(self._run.route.stages):
                failure = self._begin_ready() or self._wait()
        finally:
            for opened in self._open.values():
                self._stages.orders.end(opened)
            for booked in self._booked.values():
                self._stages.bookings.cancel(booked)
        self._log(failure)
        if failure is not None:
            for number, results in self._results.items():
                if number not in self._released:
                    self._stages.release(results)
            return failure
        last = _last_stages(self._run.route)
        return tuple(r for number in last for r in self._results[number])

    def _log(self, failure: Failure | None) -> None:
        run = self._run
        slack = run.objective_at - self._stages.clock.now()
        emit(
            Event.STAGES_DONE,
            request=run.request.request_id,
            version=run.table.version,
            stages=self._done,
            slack_ms=int(slack * 1000),
            failure=failure.describe() if failure is not None else None,
        )

    def _quarantined(self) -> Failure | None:
        """Return why the servers of one of its stages may not be sent the request."""
        run = self._run
        if self._stages.quarantine.empty:
            return None
        for number, stage in enumerate(run.route.stages):
            if self._piece_count(number):
                of = stage_fingerprint(run.fingerprint, stage.service)
                held = self._stages.quarantine.admit(of, was_cut=True)
                if held is not None:
                    return held
        return None

    def _book_later_stages(self) -> Failure | None:
        """Book every stage that waits for others, the last one first."""
        run = self._run
        for number, stage in reversed(list(enumerate(run.route.stages))):
            count = self._piece_count(number)
            if not stage.after or not count:
                continue
            order_id = self._order_ids[number]
            request = run.request
            booking = PieceBooking(
                order_id,
                stage.service,
                request.request_id,
                request.piece_key,
                count,
                run.priority,
                run.regions or frozenset(),
            )
            start_by = run.objective_at - self._after[number]
            deadline = run.scope.deadline
            booked = self._stages.bookings.book(booking, start_by, deadline)
            if isinstance(booked, Failure):
                return booked
            if booked is not None:
                self._booked[number] = booked
        return None

    def _begin_ready(self) -> Failure | None:
        for number, stage in enumerate(self._run.route.stages):
            known = number in self._results or number in self._open
            if known or any(n not in self._results for n in stage.after):
                continue
            count = self._piece_count(number)
            if count == 0:
                self._results[number] = ()
                self._changed.set()
                continue
            failure = self._begin(number, count)
            if failure is not None:
                return failure
        return None

    def _begin(self, number: int, count: int) -> Failure | None:
        run, stage = self._run, self._run.route.stages[number]
        read = tuple(r for n in stage.after for r in self._results[n])
        inputs = tuple(result.handle for result in read)
        request_id = run.request.request_id
        key = run.request.piece_key
        pieces = tuple(Piece(request_id, number, n, key, inputs) for n in range(count))
        order = PieceOrder(
            order_id=self._order_ids[number],
            service=stage.service,
            pieces=pieces,
            result_bytes=stage.result_bytes,
            priority=run.priority,
            invested=bool(inputs),
            near=stage_place(read, count, stage.result_bytes, self._home),
            regions=run.regions or frozenset(),
            fingerprint=stage_fingerprint(run.fingerprint, stage.service),
        )
        start_by = run.objective_at - self._after[number]
        # The order takes its booking's place.
        self._booked.pop(number, None)
        opened = self._stages.orders.begin(order, start_by, run.scope, self._changed)
        if isinstance(opened, Failure):
            return opened
        self._open[number] = opened
        return None

    def _wait(self) -> Failure | None:
        self._changed.wait(WAKE_SECONDS)
        self._changed.clear()
        run = self._run
        if run.scope.reason is not None:
            return run.scope.reason
        if self._stages.clock.now() >= run.scope.deadline:
            return DeadlinePassed("stage")
        for number, opened in list(self._open.items()):
            if opened.fault is not None:
                return PieceFailed(opened.order.service, opened.fault)
            if not opened.finished:
                failure = self._stages.orders.ask_again(opened, run.scope)
                if failure is not None:
                    return failure
                continue
            self._results[number] = opened.results
            took = self._stages.clock.now() - opened.began_at
            usual = usual_seconds(self._run, opened.order.service)
            self._stages.delays.note(opened.order.service, took, usual)
            self._stages.metrics.stage_ended(opened.order.service, took)
            self._done.append(
                {
                    "stage": number,
                    "service": opened.order.service,
                    "owner": opened.owner,
                    "pieces": len(opened.order.pieces),
                    "milliseconds": int(took * 1000),
                }
            )
            self._stages.orders.end(self._open.pop(number))
            self._release_inputs()
        return None

    def _release_inputs(self) -> None:
        stages = self._run.route.stages
        for number in list(self._results):
            followers = [n for n, stage in enumerate(stages) if number in stage.after]
            done = followers and all(n in self._results for n in followers)
            if done and number not in self._released:
                self._released.add(number)
                self._stages.release(self._results[number])

    def _piece_count(self, number: int) -> int:
        counts = self._run.request.pieces
        return counts[number] if number < len(counts) else 0


def seconds_after(
    run: ForwardedRun, delays: StageDelays, engine_seconds: float
) -> dict[int, float]:
    """Return how long before the objective each stage must begin, in seconds.

    Of the stage itself its work alone counts; of those behind it their waits as well.

    :param engine_seconds: kept back for the engine behind the last stage.
    """
    stages = run.route.stages
    after: dict[int, float] = {}
    # From the beginning of a stage's wait to the objective.
    whole: dict[int, float] = {}
    for number in reversed(range(len(stages))):
        followers = [
            n for n, s in enumerate(stages) if number in s.after and n in whole
        ]
        rest = max((whole[n] for n in followers), default=engine_seconds)
        service = stages[number].service
        usual = usual_seconds(run, service)
        after[number] = rest + usual
        whole[number] = rest + delays.expected(service, usual)
    return after


def usual_seconds(run: ForwardedRun, service: str) -> float:
    """Return how long a stage of a service usually takes on an idle server."""
    known = run.table.services.get(service)
    limits = known.pieces if known is not None else None
    if limits is None:
        return 0.0
    return limits.call_seconds + EXPECTED_FILL * limits.batch * limits.piece_seconds


def _last_stages(route: Route) -> list[int]:
    needed = {n for stage in route.stages for n in stage.after}
    return [n for n in range(len(route.stages)) if n not in needed]
