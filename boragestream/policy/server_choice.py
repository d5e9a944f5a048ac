"""Chooses the backend server of a forwarded call.

Engines keep the prompts that they have read. Requests that share the longest part of
their prompts are sent to the same engine, as long as it has not far more work than the
others. All entries rank the engines alike, so that they agree without a word. Plain
services have no memory, and the server with the least to do is taken.
"""

import threading
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from boragestream.base.clock import Clock
from boragestream.document.calls import PromptPart, StageResult
from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server

__all__ = [
    "OpenCalls",
    "ServerChoice",
    "near_results",
    "shared_part",
    "shared_tokens",
    "stage_place",
]

# A preferred engine may have this many times the average of the calls of this entry,
# and so many more, before another is taken.
AFFINITY_BOUND = 2.0
AFFINITY_SLACK = 4.0
# Calls that differ by less than one are spread by distance: a server in the own data
# centre counts as this many calls less.
NEAR_CALLS = 0.5
# Results below this size are read over any link in less than a millisecond and cost
# next to nothing between data centres; larger ones are a hundred times as large.
LARGE_RESULT_BYTES = 300_000.0
# To read a shared token again costs about as much as this many bytes of results between
# data centres, so that long prompts go where they are cached and not to their results.
BYTES_A_TOKEN = 1_200
# The first attempts keep away from servers that failed lately; limits by queueing are
# left out, since streams differ in length by far more than any queue costs.
WITHOUT = ("concurrency-limit", "easing", "load-reports")


class OpenCalls:
    """How many calls this entry has open at each server, streams included."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._lock = threading.Lock()

    def count(self, server: Server) -> int:
        """Return the open calls at a server."""
        return self._counts[server.identity]

    def begin(self, server: Server) -> None:
        """Count a call that begins."""
        with self._lock:
            self._counts[server.identity] += 1

    def end(self, server: Server) -> None:
        """Count a call that has ended."""
        with self._lock:
            self._counts[server.identity] -= 1
            if self._counts[server.identity] <= 0:
                del self._counts[server.identity]


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """Chooses servers.

    :ivar loads: which servers failed lately.
    :ivar data_centre: this entry's own.
    """

    loads: LoadTable
    clock: Clock
    data_centre: str
    open_calls: OpenCalls = field(default_factory=OpenCalls)

    def plain(
        self, servers: Sequence[Server], avoid: frozenset[str] = frozenset()
    ) -> Server | None:
        """Return the server with the fewest calls of this entry; None for none."""
        usable = self._usable(servers, avoid)
        return min(usable, key=self._work, default=None)

    def engine(
        self,
        servers: Sequence[Server],
        part: str,
        near: str = "",
        avoid: frozenset[str] = frozenset(),
    ) -> Server | None:
        """Return the engine that most likely holds a part of a prompt.

        :param part: the part; empty where nothing is shared.
        :param near: the data centre whose engines go first, where results to be
            fetched lie there; empty for none.
        """
        usable = self._usable(servers, avoid)
        usable = [s for s in usable if s.data_centre == near] or usable
        if not usable or not part:
            return min(usable, key=self._work, default=None)
        counts = [self.open_calls.count(server) for server in usable]
        bound = AFFINITY_BOUND * sum(counts) / len(counts) + AFFINITY_SLACK
        ranked = sorted(usable, key=lambda s: _rank(part, s), reverse=True)
        for server in ranked:
            if self.open_calls.count(server) <= bound:
                return server
        return min(usable, key=self._work)

    def _usable(self, servers: Sequence[Server], avoid: frozenset[str]) -> list[Server]:
        need = RoutingNeed(avoid=avoid, without=WITHOUT)
        return usable_servers(servers, self.loads, need, self.clock.now())

    def _work(self, server: Server) -> tuple[float, int]:
        near = NEAR_CALLS if server.data_centre == self.data_centre else 0.0
        # Entries of one data centre break ties alike, those of others differently.
        tie = _rank(self.data_centre, server)
        return self.open_calls.count(server) - near, tie


def shared_part(prompt: Sequence[PromptPart]) -> str:
    """Return the part of a prompt by which its engine is chosen; empty for none.

    The last part is the request's own. The one before it is the longest beginning that
    other requests share: an engine that holds it holds everything before it too.
    """
    return prompt[-min(len(prompt), 2)].identity if prompt else ""


def shared_tokens(prompt: Sequence[PromptPart]) -> int:
    """Return how many tokens of a prompt other requests share."""
    return sum(part.tokens for part in prompt[:-1])


def near_results(results: Sequence[StageResult], shared_tokens: int = 0) -> str:
    """Return the data centre near which a call that reads results should run.

    :param shared_tokens: how much of its prompt other requests share.
    :returns: empty where there is too little to read to care.
    """
    sizes: Counter[str] = Counter()
    for result in results:
        sizes[result.data_centre] += result.size
    if not sizes:
        return ""
    centre, size = sizes.most_common(1)[0]
    return (
        centre if size >= max(LARGE_RESULT_BYTES, shared_tokens * BYTES_A_TOKEN) else ""
    )


def stage_place(
    read: Sequence[StageResult], count: int, result_bytes: float, home: str
) -> str:
    """Return the data centre where a stage's pieces should be made; empty for any.

    Large results of a first stage are made beside the engine that holds the prompt of
    their request: neither do they cross data centres, nor is the prompt read again.

    :param read: the results that each of the pieces reads.
    :param count: how many pieces are made.
    :param result_bytes: the approximate size of each result.
    :param home: the data centre of the engine that will most likely read them.
    """
    if read:
        return near_results([*read] * count)
    return home if count * result_bytes >= LARGE_RESULT_BYTES else ""


def _rank(part: str, server: Server) -> int:
    return xxhash.xxh3_64_intdigest(f"{part}\0{server.name}".encode())
