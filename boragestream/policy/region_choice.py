"""Chooses the region whose servers serve a request.

Load pattern: two regions share one slow link. Mostly each serves its own callers; for
seconds to minutes one of them has no server of a service, or more requests than its
servers can begin in time, while the other one has capacity.

The own region is used unless it has no usable server or is not expected to begin the
request in time while another region is. Both sides are measured by
``policy.region_calls``; a measurement that is missing in the other region is replaced
by that of the own one, so that an unknown region looks no better. One call at a time
may be sent to an unmeasured region if the own one would be late anyway, since otherwise
it would remain unmeasured.
"""

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from boragestream.base.clock import Clock
from boragestream.policy.region_calls import RegionCalls, RegionEstimate
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.servers import Server

__all__ = [
    "CrossingReason",
    "RegionChoice",
    "RegionNeed",
    "RegionOption",
    "RegionSelection",
]

# A call that servers more probably refuse than accept is not expected to begin.
MAX_REFUSED_SHARE = 0.5
# TCP sends this much before the first acknowledgement and doubles it with each round
# trip (RFC 6928), so that the distance also determines how long bytes take.
INITIAL_WINDOW_BYTES = 14_600


class CrossingReason(Enum):
    """Why another region serves a request; the values are labels of metrics."""

    HOME = "home"
    NO_SERVER = "no-server"
    SERVERS_BUSY = "servers-busy"
    RETRY = "retry"
    RESULTS = "results"
    NOT_IN_TIME = "not-in-time"
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class RegionNeed:
    """What a request needs of the region that serves it.

    :ivar begin_by: when its answer should begin, in the clock's seconds.
    :ivar crossing_bytes: the bytes that would cross between regions, with the bytes
        that reading its shared prompt again is worth.
    :ivar longest_wait: how many seconds it may wait for a permit.
    :ivar slots: the number of calls that one server of the service runs at a time.
    :ivar own_allowed: whether its home regions include the own one.
    :ivar staged: whether it has stages. Its engine is in the region of their results.
    :ivar results_region: the region of its stage results; empty if there are none.
    :ivar refused_only: whether none of its earlier attempts can have run.
    :ivar without_permit: the regions whose servers all have a limit and granted the
        request no permit.
    """

    service: str
    begin_by: float
    crossing_bytes: float = 0.0
    longest_wait: float = math.inf
    slots: int = 1
    own_allowed: bool = True
    staged: bool = False
    results_region: str = ""
    refused_only: bool = False
    without_permit: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RegionOption:
    """The servers of one region that may serve a request.

    :ivar usable: the live servers that are neither backed off nor cold; if all regions
        have only cold ones, those that may be sent to now.
    :ivar sound: those of them that did not fail recently.
    :ivar untried: those of them that the request has not tried.
    :ivar reserve: the cold servers that may be sent to now, if there is no usable one.
    :ivar open_calls: the number of this entry's open calls at the sound servers.
    :ivar wait_seconds: the wait for a permit if all usable servers have a limit.
    """

    region: str
    usable: Sequence[Server]
    sound: Sequence[Server]
    untried: Sequence[Server]
    reserve: Sequence[Server] = ()
    open_calls: int = 0
    wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class RegionSelection:
    """The chosen region.

    :ivar servers: its usable servers, or else its reserve.
    :ivar reason: why it is not the own region; None if it is.
    """

    region: str
    servers: Sequence[Server]
    reason: CrossingReason | None = None


class RegionChoice:
    """Chooses regions for the requests of one entry; safe to use from any thread."""

    def __init__(self, links: RegionLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._calls = RegionCalls(links, clock)

    @property
    def calls(self) -> RegionCalls:
        """The measurements of this entry's calls."""
        return self._calls

    @property
    def several(self) -> bool:
        """Whether there are several regions to choose from."""
        return self._links.regions.several

    @property
    def own(self) -> str:
        """The own region."""
        return self._links.regions.own

    def region_of_data_centre(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is in none."""
        return self._links.regions.of(data_centre)

    def reachable(self, region: str) -> bool:
        """Return whether a region can be used; the own one always can."""
        return region == self.own or self._links.may_use(region)

    def admits(self, region: str) -> bool:
        """Return whether optional traffic may be sent to a region."""
        return self.reachable(region) and self._may_use(region, optional=True)

    def select(
        self,
        need: RegionNeed,
        regions: Collection[str],
        option: Callable[[str], RegionOption],
    ) -> RegionSelection | None:
        """Return the region whose servers serve the request; None if there is none.

        :param regions: the regions that have live servers for the request.
        :param option: returns the servers of a region. It is called for other regions
            only if the own one is not enough, since it checks each server.
        """
        base_region = need.results_region or self.own
        usable = [r for r in regions if self.reachable(r)]
        usable = [r for r in usable if r not in need.without_permit]
        base = option(base_region) if base_region in usable else None
        others = [r for r in usable if r != base_region]
        if base is not None and base.untried:
            faster = None
            if not need.staged:
                faster = self._faster(need, base, map(option, others))
            return faster or self._selection(base, CrossingReason.RESULTS)
        reason, optional = _reason_to_leave(need, base)
        options = [option(r) for r in others if self._may_use(r, optional)]
        if optional:
            options = [o for o in options if self._is_in_time(need, o)]
        options.sort(key=self._distance)
        untried = next((o for o in options if o.untried), None)
        if untried is not None:
            return self._selection(untried, reason)
        # Every server that did not fail was tried. As with a single region, failures
        # and earlier attempts then don't exclude a server.
        if base is not None and (base.usable or base.reserve):
            return self._selection(base, CrossingReason.RESULTS)
        tried = next((o for o in options if o.usable or o.reserve), None)
        return self._selection(tried, reason) if tried is not None else None

    def _selection(
        self, option: RegionOption, reason: CrossingReason
    ) -> RegionSelection:
        """Return an option as the selection; a reason applies to other regions only."""
        crossing = reason if option.region != self.own else None
        servers = option.usable or option.reserve
        return RegionSelection(option.region, servers, crossing)

    def _may_use(self, region: str, optional: bool) -> bool:
        return region == self.own or not optional or self._links.admits(region)

    def _distance(self, option: RegionOption) -> tuple[float, str]:
        """Return a key by which the own region sorts first and the nearest second."""
        if option.region == self.own:
            return -1.0, ""
        return self._links.round_trip_seconds(option.region), option.region

    def _faster(
        self, need: RegionNeed, base: RegionOption, others: Iterable[RegionOption]
    ) -> RegionSelection | None:
        """Return another region that is in time while the own one is not."""
        left = need.begin_by - self._clock.now()
        known = self._calls.estimate(need.service, base.region)
        here = self._expected_seconds(need, base, known)
        if here <= left:
            return None
        best: tuple[float, RegionOption] | None = None
        unmeasured: list[RegionOption] = []
        for option in others:
            if not option.untried or not self._may_use(option.region, optional=True):
                continue
            estimate = self._calls.estimate(need.service, option.region)
            if not estimate.known:
                unmeasured.append(option)
                estimate = known
            elif estimate.first_seconds is None:
                estimate = RegionEstimate(known.first_seconds, estimate.refused_share)
            seconds = self._expected_seconds(need, option, estimate)
            if best is None or seconds < best[0]:
                best = seconds, option
        if best is not None and best[0] <= left and best[0] < here:
            return self._selection(best[1], CrossingReason.NOT_IN_TIME)
        for option in unmeasured:
            distance = self._crossing_seconds(need, option.region)
            if distance <= left and self._calls.may_try(need.service, option.region):
                return self._selection(option, CrossingReason.TRIAL)
        return None

    def _is_in_time(self, need: RegionNeed, option: RegionOption) -> bool:
        """Return whether nothing measured says that a region begins too late."""
        estimate = self._calls.estimate(need.service, option.region)
        left = need.begin_by - self._clock.now()
        return self._expected_seconds(need, option, estimate) <= left

    def _expected_seconds(
        self, need: RegionNeed, option: RegionOption, estimate: RegionEstimate
    ) -> float:
        """Return the expected time until the answer of a request begins.

        An unknown time to the first answer counts as none, so that an unmeasured own
        region is used.
        """
        if option.wait_seconds > need.longest_wait:
            return math.inf
        if estimate.refused_share >= MAX_REFUSED_SHARE:
            return math.inf
        # Each accepted call takes this many attempts on average.
        attempts = 1 / (1 - estimate.refused_share)
        capacity = max(1, need.slots * len(option.sound))
        # Beyond their capacity, calls of this entry wait for one another.
        pressure = max(1.0, option.open_calls / capacity)
        seconds = (estimate.first_seconds or 0.0) * attempts * pressure
        return (
            option.wait_seconds + seconds + self._crossing_seconds(need, option.region)
        )

    def _crossing_seconds(self, need: RegionNeed, region: str) -> float:
        """Return how long a call and its bytes are on the way to a region and back."""
        if region == self.own:
            return 0.0
        windows = 1 + need.crossing_bytes / INITIAL_WINDOW_BYTES
        round_trips = 1 + math.floor(math.log2(windows))
        return self._links.round_trip_seconds(region) * round_trips


def _reason_to_leave(
    need: RegionNeed, base: RegionOption | None
) -> tuple[CrossingReason, bool]:
    """Return why a region can't serve a request, and whether leaving it is optional.

    It is optional if the region could serve the request later.
    """
    if not need.own_allowed:
        return CrossingReason.HOME, False
    if need.without_permit:
        return CrossingReason.SERVERS_BUSY, True
    if base is None:
        return CrossingReason.NO_SERVER, False
    if not base.usable:
        return CrossingReason.SERVERS_BUSY, True
    if not base.sound:
        return CrossingReason.NO_SERVER, False
    return CrossingReason.RETRY, need.refused_only
