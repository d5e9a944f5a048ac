"""Finds the servers that most likely have a prompt's prefix in their cache.

The servers of a service are placed on a consistent-hash ring. A server that is added or
removed moves only its own prefixes, and a look-up does not visit all servers as
rendezvous hashing would. Whether a server has room is left to ``policy.routing``.
"""

import bisect
import threading
from collections.abc import Iterator, Sequence

import xxhash

from boragestream.policy.servers import Server

__all__ = ["AffinityTable", "prefix_key"]

PREFIX_CHARACTERS = 256
POINTS_PER_SERVER = 16
MAX_RINGS = 64


def prefix_key(model: str, prompt: str) -> int:
    """Return the key shared by all prompts that begin with the same characters."""
    text = f"{model}\0{prompt[:PREFIX_CHARACTERS]}"
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


class _Ring:
    """The hash points of a service's servers, in ascending order."""

    def __init__(self, servers: Sequence[Server]) -> None:
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{server.name}#{number}".encode()), index)
            for index, server in enumerate(servers)
            for number in range(POINTS_PER_SERVER)
        )
        self.servers = servers
        self._hashes = [point for point, _ in points]
        self._indices = [index for _, index in points]

    def from_key(self, key: int) -> Iterator[Server]:
        """Yield the servers of the points that follow a key, repetitions included."""
        start = bisect.bisect(self._hashes, key)
        count = len(self._indices)
        for step in range(count):
            yield self.servers[self._indices[(start + step) % count]]


class AffinityTable:
    """The hash rings by service; a ring is rebuilt when the servers have changed."""

    def __init__(self) -> None:
        self._rings: dict[str, _Ring] = {}
        self._lock = threading.Lock()

    def preferred(
        self, servers: Sequence[Server], key: int, count: int
    ) -> list[Server]:
        """Return the first ``count`` distinct servers for a prefix, the best first.

        :param servers: all servers of one service, at least one. The ring is reused as
            long as the same object is passed.
        """
        found: list[Server] = []
        for server in self._ring(servers).from_key(key):
            if server not in found:
                found.append(server)
            if len(found) == count:
                break
        return found

    def _ring(self, servers: Sequence[Server]) -> _Ring:
        service = servers[0].service
        ring = self._rings.get(service)
        if ring is None or ring.servers is not servers:
            ring = _Ring(servers)
            with self._lock:
                if len(self._rings) >= MAX_RINGS:
                    self._rings.clear()
                self._rings[service] = ring
        return ring
