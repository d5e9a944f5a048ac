"""Describes the regions that may serve a forwarded request.

It collects what the entry knows of the servers of each region; ``policy.region_choice``
compares the regions.
"""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import replace

from boragestream.document.calls import StageResult
from boragestream.policy.region_choice import (
    RegionNeed,
    RegionOption,
    RegionSelection,
)
from boragestream.policy.region_links import TrafficKind
from boragestream.policy.server_choice import reread_bytes
from boragestream.policy.servers import Server
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = ["RegionOptions"]


class RegionOptions:
    """The regions for the attempts of one request; unused with a single region."""

    def __init__(self, parts: ForwardParts, run: ForwardedRun) -> None:
        self._parts = parts
        self._run = run
        self._results: tuple[StageResult, ...] = ()

    def set_results(self, results: tuple[StageResult, ...]) -> None:
        """Set the stage results that the next attempt reads."""
        self._results = results

    def select(
        self,
        allowed: Sequence[Server],
        tried: Collection[str],
        longest_wait: float,
        without_permit: frozenset[str] = frozenset(),
    ) -> RegionSelection | None:
        """Return the region of the next attempt.

        :param allowed: the live servers in the home regions of the request.
        :param tried: the names of the servers that the request has tried.
        :param longest_wait: how many seconds it may wait for a permit.
        :param without_permit: the regions that granted it no permit.
        """
        parts = self._parts
        ready = parts.backoffs.usable(allowed)
        ready_by_region = self._by_region(ready)
        # Cold servers are used only if no region has a warm one.
        usable_by_region = self._by_region(parts.cold.usable(ready))

        def option(region: str) -> RegionOption:
            usable = usable_by_region.get(region, ())
            ready = ready_by_region.get(region, ())
            reserve = () if usable else parts.cold.usable(ready)
            return self._option(region, usable, reserve, tried)

        need = replace(self._need(longest_wait), without_permit=without_permit)
        return parts.regions.select(need, self._by_region(allowed), option)

    def nearest(self, allowed: Sequence[Server]) -> Sequence[Server]:
        """Return the servers of the own region, or of reachable ones if it has none."""
        by_region, regions = self._by_region(allowed), self._parts.regions
        own = by_region.get(regions.own)
        if own:
            return own
        return [
            s for r, group in by_region.items() if regions.reachable(r) for s in group
        ]

    def backoff_seconds_left(self, allowed: Sequence[Server]) -> float | None:
        """Return the seconds until the first back-off ends in a region that may serve.

        :returns: None if a server of the nearest region may be called now.
        """
        backoffs, regions = self._parts.backoffs, self._parts.regions
        left = backoffs.seconds_left(self.nearest(allowed))
        if left is None:
            return None
        for region, group in self._by_region(allowed).items():
            other = backoffs.seconds_left(group) if regions.admits(region) else None
            left = min(left, other) if other is not None else left
        return left

    def count_results(self, server: Server) -> None:
        """Count the stage results that cross between regions to a chosen server."""
        regions = self._parts.regions
        target = regions.calls.region_of(server)
        for result in self._results:
            source = regions.region_of_data_centre(result.data_centre)
            if source and source != target:
                # The bytes are counted for the link to the remote side.
                remote = source if target == regions.own else target
                size = int(result.size)
                regions.calls.count(remote, TrafficKind.RESULT, size)

    def _by_region(self, servers: Sequence[Server]) -> dict[str, list[Server]]:
        by_region: dict[str, list[Server]] = {}
        for server in servers:
            region = self._parts.regions.calls.region_of(server)
            by_region.setdefault(region, []).append(server)
        return by_region

    def _option(
        self,
        region: str,
        usable: Sequence[Server],
        reserve: Sequence[Server],
        tried: Collection[str],
    ) -> RegionOption:
        parts = self._parts
        sound = parts.choice.sound(usable)
        unlimited, with_limit = parts.limited.limits.split(usable)
        wait = 0.0
        if with_limit and not unlimited:
            wait = parts.limited.seconds_until_permit(with_limit)
        return RegionOption(
            region=region,
            usable=usable,
            sound=sound,
            untried=[server for server in sound if server.name not in tried],
            reserve=reserve,
            open_calls=sum(parts.choice.open_calls.count(s) for s in sound),
            wait_seconds=wait,
        )

    def _need(self, longest_wait: float) -> RegionNeed:
        run, regions = self._run, self._parts.regions
        service = run.table.services.get(run.service)
        engine = service.engine if service is not None else None
        slots = 1
        if service is not None:
            slots = engine.slots if engine is not None else service.max_connections
        # Once the objective has passed, an answer that begins before the deadline is
        # the best that remains.
        late = self._parts.clock.now() >= run.objective_at
        request = run.request
        crossing_bytes = float(len(request.body))
        if engine is not None:
            crossing_bytes += reread_bytes(request.prompt)
        return RegionNeed(
            service=run.service,
            begin_by=run.scope.deadline if late else run.objective_at,
            crossing_bytes=crossing_bytes,
            longest_wait=longest_wait,
            slots=max(1, slots),
            own_allowed=run.regions is None or regions.own in run.regions,
            staged=run.has_stages,
            results_region=self._results_region(),
            refused_only=not run.sent.may_have_run,
        )

    def _results_region(self) -> str:
        """Return the region that holds most bytes of the results; empty for none."""
        sizes: Counter[str] = Counter()
        for result in self._results:
            region = self._parts.regions.region_of_data_centre(result.data_centre)
            if region:
                sizes[region] += result.size
        return sizes.most_common(1)[0][0] if sizes else ""
