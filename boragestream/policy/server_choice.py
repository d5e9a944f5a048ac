"""Chooses the backend server of a forwarded call.

Engines cache the prompts that they have read. Requests that share the longest part of
their prompts are sent to the same engine, unless it has far more open calls than the
others. All entries compute the same ranking of engines, so that they agree without
communication. Plain services have no cache, so that the server with the fewest open
calls is chosen. Where there are several regions, the servers passed in are of one
region, which ``policy.region_choice`` has chosen; each region caches its own prompts.
"""

import threading
from collections import Counter
from collections.abc import Iterable, Sequence
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
    "rank_engines",
    "reread_bytes",
    "results_data_centre",
    "shared_part",
    "shared_tokens",
    "stage_data_centre",
]

# A preferred engine is used up to AFFINITY_BOUND times the average number of this
# entry's calls per engine, plus AFFINITY_SLACK.
AFFINITY_BOUND = 2.0
AFFINITY_SLACK = 4.0
# Among servers with equally many calls the nearer one is chosen: a server in the
# entry's own data centre counts as having this many calls less.
NEAR_CALLS = 0.5
# Smaller results are read over any link in less than a millisecond and cost almost
# nothing between data centres; larger ones are about a hundred times as large.
LARGE_RESULT_BYTES = 300_000.0
# Reading a shared token again costs about as much as a transfer of this many bytes of
# results between data centres. A long prompt therefore goes to the engine that caches
# it and not to the data centre of its results.
BYTES_PER_TOKEN = 1_200
# First attempts avoid servers that failed recently. Limits that depend on queueing are
# disabled, since the lengths of streams differ by far more than any queueing time.
DISABLED_MECHANISMS = ("concurrency-limit", "easing", "load-reports")


class OpenCalls:
    """The number of calls that this entry has open at each server, with streams."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._lock = threading.Lock()

    def count(self, server: Server) -> int:
        """Return the number of open calls at a server."""
        return self._counts[server.identity]

    def begin(self, server: Server) -> None:
        """Record the start of a call."""
        with self._lock:
            self._counts[server.identity] += 1

    def end(self, server: Server) -> None:
        """Record the end of a call."""
        with self._lock:
            self._counts[server.identity] -= 1
            if self._counts[server.identity] <= 0:
                del self._counts[server.identity]


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """Chooses servers.

    :ivar loads: provides which servers failed recently.
    :ivar data_centre: this entry's data centre.
    """

    loads: LoadTable
    clock: Clock
    data_centre: str
    open_calls: OpenCalls = field(default_factory=OpenCalls)

    def plain(
        self, servers: Sequence[Server], avoid: frozenset[str] = frozenset()
    ) -> Server | None:
        """Return the server with the fewest calls of this entry; None without any."""
        usable = self._usable(servers, avoid)
        return min(usable, key=self._work, default=None)

    def engine(
        self,
        servers: Sequence[Server],
        part: str,
        near: str = "",
        avoid: frozenset[str] = frozenset(),
    ) -> Server | None:
        """Return the engine that most likely has a part of a prompt cached.

        :param part: the identity of the part; empty if no part is shared.
        :param near: the data centre whose engines are preferred, because it holds
            results that the call reads; empty for no preference.
        """
        usable = self._usable(servers, avoid)
        usable = [s for s in usable if s.data_centre == near] or usable
        if not usable or not part:
            return min(usable, key=self._work, default=None)
        counts = [self.open_calls.count(server) for server in usable]
        bound = AFFINITY_BOUND * sum(counts) / len(counts) + AFFINITY_SLACK
        for server in rank_engines(part, usable):
            if self.open_calls.count(server) <= bound:
                return server
        return min(usable, key=self._work)

    def sound(self, servers: Sequence[Server]) -> list[Server]:
        """Return the servers that did not fail recently; it may return none."""
        need = RoutingNeed(without=DISABLED_MECHANISMS)
        now = self.clock.now()
        return usable_servers(servers, self.loads, need, now, strict=True)

    def _usable(self, servers: Sequence[Server], avoid: frozenset[str]) -> list[Server]:
        need = RoutingNeed(avoid=avoid, without=DISABLED_MECHANISMS)
        return usable_servers(servers, self.loads, need, self.clock.now())

    def _work(self, server: Server) -> tuple[float, int]:
        near = NEAR_CALLS if server.data_centre == self.data_centre else 0.0
        # Entries of one data centre break ties the same way; each data centre breaks
        # them differently.
        tie = _rank(self.data_centre, server)
        return self.open_calls.count(server) - near, tie


def rank_engines(part: str, engines: Iterable[Server]) -> list[Server]:
    """Return engines in the order in which they are chosen for a part of a prompt."""
    return sorted(engines, key=lambda server: _rank(part, server), reverse=True)


def shared_part(prompt: Sequence[PromptPart]) -> str:
    """Return the part of a prompt by which its engine is chosen; empty for none.

    The last part belongs to the request alone. The part before it ends the longest
    prefix that other requests share: an engine that has it cached also has all parts
    before it.
    """
    return prompt[-min(len(prompt), 2)].identity if prompt else ""


def shared_tokens(prompt: Sequence[PromptPart]) -> int:
    """Return the number of a prompt's tokens that other requests share."""
    return sum(part.tokens for part in prompt[:-1])


def reread_bytes(prompt: Sequence[PromptPart]) -> float:
    """Return how many bytes of transfer reading a shared prompt again is worth."""
    return shared_tokens(prompt) * BYTES_PER_TOKEN


def results_data_centre(results: Sequence[StageResult], shared_tokens: int = 0) -> str:
    """Return the data centre in which a call that reads results should run.

    :param shared_tokens: the number of its prompt's tokens that other requests share.
    :returns: empty if the results are too small to matter.
    """
    sizes: Counter[str] = Counter()
    for result in results:
        sizes[result.data_centre] += result.size
    if not sizes:
        return ""
    centre, size = sizes.most_common(1)[0]
    return (
        centre
        if size >= max(LARGE_RESULT_BYTES, shared_tokens * BYTES_PER_TOKEN)
        else ""
    )


def stage_data_centre(
    read: Sequence[StageResult], count: int, result_bytes: float, home: str
) -> str:
    """Return the data centre in which a stage's pieces should run; empty for any.

    Large results of a first stage are produced in the data centre of the engine that
    has the request's prompt cached. They then need no transfer between data centres,
    and the prompt need not be read again.

    :param read: the results that each of the pieces reads.
    :param count: the number of pieces.
    :param result_bytes: the approximate size of each result.
    :param home: the data centre of the engine that will most likely read the results.
    """
    if read:
        return results_data_centre([*read] * count)
    return home if count * result_bytes >= LARGE_RESULT_BYTES else ""


def _rank(part: str, server: Server) -> int:
    return xxhash.xxh3_64_intdigest(f"{part}\0{server.name}".encode())
