"""Chooses the backend server for an attempt.

Each policy is a ``RoutingPolicy``. The published document names the policy in use, so
that policies can be compared under the same load. Admission of requests is left to
``policy.admission``, waiting for a server to ``policy.waiting``.
"""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.policy.affinity import AffinityTable
from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.easing import eased_share
from boragestream.policy.load import LoadTable, ServerLoad
from boragestream.policy.servers import Server

__all__ = [
    "ExpectedFinish",
    "LeastConnections",
    "Location",
    "RoundRobin",
    "RoutingPolicy",
    "routing_policies",
]

SAMPLED_SERVERS = 4
# If no server of the first sample has room, this many servers are checked, never all.
WIDER_SAMPLE = 16
MIN_SECONDS = 0.0005
# A server counts as a straggler once a call there has been open for this many times
# its usual time.
OVERDUE_FACTOR = 1.5
# The weight of calls that do not exceed a server's slots. They do not wait for one
# another, but equal servers shall have equal numbers of calls.
SPREAD_WEIGHT = 0.5
OTHER_CENTRE_SECONDS = 0.0002
OTHER_REGION_SECONDS = 0.03
PREFERRED_SERVERS = 2
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 1.0
# A server that is slower than this many times the usual time is not preferred: its
# cached prefix does not compensate for the slowness.
MAX_SLOWDOWN = 2.5


@dataclass(frozen=True, slots=True)
class Location:
    """The location of an entry or a server; the region is empty if not known."""

    data_centre: str
    region: str = ""


class RoutingPolicy(Protocol):
    """Chooses one of several servers."""

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return one of the servers, or None if none has room now.

        :param servers: the live servers of one service.
        """


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Chooses the servers in turn; a baseline for comparison."""

    loads: LoadTable
    clock: Clock
    _turn: itertools.count = field(default_factory=itertools.count)

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return the next server that has room."""
        start = next(self._turn)
        count = len(servers)
        turns = [servers[(start + step) % count] for step in range(count)]
        usable = usable_servers(turns, self.loads, need, self.clock.now())
        return usable[0] if usable else None


@dataclass(frozen=True, slots=True)
class LeastConnections:
    """Chooses the server with the fewest calls of this entry; a baseline."""

    loads: LoadTable
    clock: Clock
    rng: random.Random

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return the server with the fewest calls in progress; break ties at random."""
        usable = usable_servers(servers, self.loads, need, self.clock.now())
        key = _fewest_calls_key(self.loads, self.rng)
        return min(usable, key=key, default=None)


@dataclass(frozen=True, slots=True)
class ExpectedFinish:
    """Chooses the server with the earliest expected finish out of a small sample.

    :ivar home: returns this entry's location.
    """

    loads: LoadTable
    clock: Clock
    rng: random.Random
    home: Callable[[], Location]
    affinity: AffinityTable = field(default_factory=AffinityTable)

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return the sampled server whose call is expected to end first.

        A server that probably has the prompt's prefix cached is preferred, unless it
        has far more calls than the sampled ones.
        """
        now = self.clock.now()
        usable = self._sample(servers, need, now)
        if not usable:
            return None
        if need.prefix is not None and "affinity" not in need.without:
            preferred = self._preferred(servers, need, usable, now)
            if preferred is not None:
                return preferred
        return self._earliest(usable, need, now)

    def _sample(
        self, servers: Sequence[Server], need: RoutingNeed, now: float
    ) -> list[Server]:
        count = min(WIDER_SAMPLE, len(servers))
        sample = self.rng.sample(servers, count)
        usable = usable_servers(sample[:SAMPLED_SERVERS], self.loads, need, now)
        if not usable and count > SAMPLED_SERVERS:
            usable = usable_servers(sample, self.loads, need, now)
        return self._eased(usable, need, now)

    def _eased(
        self, servers: list[Server], need: RoutingNeed, now: float
    ) -> list[Server]:
        """Randomly exclude new servers according to their shares, but never all."""
        if "easing" in need.without:
            return servers
        shares = [eased_share(self.loads.get(s).eased_from, now) for s in servers]
        kept = [
            server
            for server, share in zip(servers, shares, strict=True)
            if share >= 1.0 or self.rng.random() < share
        ]
        return kept or servers

    def _earliest(self, servers: list[Server], need: RoutingNeed, now: float) -> Server:
        loads = [self.loads.get(server) for server in servers]
        usual = _usual_seconds(loads)
        home = self.home()
        with_reports = "load-reports" not in need.without

        def expected(pair: tuple[Server, ServerLoad]) -> float:
            server, load = pair
            seconds = _estimated_seconds(load, usual, now)
            slots = load.slots(with_reports)
            calls = load.calls(now, with_reports)
            rounds = max(1.0, (calls + 1) / slots) + SPREAD_WEIGHT * calls / slots
            return rounds * seconds + _distance_seconds(home, server)

        return min(zip(servers, loads, strict=True), key=expected)[0]

    def _preferred(
        self,
        servers: Sequence[Server],
        need: RoutingNeed,
        sampled: list[Server],
        now: float,
    ) -> Server | None:
        with_reports = "load-reports" not in need.without
        calls = [self.loads.get(s).calls(now, with_reports) for s in sampled]
        bound = AFFINITY_BOUND * sum(calls) / len(calls) + AFFINITY_SLACK
        likely = self.affinity.preferred(servers, need.prefix, PREFERRED_SERVERS)
        for server in usable_servers(likely, self.loads, need, now, strict=True):
            load = self.loads.get(server)
            usual = _usual_seconds([load, *map(self.loads.get, sampled)])
            slow = _estimated_seconds(load, usual, now) > MAX_SLOWDOWN * usual
            if not slow and load.calls(now, with_reports) <= bound:
                return server
        return None


def _usual_seconds(loads: list[ServerLoad]) -> float:
    """Return the lower median, so that a straggler of two servers does not raise it."""
    measured = sorted(load.seconds for load in loads if load.seconds)
    usual = measured[(len(measured) - 1) // 2] if measured else 0.0
    return max(usual, MIN_SECONDS)


def _estimated_seconds(load: ServerLoad, usual: float, now: float) -> float:
    """Return the estimated time of a call on a server.

    The weight of an old measurement decays towards the usual time, but not while a call
    is open on the server, since one call suffices to measure it again. An overdue call
    reveals a straggler before any answer does; it is expected to take as long again as
    it has been open.
    """
    estimate = usual
    open_seconds = load.oldest_seconds(now)
    if load.seconds:
        age = 0.0 if open_seconds else now - load.seconds_at
        weight = max(0.0, 1.0 - age / load.forget_seconds)
        estimate += weight * (load.seconds - usual)
    if open_seconds > OVERDUE_FACTOR * estimate:
        estimate = 2 * open_seconds
    return max(estimate, MIN_SECONDS)


def _distance_seconds(home: Location, server: Server) -> float:
    if home.region and server.region and home.region != server.region:
        return OTHER_REGION_SECONDS
    return 0.0 if server.data_centre == home.data_centre else OTHER_CENTRE_SECONDS


def _fewest_calls_key(
    loads: LoadTable, rng: random.Random
) -> Callable[[Server], tuple[int, float]]:
    return lambda server: (loads.get(server).in_progress, rng.random())


def routing_policies(
    loads: LoadTable, clock: Clock, rng: random.Random, home: Callable[[], Location]
) -> dict[str, RoutingPolicy]:
    """Return all policies by their names in the document."""
    return {
        "expected-finish": ExpectedFinish(loads, clock, rng, home),
        "least-connections": LeastConnections(loads, clock, rng),
        "round-robin": RoundRobin(loads, clock),
    }
