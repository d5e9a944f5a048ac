"""Limits the requests to cold servers, that is, to servers that have just started.

A cold server crashes when it gets more requests in a second than it tolerates, from all
entries (instances that take requests of callers) together. No entry can count them all,
so each entry must keep the bound by its own behaviour alone.

Load patterns: a data centre comes back into service during a burst; a rolling release;
all servers of a service restart at once while entries start and stop and have different
sets of live entries.

A cold server gets no request while the service has a warm one. If none is warm, each
cold server may be used by a few entries, its senders, which all entries select in the
same way from the live entries that they know. The bound is ``max_per_second`` arrivals
in any second. Without senders, 74 entries that each send one request to the same server
in one second would exceed a bound of 38. A sender has a token bucket with a capacity
of one request, refilled at ``rate``, and thus sends at most ``1 + rate`` requests in a
second. With ``SENDERS`` senders in each of ``PARTITIONS`` groups of entries,
``PARTITIONS * SENDERS * (1 + rate) <= max_per_second`` must hold. An entry uses no cold
server unless other entries have the same set of live entries, so that the bound also
holds while many entries start at once.

A server's published record states for how long it stays cold. The time counts from the
moment at which this entry learns of it, so that it ends too late rather than too early.
When the drain of a data centre is lifted, all its servers count as cold: they may have
turned cold just before the lifting, which is published only seconds later.

A server that turns cold while it is in use is not limited at first: it is treated as
warm until its heartbeat has been relayed to this entry. The choice among the usable
servers is left to ``policy.server_choice``.
"""

import math
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ColdBound", "ColdServers", "sender_rate", "senders"]

# The maximum number of senders of a cold server. With more, the rate of each would be
# too low. With fewer, requests at more entries would find no server while all servers
# are cold.
SENDERS = 4
# In a network partition, two groups of entries each select their own senders.
PARTITIONS = 2
# The capacity of a sender's token bucket, in requests. It is the same at any rate: the
# bound of ``1 + rate`` requests in a second is based on it.
BURST = 1.0
# For how long a ranking of the live entries for a server is reused. They change, and
# ranking them again for each request is too costly.
RANK_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The load that a cold server tolerates, from all entries together.

    :ivar rate: the sustained requests a second while the server is cold.
    :ivar max_per_second: the maximum number of arrivals in any one second.
    :ivar seconds: for how long a server is cold after its start.
    """

    rate: float
    max_per_second: float
    seconds: float


def sender_rate(bound: ColdBound) -> tuple[int, float]:
    """Return the number of senders of a cold server and the rate of each.

    :returns: the number, 0 if not even one sender keeps the bound, and the rate in
        requests a second.
    """
    count = min(SENDERS, int(bound.max_per_second / (PARTITIONS * BURST)))
    if count == 0:
        return 0, 0.0
    max_rate = bound.max_per_second / (PARTITIONS * count) - BURST
    return count, min(max_rate, bound.rate / count)


def senders(server: Server, entries: Iterable[str]) -> list[str]:
    """Return all entries ranked for a cold server by rendezvous hashing.

    The first ones are its senders, as many as ``sender_rate`` returns.
    """

    def rank(entry: str) -> int:
        return xxhash.xxh3_64_intdigest(f"cold {server.name}\0{entry}".encode())

    return sorted(entries, key=rank)


@dataclass(slots=True)
class _Cold:
    """The state of one cold server.

    :ivar until: when the server becomes warm, in the clock's seconds.
    :ivar tokens: the number of requests that this entry may send now as a sender.
    :ivar filled_at: when ``tokens`` was last updated.
    :ivar is_sender: whether this entry is a sender.
    :ivar ranked_at: when ``is_sender`` was last updated.
    """

    until: float
    tokens: float = BURST
    filled_at: float = 0.0
    is_sender: bool = False
    ranked_at: float = float("-inf")


class ColdServers:
    """The cold servers as known to one entry; safe to use from any thread.

    :param own: this entry's name.
    :param bound: returns the load that a cold server of a service tolerates; None if
        the service has no bound.
    :param ranked: returns the live entries ranked for a server, the preferred sender
        first.
    :param agreed: returns whether other entries have the same set of live entries.
    :param failed: returns whether a server failed recently. The warm servers of a lost
        data centre are listed for some time, and keep no cold one out of use.
    """

    def __init__(
        self,
        own: str,
        bound: Callable[[str], ColdBound | None],
        ranked: Callable[[Server], Sequence[str]],
        agreed: Callable[[], bool],
        clock: Clock,
        failed: Callable[[Server], bool] = lambda server: False,
    ) -> None:
        self._own = own
        self._bound = bound
        self._ranked = ranked
        self._agreed = agreed
        self._clock = clock
        self._failed = failed
        self._cold: dict[tuple[str, str, str], _Cold] = {}
        # When the last cold server becomes warm; each choice before checks ``_cold``.
        self._all_warm_at = float("-inf")
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """The number of servers that are cold now."""
        now = self._clock.now()
        return sum(now < cold.until for cold in list(self._cold.values()))

    def take(self, server: Server) -> None:
        """Record the cold time of a server's newly published record."""
        self._note(server, server.cold_seconds)

    def assume_cold(self, servers: Iterable[Server]) -> None:
        """Treat servers as cold that may have turned cold before it was published."""
        for server in servers:
            bound = self._bound(server.service)
            if bound is not None and bound.seconds > 0:
                self._note(server, bound.seconds)

    def usable(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the warm servers; if there are none, the cold ones usable now."""
        now = self._clock.now()
        if now >= self._all_warm_at:
            return servers
        with self._lock:
            return self._preferred(servers, now, lambda s: self._may_send(s, now))

    def within_bound(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the warm servers; if there are none, the cold ones of this sender.

        Unlike ``usable``, this includes cold servers whose next request has to wait.
        """
        now = self._clock.now()
        if now >= self._all_warm_at:
            return servers
        with self._lock:
            return self._preferred(
                servers, now, lambda s: self._wait(s, now) < math.inf
            )

    def room(self, server: Server) -> tuple[float, float]:
        """Return the requests a second to a server, and the seconds until the next.

        :returns: infinite and 0 if the server is warm.
        """
        now = self._clock.now()
        if now < self._all_warm_at:
            with self._lock:
                bound = self._bound(server.service)
                if bound is not None and self._is_cold(server, now):
                    return sender_rate(bound)[1], self._wait(server, now)
        return math.inf, 0.0

    def admit(self, server: Server) -> bool:
        """Return whether a request may be sent now; if so, use a token for it."""
        now = self._clock.now()
        if now >= self._all_warm_at:
            return True
        with self._lock:
            if not self._is_cold(server, now):
                return True
            if not self._may_send(server, now):
                return False
            self._cold[server.identity].tokens -= 1
            return True

    def _note(self, server: Server, seconds: float) -> None:
        now = self._clock.now()
        with self._lock:
            for key in [k for k, cold in self._cold.items() if now >= cold.until]:
                del self._cold[key]
            cold = self._cold.setdefault(server.identity, _Cold(now, filled_at=now))
            cold.until = max(cold.until, now + seconds)
            self._all_warm_at = max(self._all_warm_at, cold.until)

    def _is_cold(self, server: Server, now: float) -> bool:
        cold = self._cold.get(server.identity)
        return (
            cold is not None
            and now < cold.until
            and self._bound(server.service) is not None
        )

    def _preferred(
        self, servers: Sequence[Server], now: float, in_bound: Callable[[Server], bool]
    ) -> Sequence[Server]:
        """Return the warm servers, or the cold ones in their bound if all have failed.

        Warm servers that have failed are returned if there is no cold one either.
        """
        warm = [server for server in servers if not self._is_cold(server, now)]
        if not all(self._failed(server) for server in warm):
            return warm
        cold = [s for s in servers if self._is_cold(s, now) and in_bound(s)]
        return cold or warm

    def _may_send(self, server: Server, now: float) -> bool:
        return self._wait(server, now) <= 0

    def _wait(self, server: Server, now: float) -> float:
        """Return the seconds until a cold server may be sent a request by this entry.

        :returns: infinite if this entry is none of its senders.
        """
        bound = self._bound(server.service)
        if bound is None:
            # A configuration without the bound came into force after ``_is_cold``.
            return 0.0
        cold = self._cold[server.identity]
        count, rate = sender_rate(bound)
        gained = (now - cold.filled_at) * rate
        cold.tokens = min(BURST, cold.tokens + max(0.0, gained))
        cold.filled_at = now
        if now - cold.ranked_at >= RANK_SECONDS:
            cold.is_sender = self._own in self._ranked(server)[:count]
            cold.ranked_at = now
        if not cold.is_sender or not self._agreed():
            return math.inf
        if cold.tokens >= 1:
            return 0.0
        return (1 - cold.tokens) / rate if rate > 0 else math.inf
