"""Which backend servers have just started, and how many requests they may be sent.

A server that is cold crashes when it gets more requests in a second than it tolerates,
whichever entries they come from. Nobody counts them all, so the bound must hold by what
each entry does alone.

Load patterns: a data centre comes back beside a burst; a rolling release; all servers
of a service come back at once, while entries come and go and know different others.

Warm servers go first: a cold one gets nothing while there is a warm one. Where none is
warm each cold one may be used by a few entries, its senders, chosen alike by all from
those that they know: of 74 entries that could send one request each in the same second,
all together would pass a bound of 38. The arithmetic, for a bound of ``most`` arrivals
in any second: a sender has a bucket of one request that fills up at ``rate``, so that
it sends ``1 + rate`` in a second at the most; ``SENDERS`` of them, in each of ``VIEWS``
opinions on who is alive, send ``VIEWS * SENDERS * (1 + rate) <= most``. An entry that
has not agreed with others yet on who is there uses no cold server at all, however many
start at once.

A server says with its published entry for how long it stays cold; the time counts from
when the word is known here, so that it ends too late, never too early. A data centre
that was drained is taken back with all of its servers cold, since they may have turned
cold right before, and that is published seconds later.

Left out: that a server turns cold while it is in use is known once it is published, a
heartbeat and a relay later. Which of the allowed servers is taken is decided by
``policy.server_choice``.
"""

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ColdBound", "ColdServers", "sender_rate", "senders"]

# More would leave each of them too small a part; fewer, and requests that come to other
# entries find no server for as long as all are cold.
SENDERS = 4
# Two halves of the entries that know nothing of each other each name senders of theirs.
VIEWS = 2
# A sender may have one request in hand at once, however slowly its bucket fills up.
BURST = 1.0
# Entries come and go, and their names are ranked for each server: not at each request.
RANK_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold server tolerates.

    :ivar rate: requests a second for as long as it is cold.
    :ivar most: arrivals in any one second, from all entries.
    :ivar seconds: how long a server is cold after its start.
    """

    rate: float
    most: float
    seconds: float


def sender_rate(bound: ColdBound) -> tuple[int, float]:
    """Return how many entries may send to a cold server, and each one's rate.

    :returns: requests a second; no senders where not even one keeps the bound.
    """
    count = min(SENDERS, int(bound.most / (VIEWS * BURST)))
    if count == 0:
        return 0, 0.0
    spare = bound.most / (VIEWS * count) - BURST
    return count, min(spare, bound.rate / count)


def senders(server: Server, entries: Iterable[str]) -> list[str]:
    """Return the entries in their rank for a cold server, by rendezvous hashing."""

    def rank(entry: str) -> int:
        return xxhash.xxh3_64_intdigest(f"cold {server.name}\0{entry}".encode())

    return sorted(entries, key=rank)


@dataclass(slots=True)
class _Cold:
    """One cold server.

    :ivar until: when it is warm, in the clock's seconds.
    :ivar tokens: how many requests this entry may send now, if it is a sender.
    :ivar filled_at: when they were counted last.
    :ivar sends: whether this entry is a sender.
    :ivar ranked_at: when that was looked up last.
    """

    until: float
    tokens: float = BURST
    filled_at: float = 0.0
    sends: bool = False
    ranked_at: float = float("-inf")


class ColdServers:
    """The cold servers as one entry knows them; any thread may ask.

    :param own: this entry's name.
    :param bound: returns what a cold server of a service tolerates; None where any
        number of requests is.
    :param ranked: returns the live entries in their rank for a server, the first that
        may send to it first.
    :param agreed: tells whether other entries know the same live ones.
    """

    def __init__(
        self,
        own: str,
        bound: Callable[[str], ColdBound | None],
        ranked: Callable[[Server], Sequence[str]],
        agreed: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._bound = bound
        self._ranked = ranked
        self._agreed = agreed
        self._clock = clock
        self._cold: dict[tuple[str, str, str], _Cold] = {}
        # When the last of them is warm: until then each choice looks them up.
        self._all_warm_at = float("-inf")
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many servers are cold now."""
        now = self._clock.now()
        return sum(now < cold.until for cold in list(self._cold.values()))

    def take(self, server: Server) -> None:
        """Take a server's entry that was published just now."""
        self._note(server, server.cold_seconds)

    def assume_cold(self, servers: Iterable[Server]) -> None:
        """Take servers for cold that may have turned so without a word."""
        for server in servers:
            bound = self._bound(server.service)
            if bound is not None and bound.seconds > 0:
                self._note(server, bound.seconds)

    def usable(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the warm servers; where there is none, the cold ones to use now."""
        now = self._clock.now()
        if now >= self._all_warm_at:
            return servers
        with self._lock:
            warm = [server for server in servers if not self._is_cold(server, now)]
            return warm or [s for s in servers if self._may_send(s, now)]

    def admit(self, server: Server) -> bool:
        """Tell whether a request may be sent now; one that may is counted."""
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

    def _may_send(self, server: Server, now: float) -> bool:
        bound = self._bound(server.service)
        if bound is None:
            # A configuration without it came into force meanwhile.
            return True
        cold = self._cold[server.identity]
        count, rate = sender_rate(bound)
        gained = (now - cold.filled_at) * rate
        cold.tokens = min(BURST, cold.tokens + max(0.0, gained))
        cold.filled_at = now
        if now - cold.ranked_at >= RANK_SECONDS:
            cold.sends = self._own in self._ranked(server)[:count]
            cold.ranked_at = now
        return cold.sends and cold.tokens >= 1 and self._agreed()
