"""Runs one stage: chooses a server, makes an attempt and retries if that is safe.

A call that may not be repeated is retried only if it certainly did not run, and is
never hedged. ``serving.pipeline`` decides the order of the stages.
"""

import math
import threading
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from boragestream.backend.attempt import (
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    OpenAnswer,
    Ran,
    ServerBackedOff,
    ServerLeft,
    ServerLimited,
    ServerRefused,
)
from boragestream.backend.calls import StageCall, StageInput, stage_body, stage_path
from boragestream.backend.failures import PlacesTaken
from boragestream.base.failures import NoLiveServer, ServersBackedOff
from boragestream.base.outcomes import Failure
from boragestream.document import Stage
from boragestream.document.records import Policies
from boragestream.policy.affinity import prefix_key
from boragestream.policy.candidates import RoutingNeed
from boragestream.policy.costs import Purpose
from boragestream.policy.fingerprints import stage_fingerprint
from boragestream.policy.hedging import has_spare_room, hedge_delay, hedge_share
from boragestream.policy.retries import (
    FailedAttempt,
    Retry,
    retry_delay_seconds,
    retry_verdict,
)
from boragestream.policy.servers import Server
from boragestream.serving.attempts import AttemptRun, StageRun
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.parts import ServingParts
from boragestream.serving.race import race
from boragestream.serving.request import RequestRecord
from boragestream.serving.request_guard import RequestGuard

__all__ = ["StageRunner"]

# The quantile of recent attempt times that counts as the usual time of a call.
USUAL_QUANTILE = 0.5


@dataclass(frozen=True, slots=True)
class StageRunner:
    """Runs stages.

    :ivar parts: the parts shared by all requests of the entry.
    """

    parts: ServingParts

    def run(
        self, request: RequestRecord, stage: Stage, stage_input: StageInput
    ) -> Any | Failure:
        """Run a stage and return its result as JSON data, or its failure."""
        return self._run(self._stage_run(request, stage, stage_input, stream=False))

    def open_stream(
        self, request: RequestRecord, stage: Stage, stage_input: StageInput
    ) -> OpenAnswer | Failure:
        """Run an engine's stage up to the headers of its streamed answer."""
        return self._run(self._stage_run(request, stage, stage_input, stream=True))

    def _run(self, run: StageRun) -> Any | Failure:
        policies = _policies(run)
        service = run.stage.service
        self.parts.retries.of(service).earn(policies.retry_share)
        self.parts.hedges.of(service).earn(
            hedge_share(policies.hedge_share, policies.cost_weight)
        )
        failure: AttemptFailure | None = None
        tried: set[str] = set()
        attempts = 0
        while True:
            quarantine_refusal = run.guard.refusal()
            if quarantine_refusal is not None:
                return quarantine_refusal
            purpose = Purpose.RETRY if attempts else Purpose.FIRST
            attempt = self._reserve_attempt(run, purpose, tried)
            if isinstance(attempt, Failure):
                return failure or attempt
            result = self._attempt(run, attempt, tried)
            if not isinstance(result, AttemptFailure):
                return result
            if isinstance(result, AttemptCancelled):
                return result.reason
            attempts += 1
            failure = result
            if not self._may_retry(run, result, attempts):
                return failure
            self._pause_before_reuse(run, tried, attempts)

    def _reserve_attempt(
        self, run: StageRun, purpose: Purpose, tried: set[str]
    ) -> AttemptRun | Failure:
        """Wait for room on a server and return an attempt, or why there is none.

        The wait ends when the time left is less than the usual time of the call.
        """
        service = run.stage.service
        live = self.parts.servers.live(service)
        if not live:
            return NoLiveServer(service)
        left = self.parts.backoffs.seconds_left(live)
        if left is not None:
            return ServersBackedOff(service, left)
        scope = run.request.scope
        latest = scope.deadline - self._usual_seconds(run)
        limited = self.parts.limited
        without_limit, with_limit = limited.limits.split(self._available_servers(run))
        left = latest - self.parts.clock.now()
        if (
            with_limit
            and not without_limit
            and limited.seconds_until_permit(with_limit) > left
        ):
            return limited.refusal(with_limit)
        if (
            with_limit
            and not without_limit
            and not self.parts.seated.is_brittle(service)
        ):
            attempt = self._reserve_permitted(run, purpose, tried, with_limit, latest)
            if attempt is not None:
                return attempt
        return self.parts.call_queues.of(service).acquire(
            choose=lambda: self._choose_attempt(run, purpose, tried),
            latest=latest,
            cancelled=lambda: scope.reason is not None,
        )

    def _reserve_permitted(
        self,
        run: StageRun,
        purpose: Purpose,
        tried: set[str],
        limited: Sequence[Server],
        latest: float,
    ) -> AttemptRun | Failure | None:
        """Reserve the earliest permit and wait for it, if all servers are limited.

        A call that polled for a permit until its deadline would lose each of them to
        the entry that grants it, whose own calls ask without a round trip.

        :returns: None if the server has no room when the permit begins.
        """
        parts, scope = self.parts, run.request.scope
        untried = [server for server in limited if server.name not in tried]
        chosen = parts.limited.acquire_earliest(
            untried or limited,
            latest - parts.clock.now(),
            lambda nearby: self._choose_server(run, nearby, tried),
        )
        if isinstance(chosen, Failure):
            return chosen
        if not parts.limited.wait(chosen.permit, lambda: scope.reason is not None):
            return scope.reason

        def choose() -> AttemptRun | None:
            if self._choose_server(run, [chosen.server], set()) is None:
                return None
            return AttemptRun(parts, run, chosen, purpose)

        attempt = parts.call_queues.of(run.stage.service).acquire(
            choose, parts.clock.now(), lambda: True
        )
        if isinstance(attempt, AttemptRun):
            return attempt
        parts.limited.permits.release(chosen.permit)
        return None

    def _choose_attempt(
        self, run: StageRun, purpose: Purpose, tried: set[str]
    ) -> AttemptRun | None:
        limited = self.parts.limited
        without_limit, with_limit = limited.limits.split(self._available_servers(run))
        server = limited.idle_server(with_limit)
        server = server or self._choose_server(
            run, [*without_limit, *limited.ready(with_limit)], tried
        )
        chosen = limited.acquire_now(server) if server in with_limit else None
        if chosen is None:
            server = self._choose_server(run, without_limit, tried)
            chosen = PermittedServer(server) if server is not None else None
        if chosen is not None and self.parts.seated.is_brittle(run.stage.service):
            chosen = self._seated(run, chosen)
        return AttemptRun(self.parts, run, chosen, purpose) if chosen else None

    def _seated(self, run: StageRun, chosen: PermittedServer) -> PermittedServer | None:
        """Return a chosen brittle server with a seat; None if it has no free place."""
        report = self.parts.loads.get(chosen.server).report
        slots = report.slots if report is not None else 0
        seconds = run.request.scope.deadline - self.parts.clock.now()
        server = replace(chosen.server, slots=int(slots))
        seat = self.parts.seated.acquire_now(server, seconds)
        if seat is None and chosen.permit is not None:
            self.parts.limited.permits.release(chosen.permit)
        return replace(chosen, seat=seat) if seat is not None else None

    def _choose_server(
        self, run: StageRun, servers: Sequence[Server], tried: set[str]
    ) -> Server | None:
        if not servers:
            return None
        policies = _policies(run)
        need = RoutingNeed(frozenset(tried), run.prefix, policies.without)
        return self.parts.routing[policies.routing].choose(servers, need)

    def _attempt(
        self, run: StageRun, first: AttemptRun, tried: set[str]
    ) -> Any | AttemptFailure:
        tried.add(first.server.name)
        delay = self._hedge_delay(run)
        if delay is None:
            return first.send()
        return race(self.parts, first, delay, lambda: self._hedge(run, tried))

    def _hedge_delay(self, run: StageRun) -> float | None:
        """Return the delay in seconds before a hedge; None if none could be sent.

        Without a hedge the attempt runs in the request's own thread, which avoids the
        cost of passing it to another thread; see bench/handover.py.
        """
        if not run.call.repeatable or "hedging" in _policies(run).without:
            return None
        if run.guard.suspected:
            # A request that is suspected of crashing servers could crash two at once.
            return None
        service = run.stage.service
        if len(self.parts.servers.live(service)) == 1:
            return None
        saturated = self.parts.call_queues.of(service).waiting > 0
        if saturated or self.parts.hedges.of(service).tokens < 1.0:
            return None
        delay = hedge_delay(self.parts.times, run.kind)
        left = run.request.scope.deadline - self.parts.clock.now()
        return delay if delay is not None and delay < left else None

    def _hedge(self, run: StageRun, tried: set[str]) -> AttemptRun | None:
        service = run.stage.service
        if self.parts.call_queues.of(service).waiting:
            return None
        server = self._choose_hedge_server(run, tried)
        if server is None or not self.parts.hedges.of(service).spend():
            return None
        tried.add(server.name)
        return AttemptRun(self.parts, run, PermittedServer(server), Purpose.HEDGE)

    def _choose_hedge_server(self, run: StageRun, tried: set[str]) -> Server | None:
        policies = _policies(run)
        need = RoutingNeed(frozenset(tried), None, policies.without)
        if self.parts.seated.is_brittle(run.stage.service):
            return None
        # A hedge is optional, so it is never sent to a server with a limit.
        without_limit, _ = self.parts.limited.limits.split(self._available_servers(run))
        if not without_limit:
            return None
        server = self.parts.routing[policies.routing].choose(without_limit, need)
        if server is None:
            return None
        load = self.parts.loads.get(server)
        return server if has_spare_room(load, self.parts.clock.now()) else None

    def _available_servers(self, run: StageRun) -> Sequence[Server]:
        parts = self.parts
        return parts.backoffs.usable(parts.servers.live(run.stage.service))

    def _may_retry(self, run: StageRun, failure: AttemptFailure, attempts: int) -> bool:
        leaving = isinstance(failure, ServerRefused) and failure.leaving
        unsent = (
            ConnectFailed | PlacesTaken | ServerBackedOff | ServerLeft | ServerLimited
        )
        failed = FailedAttempt(
            may_have_run=failure.ran is Ran.MAY_HAVE_RUN,
            free=leaving or isinstance(failure, unsent),
        )
        verdict = retry_verdict(
            failed,
            attempts,
            run.call.repeatable,
            run.request.scope.deadline - self.parts.clock.now(),
            self._usual_seconds(run),
            "retries" in _policies(run).without,
            self.parts.retries.of(run.stage.service).spend,
        )
        return verdict is Retry.AGAIN

    def _pause_before_reuse(
        self, run: StageRun, tried: set[str], attempts: int
    ) -> None:
        """Pause and allow all servers to be tried again once each has been tried."""
        live = self.parts.servers.live(run.stage.service)
        if any(server.name not in tried for server in live):
            return
        tried.clear()
        threading.Event().wait(retry_delay_seconds(attempts, self.parts.rng))

    def _usual_seconds(self, run: StageRun) -> float:
        return self.parts.times.quantile(run.kind, USUAL_QUANTILE) or 0.0

    def _stage_run(
        self,
        request: RequestRecord,
        stage: Stage,
        stage_input: StageInput,
        stream: bool,
    ) -> StageRun:
        parts = self.parts
        kind = request.in_force.services[stage.service].kind
        call = StageCall(
            request_id=request.request_id,
            path=stage_path(kind),
            body=stage_body(kind, stage, stage_input, stream),
            repeatable=stage.repeatable,
            priority=max(request.pipeline.priority, request.account.priority),
            stream=stream,
            run_by=math.inf if stage.repeatable else request.run_by,
        )
        guard = RequestGuard(
            parts.quarantine,
            parts.connections,
            request.request_id,
            stage_fingerprint(request.fingerprint, stage.service),
            parts.other_servers,
        )
        prefix = None
        if kind == "engine":
            prefix = prefix_key(stage.model, str(stage_input.request))
        return StageRun(request, stage, call, guard, prefix)


def _policies(run: StageRun) -> Policies:
    return run.request.in_force.document.policies
