"""Chooses the server of each attempt of a forwarded request.

``policy.region_choice`` chooses the region if there are several, and
``policy.server_choice`` ranks the candidates; ``serving.limited_servers`` obtains
permits for servers with a request limit.
"""

from collections.abc import Sequence

from boragestream.base.events import Event, emit
from boragestream.base.failures import (
    CentresDrained,
    NoLiveServer,
    ServersBackedOff,
    ServersCold,
    ServersLimited,
)
from boragestream.base.outcomes import Failure
from boragestream.document.calls import StageResult
from boragestream.document.routes import CallKind
from boragestream.policy.piece_queue import longest_wait
from boragestream.policy.region_choice import RegionSelection
from boragestream.policy.server_choice import (
    results_data_centre,
    shared_part,
    shared_tokens,
)
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import VersionUnavailable
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.limited_servers import PermittedServer
from boragestream.serving.region_options import RegionOptions
from boragestream.serving.surplus import refuse_surplus

__all__ = ["ForwardedChoice"]


class ForwardedChoice:
    """Chooses the servers for the attempts of one request."""

    def __init__(self, parts: ForwardParts, run: ForwardedRun) -> None:
        self._parts = parts
        self._run = run
        self._tried: set[str] = set()
        self._has_share = False
        self._regional = parts.regions.several
        self._region_options = RegionOptions(parts, run)
        self._region: RegionSelection | None = None
        # The only software version that may run the request; None for any.
        self._version = run.version

    def refusal(self, has_results: bool) -> Failure | None:
        """Return why the request can't be sent in time; None if it can.

        This is checked before the stages run, since their work is wasted if no server
        can take their results.

        :param has_results: whether a refusal would discard results of its stages.
        """
        if not has_results:
            self._region_options.set_results(())
        servers = self._servers()
        if not servers:
            failure = self._no_server_failure()
            if isinstance(failure, ServersBackedOff):
                self.note_full()
            return failure
        surplus = None if self._has_share else self._surplus()
        if surplus is not None:
            return surplus
        if self._needs_seat and not self._gets_seat(servers, has_results):
            self.note_full()
            return self._parts.seated.refusal(servers)
        limited = self._parts.limited
        unlimited, with_limit = limited.limits.split(servers)
        if unlimited or limited.seconds_until_permit(with_limit) <= self._longest_wait(
            has_results
        ):
            return None
        if self._another_region_serves(has_results):
            return None
        self.note_full()
        return limited.refusal(with_limit)

    def note_served(self) -> None:
        """Record that a server ran the request."""
        if self._parts.shares is not None:
            self._parts.shares.note_served(self._run.service)

    def note_full(self) -> None:
        """Record that servers have no capacity for the request."""
        if self._parts.shares is not None:
            self._parts.shares.note_full(self._run.service)

    def _surplus(self) -> Failure | None:
        """Count the request for its account, and return its refusal as surplus."""
        shares, run = self._parts.shares, self._run
        if shares is None:
            return None
        self._has_share = True
        surplus = shares.admit(run.service, run.account, run.priority)
        if surplus is None:
            return None
        request_id = run.request.request_id
        return refuse_surplus(self._parts.metrics, run.service, request_id, surplus)

    def engine_data_centre(self) -> str:
        """Return the data centre of the engine that most likely caches the prompt.

        It is empty if there is no engine or the prompt shares no prefix with others.
        """
        run = self._run
        if not shared_tokens(run.request.prompt):
            return ""
        servers = self._servers()
        unlimited, _ = self._parts.limited.limits.split(servers)
        part = shared_part(run.request.prompt)
        engine = self._parts.choice.engine(unlimited or servers, part)
        return engine.data_centre if engine is not None else ""

    @property
    def version(self) -> str | None:
        """The only software version that may run the request; None for any."""
        return self._version

    def require_version(self, version: str) -> None:
        """Allow only servers of one software version from now on."""
        self._version = version

    def allow_again(self, server: Server) -> None:
        """Allow another attempt at a server that was tried already."""
        self._tried.discard(server.name)

    def choose(
        self, inputs: tuple[StageResult, ...], number: int
    ) -> PermittedServer | Failure | None:
        """Return the server of the next attempt or the failure.

        :param inputs: the stage results that the call reads.
        :param number: the attempt's number, for the log.
        """
        self._region_options.set_results(inputs)
        servers = self._servers()
        reason = self._run.scope.reason
        if not servers or reason is not None:
            return reason
        if self._needs_seat:
            chosen = self._choose_seated(inputs)
        else:
            chosen = self._choose_permitted(servers, inputs)
        if self._regional and isinstance(chosen, ServersLimited):
            chosen = self._choose_elsewhere(chosen, inputs)
            servers = self._region.servers
        if not isinstance(chosen, PermittedServer):
            return chosen
        self._tried.add(chosen.server.name)
        self._note_choice(chosen.server, len(servers), number)
        scope = self._run.scope
        if not self._parts.limited.wait(
            chosen.permit, lambda: scope.reason is not None
        ):
            if chosen.seat is not None:
                self._parts.seated.seats.release(chosen.seat)
            return scope.reason
        if self._regional:
            self._region_options.count_results(chosen.server)
        return chosen

    @property
    def _needs_seat(self) -> bool:
        seated = self._parts.seated
        return seated is not None and seated.is_brittle(self._run.service)

    def _gets_seat(self, servers: Sequence[Server], has_results: bool) -> bool:
        """Return whether a seat is expected within the time that there is for it."""
        wait = self._parts.seated.seconds_until_seat(servers)
        return wait <= self._longest_wait(has_results)

    def _choose_seated(
        self, inputs: tuple[StageResult, ...]
    ) -> PermittedServer | Failure | None:
        scope = self._run.scope
        chosen = self._parts.seated.acquire(
            self._servers,
            lambda servers: self._choose_permitted(servers, inputs),
            self._longest_wait(bool(inputs)),
            scope.deadline - self._parts.clock.now(),
            lambda: scope.reason is not None,
        )
        return scope.reason if chosen is None else chosen

    def _choose_permitted(
        self, servers: Sequence[Server], inputs: tuple[StageResult, ...]
    ) -> PermittedServer | Failure | None:
        limited = self._parts.limited
        unlimited, with_limit = limited.limits.split(servers)
        if not with_limit:
            return self._choose_unlimited(unlimited, inputs)
        untried = self._untried(unlimited)
        if untried:
            idle = limited.idle_server(self._untried(with_limit))
            ready = limited.ready(self._untried(with_limit))
            server = idle or self._choose_best([*untried, *ready], inputs)
            chosen = limited.acquire_now(server) if server in with_limit else None
            return chosen or self._choose_unlimited(unlimited, inputs)
        wait = self._longest_wait(bool(inputs))
        candidates = self._untried(with_limit) or with_limit
        chosen = limited.acquire_earliest(
            candidates, wait, lambda nearby: self._choose_best(nearby, inputs)
        )
        if isinstance(chosen, ServersLimited) and unlimited:
            return self._choose_unlimited(unlimited, inputs)
        return chosen

    def _another_region_serves(self, has_results: bool) -> bool:
        """Return whether a region other than the chosen one can serve the request.

        The region was chosen for a wait that can have become too long since then, as
        other requests take permits and the time left for the request becomes shorter.

        :param has_results: whether a refusal would discard results of its stages.
        """
        if not self._regional or (self._run.has_stages and not has_results):
            # Results of stages are read in the region where they are produced.
            return False
        refused = self._region
        servers = self._servers(frozenset({refused.region}))
        self._region = refused
        return bool(servers)

    def _choose_elsewhere(
        self, refusal: ServersLimited, inputs: tuple[StageResult, ...]
    ) -> PermittedServer | ServersLimited:
        """Return a server of another region, or the refusal of the chosen region.

        Other entries may have taken the permits that this entry expected to be free.
        """
        refused = self._region
        servers = self._servers(frozenset({refused.region}))
        chosen = self._choose_permitted(servers, inputs) if servers else None
        if isinstance(chosen, PermittedServer):
            return chosen
        self._region = refused
        return refusal

    def _choose_unlimited(
        self, unlimited: Sequence[Server], inputs: tuple[StageResult, ...]
    ) -> PermittedServer | None:
        avoid = frozenset(self._tried)
        if self._regional:
            # Servers that were tried in another region don't count here.
            avoid &= {server.name for server in unlimited}
        if len(avoid) >= len(unlimited):
            avoid = frozenset()
        server = self._choose_best(unlimited, inputs, avoid)
        return PermittedServer(server) if server is not None else None

    def _untried(self, servers: Sequence[Server]) -> list[Server]:
        return [server for server in servers if server.name not in self._tried]

    def _choose_best(
        self,
        servers: Sequence[Server],
        inputs: tuple[StageResult, ...],
        avoid: frozenset[str] = frozenset(),
    ) -> Server | None:
        run, choice = self._run, self._parts.choice
        service = run.table.services.get(run.service)
        if service is None or service.engine is None:
            return choice.plain(servers, avoid)
        prompt = run.request.prompt
        near = results_data_centre(inputs, shared_tokens(prompt))
        return choice.engine(servers, shared_part(prompt), near, avoid)

    def _longest_wait(self, has_results: bool) -> float:
        """Return how many seconds the request may wait for a permit.

        :param has_results: whether a refusal would discard results of its stages.
        """
        run, parts = self._run, self._parts
        now = parts.clock.now()
        until_deadline = max(0.0, run.scope.deadline - now)
        if has_results:
            return until_deadline
        left = run.objective_at - now
        if run.route.kind is CallKind.STREAM:
            left -= parts.engine_delays.reserve_seconds(run.route.name)
        return min(until_deadline, longest_wait(run.priority, left))

    def _servers(
        self, without_permit: frozenset[str] = frozenset()
    ) -> Sequence[Server]:
        """Return the allowed servers that are neither backed off nor cold.

        If there are several regions, they are the servers of the chosen one.

        :param without_permit: the regions that granted the request no permit.
        """
        parts = self._parts
        if self._regional:
            self._region = self._region_options.select(
                self._allowed(),
                self._tried,
                self._longest_wait(has_results=False),
                without_permit,
            )
            usable = self._region.servers if self._region is not None else ()
        else:
            usable = parts.cold.usable(parts.backoffs.usable(self._allowed()))
        return self._trusted(self._below_bounds(usable))

    def _trusted(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Leave out servers at which a call that may run only once would be lost."""
        oversized = self._parts.oversized
        if oversized is None or self._run.route.repeatable:
            return servers
        return oversized.without_suspects(servers)

    def _below_bounds(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Leave out servers that crash under what this entry leaves outstanding."""
        run, outstanding = self._run, self._parts.outstanding
        if outstanding is None:
            return servers
        return outstanding.usable(servers, run.fingerprint, run.work_size)

    def _allowed(self) -> Sequence[Server]:
        """Return the live servers in the regions where the request may be served.

        A stream that has begun may go on only at the version that began it.
        """
        live = self._parts.servers.live(self._run.service)
        regions, version = self._run.regions, self._version
        if version is not None:
            live = [server for server in live if server.version == version]
        if regions is None:
            return live
        return [server for server in live if server.region in regions]

    def _awaited(self) -> Sequence[Server]:
        """Return the servers whose state determines when a refused caller returns."""
        allowed = self._allowed()
        return self._region_options.nearest(allowed) if self._regional else allowed

    def _no_server_failure(self) -> Failure:
        """Return the failure that explains why no server is available."""
        service = self._run.service
        allowed = self._awaited()
        if self._regional:
            left = self._region_options.backoff_seconds_left(self._allowed())
        else:
            left = self._parts.backoffs.seconds_left(allowed)
        if left is not None:
            return ServersBackedOff(service, left)
        if allowed and not self._below_bounds(allowed):
            return NoLiveServer(service)
        if allowed:
            return ServersCold(service)
        if self._version is not None and self._parts.servers.live(service):
            return VersionUnavailable(service, self._version)
        if self._parts.servers.has_drained_servers(service):
            return CentresDrained(service)
        return NoLiveServer(service)

    def _note_choice(self, server: Server, candidates: int, number: int) -> None:
        run, parts = self._run, self._parts
        age, origin = parts.list_age(), parts.servers.list_origin
        parts.metrics.server_chosen(age)
        emit(
            Event.SERVER_CHOSEN,
            request=run.request.request_id,
            service=run.service,
            server=server.name,
            data_centre=server.data_centre,
            of=candidates,
            open_calls=parts.choice.open_calls.count(server),
            attempt=number,
            software=server.version,
            resumes=run.request.resumes or None,
            last_event=run.request.last_event,
            version=run.table.version,
            list_revision=origin.revision,
            list_source=origin.source,
            list_age_ms=int(age * 1000),
            left_ms=int((run.scope.deadline - parts.clock.now()) * 1000),
        )
        region = self._region
        if region is not None and region.reason is not None:
            reason = region.reason.value
            parts.metrics.region_crossed(region.region, reason)
            emit(
                Event.SERVED_IN_OTHER_REGION,
                request=run.request.request_id,
                region=region.region,
                reason=reason,
                service=run.service,
                attempt=number,
            )
