"""Request rate limits of overloaded servers, enforced over all entries together.

An overloaded server states a limit in its answers, and the limit applies as long as the
answers state it. It bounds the sum over all entries, which no single entry can see: if
195 entries send one request each, a server with a limit of one request a second gets
twenty times too many. Therefore each limited server has one granting entry, the live
entry that ranks first for it, and no entry calls the server without a permit.

A server must get at most ``FACTOR`` times its limit plus ``SLACK`` requests in any
``WINDOW_SECONDS``. An entry that grants ``rate`` permits a second, each valid for
``PERMIT_SECONDS``, admits ``burst + (WINDOW_SECONDS + PERMIT_SECONDS) * rate``
requests. Usually one entry grants permits, at the limit itself, with a small burst so
that simultaneous requests need not wait. The remainder of the bound is reserved for an
entry that has just become the first in rank, or that replaces the first one
temporarily. During a network partition each half of the entries can have its own first
entry for a long time. Both then grant at a rate that keeps the two together within the
bound: the limit itself up to 1.2 requests a second, and never less than 0.7 of it.

An answer without a limit ends the limit if its call was sent after the call whose
answer stated it. The end of the server's incarnation ends it too. A limited server that
gets no requests is still sent one from time to time, to detect the end of its limit.

Entries exchange their records. Each change of a limit raises the revision of its
record; of two records with the same revision, the one with the lower limit prevails.
The next answer corrects a wrong record.

Which entry grants permits and how entries request them is left to
``entry.server_permits``; the choice of a server is left to ``serving.limited_servers``.
"""

import math
import threading
from collections.abc import Callable, Iterable, Sequence

from boragestream.base.clock import Clock
from boragestream.policy.gossip import GossipTable
from boragestream.policy.granters import Standing
from boragestream.policy.limit_records import (
    HUNDREDTHS,
    LimitChange,
    LimitRecord,
    prevailing,
    server_key,
)
from boragestream.policy.permit_schedule import Pace, PermitSchedule
from boragestream.policy.servers import Server

__all__ = ["PERMIT_SECONDS", "ServerLimits", "granting_pace"]

WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5.0
# A network partition can divide the entries into this many groups.
PARTITIONS = 2
# A larger burst would reach an overloaded server as one simultaneous load.
MAX_BURST = 3.0
# The longest time from the start of a permit to the first byte of its request.
PERMIT_SECONDS = 0.25
# Permits are granted at least at this rate, also for a server with a limit of 0, to
# detect that its limit has ended.
MIN_RATE = 0.25
# A server is sent a request if no permit for it was granted for this long.
IDLE_SECONDS = 4.0
# Limits whose relative difference is at most this count as equal.
LIMIT_TOLERANCE = 0.05
# A server keeps its limit if a list omits it by mistake for less than this time.
FORGET_SECONDS = 120.0


def granting_pace(limit: float, standing: Standing = Standing.FIRST) -> Pace:
    """Return the rate and burst at which an entry grants permits for a server.

    :param limit: the server's limit in requests a second.
    :param standing: the entry's standing among the granting entries.
    """
    bound = FACTOR * WINDOW_SECONDS * limit + SLACK
    seconds = WINDOW_SECONDS + PERMIT_SECONDS
    if standing is Standing.DIVIDED:
        rate = (bound / PARTITIONS - 1) / seconds
        return Pace(max(MIN_RATE, min(limit, rate)), 1.0)
    first_rate = max(MIN_RATE, limit)
    remainder = bound - seconds * first_rate
    burst = min(MAX_BURST, max(1.0, remainder / PARTITIONS))
    if standing is Standing.FIRST:
        return Pace(first_rate, burst)
    rate = (remainder - burst - 1) / seconds
    return Pace(max(MIN_RATE, min(limit, rate)), 1.0)


class ServerLimits:
    """The server limits that one entry knows, and the permits that it grants.

    :param changed: called after each change that must be sent to other entries at once.
    """

    def __init__(
        self, clock: Clock, changed: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._on_change = changed
        self._table = GossipTable[LimitRecord](lambda r: r.server.hex(), prevailing)
        # Current limits in requests a second by server key. The second dictionary holds
        # those of listed servers by identity, which is faster to look up: each choice
        # checks all servers of a service.
        self._limits: dict[bytes, float] = {}
        self._by_identity: dict[tuple[str, str, str], float] = {}
        # When an answer, to this entry or another, last confirmed the record.
        self._confirmed_at: dict[bytes, float] = {}
        self._granted_at: dict[bytes, float] = {}
        self._free_at: dict[bytes, float] = {}
        self._schedules: dict[bytes, PermitSchedule] = {}
        self._servers: dict[bytes, Server] = {}
        self._listed_at: dict[bytes, float] = {}
        self._lock = threading.RLock()

    @property
    def table(self) -> GossipTable[LimitRecord]:
        """The records that entries exchange."""
        return self._table

    @property
    def count(self) -> int:
        """The number of servers that have a limit now."""
        return len(self._limits)

    def limit(self, server: Server) -> float | None:
        """Return a server's limit in requests a second; None if it has none."""
        return self._by_identity.get(server.identity) if self._limits else None

    def rate(self, server: Server) -> float:
        """Return the most calls a second to a server; infinite without a limit."""
        limit = self.limit(server)
        if limit is None:
            return math.inf
        schedule = self._schedules.get(server_key(server))
        pace = schedule.pace if schedule is not None else granting_pace(limit)
        return pace.per_second

    def split(
        self, servers: Sequence[Server]
    ) -> tuple[Sequence[Server], Sequence[Server]]:
        """Return the servers without a limit and the servers with one."""
        if not self._limits:
            return servers, ()
        limits = self._by_identity
        unlimited = [server for server in servers if server.identity not in limits]
        if len(unlimited) == len(servers):
            return servers, ()
        return unlimited, [server for server in servers if server.identity in limits]

    def is_idle(self, server: Server) -> bool:
        """Return whether this entry granted no permit in ``IDLE_SECONDS``."""
        granted_at = self._granted_at.get(server_key(server), -math.inf)
        return self._clock.now() - granted_at >= IDLE_SECONDS

    def seconds_left(self, server: Server) -> float:
        """Return the seconds until a permit is free, as far as this entry knows."""
        key, now = server_key(server), self._clock.now()
        free_at = self._free_at.get(key, now)
        with self._lock:
            schedule = self._schedules.get(key)
            if schedule is not None:
                free_at = max(free_at, schedule.next_free(now))
        return max(0.0, free_at - now)

    def note_unavailable(self, server: Server, seconds: float) -> None:
        """Record that no permit for a server is free for some seconds."""
        self._free_at[server_key(server)] = self._clock.now() + seconds

    def note_answer(
        self, server: Server, limit: float | None, sent_at: float, whole: bool
    ) -> LimitChange | None:
        """Record the limit stated by an answer; return None if nothing changes.

        :param limit: requests a second; None for no limit.
        :param sent_at: when the call was sent, in the clock's seconds.
        :param whole: whether the answer would state the limit if the server had one.
        """
        if limit is None and self.limit(server) is None:
            return None
        key = server_key(server)
        with self._lock:
            if key not in self._servers:
                self._servers[key] = server
                self._index()
            known = self._table.get(key.hex())
            before = known.per_second if known is not None else None
            if _is_same_limit(before, limit):
                return None
            # A call sent before the record was last confirmed can't end the limit.
            stale = sent_at < self._confirmed_at.get(key, -math.inf)
            if limit is None and (stale or not whole):
                return None
            revision = known.revision + 1 if known is not None else 1
            hundredths = None if limit is None else int(limit * HUNDREDTHS)
            return self.take(LimitRecord(key, revision, hundredths))

    def take(self, record: LimitRecord, age_seconds: float = 0.0) -> LimitChange | None:
        """Merge a record; return None if it changes nothing.

        :param age_seconds: the time since an answer confirmed the record.
        """
        key = record.server
        with self._lock:
            known = self._table.get(key.hex())
            if not self._table.merge(record):
                return None
            self._confirmed_at[key] = self._clock.now() - age_seconds
            limit = record.per_second
            if limit is None:
                self._limits.pop(key, None)
                self._free_at.pop(key, None)
            else:
                self._limits[key] = limit
            self._index()
            server = self._servers.get(key)
        self._on_change()
        before = known.per_second if known is not None else None
        name = server.name if server is not None else ""
        return LimitChange(name, before, record.per_second)

    def age(self, record: LimitRecord) -> float:
        """Return the seconds since an answer confirmed a record."""
        now = self._clock.now()
        return max(0.0, now - self._confirmed_at.get(record.server, now))

    def record(self, server: Server) -> LimitRecord | None:
        """Return the record of a server; None if it never stated a limit."""
        return self._table.get(server_key(server).hex())

    def reserve(
        self, key: bytes, wait_seconds: float, standing: Standing = Standing.FIRST
    ) -> tuple[float | None, float]:
        """Grant a permit for a server; only its granting entry calls this.

        :param key: the server's key.
        :param wait_seconds: the longest wait until the permit begins.
        :param standing: this entry's standing among the granting entries.
        :returns: when the permit begins, in the clock's seconds, or None if it was
            refused; and the seconds until it begins, or until the next permit could.
        """
        now = self._clock.now()
        with self._lock:
            limit = self._limits.get(key)
            if limit is None:
                return now, 0.0
            pace = granting_pace(limit, standing)
            schedule = self._schedules.setdefault(key, PermitSchedule(pace))
            schedule.pace = pace
            moment = schedule.reserve(now, now + wait_seconds)
            if moment is not None:
                self._granted_at[key] = now
            begins_at = schedule.next_free(now) if moment is None else moment
            return moment, begins_at - now

    def release(self, key: bytes, moment: float) -> None:
        """Return an unused permit to the schedule."""
        with self._lock:
            schedule = self._schedules.get(key)
            if schedule is not None:
                schedule.release(moment)

    def take_list(self, servers: Iterable[Server]) -> None:
        """Record the listed servers, before they are used.

        Limits of servers that were not listed for ``FORGET_SECONDS`` are deleted.
        """
        now = self._clock.now()
        with self._lock:
            self._servers = {server_key(server): server for server in servers}
            for record in self._table.records.values():
                key = record.server
                if key in self._servers:
                    self._listed_at[key] = now
                elif now - self._listed_at.setdefault(key, now) > FORGET_SECONDS:
                    self._forget(key)
            self._index()

    def _index(self) -> None:
        limits = self._limits.items()
        known = ((self._servers.get(key), limit) for key, limit in limits)
        self._by_identity = {s.identity: limit for s, limit in known if s is not None}

    def _forget(self, key: bytes) -> None:
        self._table.remove([key.hex()])
        for by_key in (
            self._limits,
            self._confirmed_at,
            self._granted_at,
            self._free_at,
            self._schedules,
            self._listed_at,
        ):
            by_key.pop(key, None)


def _is_same_limit(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is after
    return abs(before - after) <= max(LIMIT_TOLERANCE * before, 1 / HUNDREDTHS)
