"""Chooses the server of each attempt of a forwarded request.

How one of several is chosen is left to ``policy.server_choice``, permits for servers
with a limit to ``serving.limited_servers``.
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
from boragestream.policy.server_choice import near_results, shared_part, shared_tokens
from boragestream.policy.servers import Server
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.limited_servers import PermittedServer

__all__ = ["ForwardedChoice"]


class ForwardedChoice:
    """The choices of one request."""

    def __init__(self, parts: ForwardParts, run: ForwardedRun) -> None:
        self._parts = parts
        self._run = run
        self._tried: set[str] = set()

    def refusal(self, invested: bool) -> Failure | None:
        """Return why the request can't be sent in time; None where it can.

        Stages would be done for nothing where no server can take their results.

        :param invested: whether results of its stages would be lost with it.
        """
        servers = self._servers()
        if not servers:
            return self._no_server()
        limited = self._parts.limited
        free, held = limited.limits.split(servers)
        if free or limited.soonest(held) <= self._longest_wait(invested):
            return None
        return limited.refusal(held)

    def home(self) -> str:
        """Return the data centre of the engine that holds most of the prompt."""
        run = self._run
        if not shared_tokens(run.request.prompt):
            return ""
        servers = self._servers()
        free, _ = self._parts.limited.limits.split(servers)
        part = shared_part(run.request.prompt)
        engine = self._parts.choice.engine(free or servers, part)
        return engine.data_centre if engine is not None else ""

    def forgive(self, server: Server) -> None:
        """Let a server be tried again."""
        self._tried.discard(server.name)

    def take(
        self, inputs: tuple[StageResult, ...], number: int
    ) -> PermittedServer | Failure | None:
        """Return the server of the next attempt, or why there is none.

        :param inputs: the results of stages that the call reads.
        :param number: of the attempt, for the log.
        """
        servers = self._servers()
        reason = self._run.scope.reason
        if not servers or reason is not None:
            return reason
        chosen = self._permitted(servers, inputs)
        if not isinstance(chosen, PermittedServer):
            return chosen
        self._tried.add(chosen.server.name)
        self._note_choice(chosen.server, len(servers), number)
        scope = self._run.scope
        if not self._parts.limited.wait(
            chosen.permit, lambda: scope.reason is not None
        ):
            return scope.reason
        return chosen

    def _permitted(
        self, servers: Sequence[Server], inputs: tuple[StageResult, ...]
    ) -> PermittedServer | Failure | None:
        limited = self._parts.limited
        free, held = limited.limits.split(servers)
        if not held:
            return self._unlimited(free, inputs)
        untried = self._untried(free)
        if untried:
            quiet = limited.unasked(self._untried(held))
            ready = limited.ready(self._untried(held))
            server = quiet or self._best([*untried, *ready], inputs)
            chosen = limited.at_once(server) if server in held else None
            return chosen or self._unlimited(free, inputs)
        wait = self._longest_wait(bool(inputs))
        candidates = self._untried(held) or held
        chosen = limited.first(candidates, wait, lambda some: self._best(some, inputs))
        if isinstance(chosen, ServersLimited) and free:
            return self._unlimited(free, inputs)
        return chosen

    def _unlimited(
        self, free: Sequence[Server], inputs: tuple[StageResult, ...]
    ) -> PermittedServer | None:
        avoid = frozenset(self._tried)
        if len(avoid) >= len(free):
            avoid = frozenset()
        server = self._best(free, inputs, avoid)
        return PermittedServer(server) if server is not None else None

    def _untried(self, servers: Sequence[Server]) -> list[Server]:
        return [server for server in servers if server.name not in self._tried]

    def _best(
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
        near = near_results(inputs, shared_tokens(prompt))
        return choice.engine(servers, shared_part(prompt), near, avoid)

    def _longest_wait(self, invested: bool) -> float:
        """Return how long the request may wait for a permit.

        :param invested: whether results of its stages would be lost with it.
        """
        run, parts = self._run, self._parts
        now = parts.clock.now()
        until_deadline = max(0.0, run.scope.deadline - now)
        if invested:
            return until_deadline
        left = run.objective_at - now
        if run.route.kind is CallKind.STREAM:
            left -= parts.engine_delays.expected(run.route.name)
        return min(until_deadline, longest_wait(run.priority, left))

    def _servers(self) -> Sequence[Server]:
        """Return the servers that may be sent this request now."""
        parts = self._parts
        return parts.cold.usable(parts.backoffs.usable(self._allowed()))

    def _allowed(self) -> Sequence[Server]:
        """Return the live servers in the regions where the request may be served."""
        live = self._parts.servers.live(self._run.service)
        regions = self._run.regions
        if regions is None:
            return live
        return [server for server in live if server.region in regions]

    def _no_server(self) -> Failure:
        """Return why there is no server."""
        service = self._run.service
        allowed = self._allowed()
        left = self._parts.backoffs.seconds_left(allowed)
        if left is not None:
            return ServersBackedOff(service, left)
        if allowed:
            return ServersCold(service)
        if self._parts.servers.awaits_centre(service):
            return CentresDrained(service)
        return NoLiveServer(service)

    def _note_choice(self, server: Server, live: int, number: int) -> None:
        run, parts = self._run, self._parts
        age = parts.list_age()
        parts.metrics.server_chosen(age)
        emit(
            Event.SERVER_CHOSEN,
            request=run.request.request_id,
            service=run.service,
            server=server.name,
            data_centre=server.data_centre,
            of=live,
            open_calls=parts.choice.open_calls.count(server),
            attempt=number,
            version=run.table.version,
            list_age_ms=int(age * 1000),
            left_ms=int((run.scope.deadline - parts.clock.now()) * 1000),
        )
