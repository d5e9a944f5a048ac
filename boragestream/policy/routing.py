"""Chooses the backend server for an attempt.

Each policy is a ``RoutingPolicy``; the published document names the one in use, so
that they can be compared under the same load. Whether a request is admitted at all is
left to ``policy.admission``, waiting for a server to ``policy.waiting``.
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
    "Place",
    "RoundRobin",
    "RoutingPolicy",
    "routing_policies",
]

SAMPLED_SERVERS = 4
# Where none of the first sample has room, some more are looked at, never all.
WIDER_SAMPLE = 16
LEAST_SECONDS = 0.0005
# How often its usual time a call is open before its server counts as a straggler.
OVERDUE = 1.5
# Calls below the slots of a server do not wait for one another, yet equal servers
# shall have equally many.
SPREAD = 0.5
OTHER_CENTRE_SECONDS = 0.0002
OTHER_REGION_SECONDS = 0.03
PREFERRED_SERVERS = 2
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 1.0
# A cached prefix does not make up for a straggler.
TOLERATED_SLOWNESS = 2.5


@dataclass(frozen=True, slots=True)
class Place:
    """Where an entry or a server is; an empty region is not known."""

    data_centre: str
    region: str = ""


class RoutingPolicy(Protocol):
    """Chooses one of some servers."""

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return one of the servers, or None where none has room now.

        :param servers: the live servers of one service.
        """


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Takes the servers in turn; a baseline."""

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
    """Takes the server with the fewest calls of this entry; a baseline."""

    loads: LoadTable
    clock: Clock
    rng: random.Random

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return the server with the fewest calls in progress, ties by chance."""
        usable = usable_servers(servers, self.loads, need, self.clock.now())
        key = _calls_then(self.loads, self.rng)
        return min(usable, key=key, default=None)


@dataclass(frozen=True, slots=True)
class ExpectedFinish:
    """Takes the earliest finish of a few sampled servers.

    :ivar home: returns where this entry is.
    """

    loads: LoadTable
    clock: Clock
    rng: random.Random
    home: Callable[[], Place]
    affinity: AffinityTable = field(default_factory=AffinityTable)

    def choose(self, servers: Sequence[Server], need: RoutingNeed) -> Server | None:
        """Return the sampled server whose call is expected to end first.

        A server that likely holds the prompt's prefix goes first, unless it has more
        calls than the sampled ones by far.
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
        wide = self.rng.sample(servers, count)
        first = usable_servers(wide[:SAMPLED_SERVERS], self.loads, need, now)
        if not first and count > SAMPLED_SERVERS:
            first = usable_servers(wide, self.loads, need, now)
        return self._eased(first, need, now)

    def _eased(
        self, servers: list[Server], need: RoutingNeed, now: float
    ) -> list[Server]:
        """Leave out a new server as often as its share says, but never the last."""
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
            seconds = _believed_seconds(load, usual, now)
            slots = load.slots(with_reports)
            calls = load.calls(now, with_reports)
            rounds = max(1.0, (calls + 1) / slots) + SPREAD * calls / slots
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
            slow = _believed_seconds(load, usual, now) > TOLERATED_SLOWNESS * usual
            if not slow and load.calls(now, with_reports) <= bound:
                return server
        return None


def _usual_seconds(loads: list[ServerLoad]) -> float:
    """Return the median time, the lower of two, so that a straggler is not usual."""
    measured = sorted(load.seconds for load in loads if load.seconds)
    usual = measured[(len(measured) - 1) // 2] if measured else 0.0
    return max(usual, LEAST_SECONDS)


def _believed_seconds(load: ServerLoad, usual: float, now: float) -> float:
    """Return a server's time for a call.

    An old measurement fades to the usual time, but not while a call is open there:
    one is enough to measure it again. A call that has been open for longer than it
    should tells of a straggler before any answer does; as long as it took, it will
    take once more.
    """
    believed = usual
    open_seconds = load.oldest_seconds(now)
    if load.seconds:
        age = 0.0 if open_seconds else now - load.seconds_at
        trust = max(0.0, 1.0 - age / load.forget_seconds)
        believed += trust * (load.seconds - usual)
    if open_seconds > OVERDUE * believed:
        believed = 2 * open_seconds
    return max(believed, LEAST_SECONDS)


def _distance_seconds(home: Place, server: Server) -> float:
    if home.region and server.region and home.region != server.region:
        return OTHER_REGION_SECONDS
    return 0.0 if server.data_centre == home.data_centre else OTHER_CENTRE_SECONDS


def _calls_then(
    loads: LoadTable, rng: random.Random
) -> Callable[[Server], tuple[int, float]]:
    return lambda server: (loads.get(server).in_progress, rng.random())


def routing_policies(
    loads: LoadTable, clock: Clock, rng: random.Random, home: Callable[[], Place]
) -> dict[str, RoutingPolicy]:
    """Return every policy by the name that the document uses."""
    return {
        "expected-finish": ExpectedFinish(loads, clock, rng, home),
        "least-connections": LeastConnections(loads, clock, rng),
        "round-robin": RoundRobin(loads, clock),
    }
