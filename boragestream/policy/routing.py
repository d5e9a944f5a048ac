"""Chooses the backend server for an attempt.

Each policy is a ``RoutingPolicy``; the published document names the one in use, so
that they can be compared under the same load. Whether a request is admitted at all is
left to ``policy.admission``.
"""

import itertools
import random
from collections.abc import Sequence
from typing import Protocol

from boragestream.policy.load import LoadTable, ServerLoad
from boragestream.policy.servers import Server

__all__ = [
    "ExpectedFinish",
    "LeastConnections",
    "RoundRobin",
    "RoutingPolicy",
    "routing_policies",
]

SAMPLED_SERVERS = 2


class RoutingPolicy(Protocol):
    """Chooses one of some servers."""

    def choose(self, servers: Sequence[Server]) -> Server:
        """Return one of the servers; there is at least one."""


class RoundRobin:
    """Takes the servers in turn; a baseline."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, servers: Sequence[Server]) -> Server:
        """Return the next server."""
        return servers[next(self._turn) % len(servers)]


class LeastConnections:
    """Takes the server with the fewest calls of this entry; a baseline.

    :param loads: what this entry has seen.
    :param rng: breaks ties.
    """

    def __init__(self, loads: LoadTable, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

    def choose(self, servers: Sequence[Server]) -> Server:
        """Return the server with the fewest calls in progress."""
        return min(
            servers,
            key=lambda s: (self._loads.get(s.name).in_progress, self._rng.random()),
        )


class ExpectedFinish:
    """Takes the earlier finish of two sampled servers.

    :param loads: what this entry has seen.
    :param rng: samples the servers.
    """

    def __init__(self, loads: LoadTable, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

    def choose(self, servers: Sequence[Server]) -> Server:
        """Return the sampled server whose call is expected to end first."""
        count = min(SAMPLED_SERVERS, len(servers))
        sampled = self._rng.sample(servers, count)
        return min(sampled, key=lambda s: _expected_seconds(self._loads.get(s.name)))


def _expected_seconds(load: ServerLoad) -> float:
    return (load.in_progress + 1) * max(load.seconds, 0.001)


def routing_policies(loads: LoadTable, rng: random.Random) -> dict[str, RoutingPolicy]:
    """Return every policy by the name that the document uses."""
    return {
        "expected-finish": ExpectedFinish(loads, rng),
        "least-connections": LeastConnections(loads, rng),
        "round-robin": RoundRobin(),
    }
