"""One run of the stages of a forwarded request, in the order of their dependencies.

A stage begins as soon as the results that it depends on have arrived; independent
stages run concurrently. Results are released as soon as no stage needs them any more.
All stages run in one region, which ``policy.stage_regions`` chooses when they begin.
``serving.piece_orders`` decides which entry makes the pieces.
"""

import itertools
import threading
from collections import Counter
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.failures import AccountOverShare, DeadlinePassed
from boragestream.base.outcomes import Failure
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece, PieceFault, StageResult
from boragestream.document.routes import Route
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.fingerprints import stage_fingerprint
from boragestream.policy.piece_queue import PieceBooking, PieceOrder
from boragestream.policy.prompt_parts import PartCrashes
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.server_choice import stage_data_centre
from boragestream.policy.stage_delays import StageDelays
from boragestream.policy.stage_regions import ChainRegion, StageRegions
from boragestream.serving.chains import ChainResults, log_end, note_offer
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.piece_bookings import BookedOrder, PieceBookings
from boragestream.serving.piece_failures import (
    OfferUnanswered,
    PieceFailed,
    StageSaturated,
    preferred_refusal,
)
from boragestream.serving.piece_orders import OpenOrder, PieceOrders
from boragestream.serving.prompt_guard import PromptGuard
from boragestream.serving.stage_leads import lead_seconds, usual_seconds

__all__ = ["StageParts", "StageRun"]

# Interval of the checks of cancellation, deadline and owners while no result arrives.
POLL_SECONDS = 0.1
# The faults of a stage whose inputs may have been lost with their server.
RESULTS_LOST = frozenset({PieceFault.INPUT_GONE, PieceFault.NO_SERVER})


@dataclass(frozen=True, slots=True)
class StageParts:
    """What all runs of an entry share.

    :ivar bookings: books places in the queues of the later stages.
    :ivar quarantine: which requests crash servers.
    :ivar numbers: makes order ids unique when the stages of a request run again.
    :ivar delays: how long stages have recently taken, waits included, by service.
    :ivar engine_delays: how long engines have recently taken to their first event, by
        route.
    :ivar until_deadline: whether the time since a caller's first attempt counts at the
        owners of all stages, which then keep a last attempt although it is late.
    :ivar stage_regions: the regions in which the chains can run.
    :ivar fair_shares: whether owners divide a shortage between client accounts.
    :ivar part_crashes: which piece keys crash servers; None to count none.
    """

    orders: PieceOrders
    bookings: PieceBookings
    quarantine: Quarantine
    clock: Clock
    order_numbers: itertools.count
    stage_delays: StageDelays
    engine_delays: EngineDelays
    metrics: RouteMetrics
    until_deadline: bool = False
    stage_regions: StageRegions = field(default_factory=StageRegions)
    fair_shares: bool = False
    part_crashes: PartCrashes | None = None

    def release(self, results: tuple[StageResult, ...]) -> None:
        """Release results that are no longer needed."""
        if results:
            self.orders.release([result.handle for result in results])


class StageRun:
    """One run of the stages of one request.

    :param home: see ``StagePieces.run``.
    """

    def __init__(self, stages: StageParts, run: ForwardedRun, home: str) -> None:
        self._stages = stages
        self._home = home
        self._run = run
        self._changed = threading.Event()
        self._results: dict[int, tuple[StageResult, ...]] = {}
        self._open: dict[int, OpenOrder] = {}
        self._released: set[int] = set()
        self._stage_reports: list[dict[str, object]] = []
        engine_seconds = stages.engine_delays.reserve_seconds(run.route.name)
        self._lead_seconds = lead_seconds(run, stages.stage_delays, engine_seconds)
        self._order_ids = {
            number: f"{run.request.request_id}/{number}/{next(stages.order_numbers)}"
            for number in range(len(run.route.stages))
        }
        # The bookings whose orders have not been sent, by stage.
        self._booked: dict[int, BookedOrder] = {}
        # The time since the caller's first attempt, as far as an owner knows it.
        self._waited_seconds = 0.0
        # Where the chain runs, and the regions that are tried if it is refused there.
        self._place = ChainRegion()
        # Without shares, messages are as those of the previous release.
        self._account = run.account if stages.fair_shares else ""
        stages_and_engine = [
            stage.service
            for number, stage in enumerate(run.route.stages)
            if self._piece_count(number)
        ]
        self._candidates = stages.stage_regions.candidates(
            [*stages_and_engine, run.service], run.regions
        )

    def finish(self) -> ChainResults | Failure:
        """Run until every stage is done or one has failed; return the last results."""
        failure: Failure | None = None
        try:
            failure = self._quarantine_refusal() or self._start()
            while failure is None and len(self._results) < len(self._run.route.stages):
                failure = self._wait() or self._begin_ready()
                if failure is not None and self._was_not_sent():
                    failure = self._start(failure)
        finally:
            for opened in self._open.values():
                self._stages.orders.end(opened)
                if opened.finished and opened.fault is None:
                    self._stages.release(opened.results)
            self._cancel_bookings()
        slack = self._run.objective_at - self._stages.clock.now()
        log_end(self._run, self._stage_reports, slack, failure)
        if failure is not None:
            for number, results in self._results.items():
                if number not in self._released:
                    self._stages.release(results)
            return failure
        last = _last_stages(self._run.route)
        results = tuple(r for number in last for r in self._results[number])
        return ChainResults(results, self._place.region)

    def has_lost_results(self, ended: ChainResults | Failure) -> bool:
        """Return whether a stage failed since it lacks the results of earlier ones.

        :param ended: what ``finish`` returned.
        """
        failed = isinstance(ended, PieceFailed) and ended.fault in RESULTS_LOST
        return failed and any(self._results.values())

    @property
    def ordered_pieces(self) -> Counter[str]:
        """The number of pieces of the stages that have begun, by service."""
        ordered: Counter[str] = Counter()
        for number in {*self._results, *self._open}:
            service = self._run.route.stages[number].service
            ordered[service] += self._piece_count(number)
        return ordered

    def _start(self, refusal: Failure | None = None) -> Failure | None:
        """Book the later stages and order the first, in the next region that accepts.

        :param refusal: why the last region did not run the chain.
        :returns: why no region accepted it, with the shortest wait that one stated.
        """
        run = self._run
        for place in self._candidates:
            self._place = place
            failure = self._book_later_stages() or self._begin_ready()
            if place.borrowed:
                request_id = run.request.request_id
                note_offer(self._stages.metrics, request_id, place.region, failure)
            if isinstance(failure, OfferUnanswered):
                return refusal or StageSaturated(failure.service, 0)
            if place.borrowed and isinstance(failure, AccountOverShare):
                # Whether it is a surplus here is decided by the own region.
                return refusal or failure
            surplus = any(booked.surplus for booked in self._booked.values())
            if not isinstance(failure, StageSaturated) or self._open or surplus:
                return failure
            self._cancel_bookings()
            refusal = preferred_refusal(refusal, failure)
        return refusal

    def _was_not_sent(self) -> bool:
        """Return whether the chain's only order was dropped before a piece was sent.

        The order is then closed, and the chain may be offered to another region.
        """
        if len(self._open) != 1 or any(self._results.values()):
            return False
        number, opened = next(iter(self._open.items()))
        if opened.fault is not PieceFault.NOT_SENT or opened.received:
            return False
        self._stages.orders.end(self._open.pop(number))
        self._cancel_bookings()
        return True

    def _cancel_bookings(self) -> None:
        for booked in self._booked.values():
            self._stages.bookings.cancel(booked)
        self._booked.clear()

    def _quarantine_refusal(self) -> Failure | None:
        """Return the quarantine's refusal of any stage; None if all are admitted."""
        run = self._run
        key = (run.request.piece_key,) if run.request.piece_key else ()
        for number, stage in enumerate(run.route.stages):
            if not self._piece_count(number):
                continue
            if not stage.after:
                guard = PromptGuard(
                    self._stages.part_crashes,
                    stage.service,
                    key,
                    run.request.request_id,
                    self._stages.clock,
                )
                refusal = guard.refusal()
                if refusal is not None:
                    return refusal
            if not self._stages.quarantine.empty:
                fingerprint = stage_fingerprint(run.fingerprint, stage.service)
                refusal = self._stages.quarantine.admit(fingerprint, was_cut=True)
                if refusal is not None:
                    return refusal
        return None

    def _book_later_stages(self) -> Failure | None:
        """Book every stage that depends on others, the last one first."""
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
                regions=run.regions or frozenset(),
                lead_seconds=self._lead_seconds[number],
                waited_seconds=self._waited_seconds,
                region=self._place.region,
                borrowed=self._place.borrowed,
                account=self._account,
            )
            start_by = self._start_by(number)
            deadline = run.scope.deadline
            booked = self._stages.bookings.book(booking, start_by, deadline)
            if isinstance(booked, Failure):
                return booked
            if booked is not None:
                self._booked[number] = booked
                if self._stages.until_deadline:
                    waited = max(self._waited_seconds, booked.waited_seconds)
                    self._waited_seconds = waited
        return None

    def _start_by(self, number: int) -> float:
        """Return the latest start of a stage that meets the objective.

        In another region, each stage from this one on costs a round trip for its order
        and its results.
        """
        stages_left = len(self._run.route.stages) - number
        lead_seconds = self._lead_seconds[number]
        lead_seconds += stages_left * self._place.round_trip_seconds
        return self._run.objective_at - lead_seconds - self._waited_seconds

    @property
    def _home_here(self) -> str:
        """The data centre of the engine, if it is in the region of the chain."""
        region = self._stages.stage_regions.regions.of(self._home)
        return self._home if self._place.region in ("", region) else ""

    def _begin_ready(self) -> Failure | None:
        for number, stage in enumerate(self._run.route.stages):
            begun = number in self._results or number in self._open
            if begun or any(n not in self._results for n in stage.after):
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
        needed = tuple(r for n in stage.after for r in self._results[n])
        inputs = tuple(result.handle for result in needed)
        request_id = run.request.request_id
        key = run.request.piece_key
        pieces = tuple(Piece(request_id, number, n, key, inputs) for n in range(count))
        place = self._place
        if inputs:
            regions = self._stages.stage_regions
            place = regions.for_later_stage(place, stage.service, run.regions)
        order = PieceOrder(
            order_id=self._order_ids[number],
            service=stage.service,
            pieces=pieces,
            result_bytes=stage.result_bytes,
            priority=run.priority,
            invested=bool(inputs),
            near=stage_data_centre(needed, count, stage.result_bytes, self._home_here),
            regions=run.regions or frozenset(),
            fingerprint=stage_fingerprint(run.fingerprint, stage.service),
            lead_seconds=self._lead_seconds[number],
            waited_seconds=self._waited_seconds,
            region=place.region,
            borrowed=place.borrowed,
            account=self._account,
        )
        start_by = self._start_by(number)
        booked = self._booked.pop(number, None)
        if booked is not None and place.region != self._place.region:
            self._stages.bookings.cancel(booked)
        # In the same queue the order replaces its booking.
        opened = self._stages.orders.begin(order, start_by, run.scope, self._changed)
        if isinstance(opened, Failure):
            return opened
        self._open[number] = opened
        return None

    def _wait(self) -> Failure | None:
        self._changed.wait(POLL_SECONDS)
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
                failure = self._stages.orders.check_owner(opened, run.scope)
                if failure is not None:
                    return failure
                continue
            self._results[number] = opened.results
            took = self._stages.clock.now() - opened.began_at
            usual = usual_seconds(self._run, opened.order.service)
            if not self._place.borrowed:
                # Delays of another region say nothing about the own region's queues.
                self._stages.stage_delays.record(opened.order.service, took, usual)
            self._stages.metrics.stage_ended(opened.order.service, took)
            self._stage_reports.append(
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


def _last_stages(route: Route) -> list[int]:
    needed = {n for stage in route.stages for n in stage.after}
    return [n for n in range(len(route.stages)) if n not in needed]
