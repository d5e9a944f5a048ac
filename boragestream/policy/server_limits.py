"""The requests a second that servers in need take from all entries together.

A server names its limit in its answers, and it holds for as long as they name it. It
bounds the sum over all entries, which none of them can see: of 195 entries that send
one request each, a server with a limit of one a second gets twenty times too many. So
each limited server has one entry that grants permits for it, the first by rank among
the live ones, and nobody calls the server without one.

The arithmetic, for a promise of ``FACTOR`` times the limit and ``SLACK`` more in any
``WINDOW_SECONDS``: an entry that grants ``rate`` permits a second, each valid for
``PERMIT_SECONDS``, lets ``burst + (WINDOW_SECONDS + PERMIT_SECONDS) * rate`` requests
through. Usually one entry grants, at the limit itself, with a small burst so that
requests that come together need not wait. What that leaves of the promise is for an
entry that has just become the first in rank, or stands in for it. While entries are
silent, each half of them can have a first one that grants for long; then both grant so
that two of them together stay within the promise: the limit itself up to 1.2 requests a
second, and never less than 0.7 of it.

An answer without a limit ends it, if its call was sent after the one that named it;
so does the end of the server's life. Where a limited server gets no requests, one is
sent there now and then all the same, to notice the end.

Entries pass records on. Each change of a limit raises the revision of its record; of
two records of one revision the lower limit prevails. A wrong one is corrected by the
next answer.

Left out: who grants, and how entries ask (``entry.server_permits``); which server is
chosen (``serving.limited_servers``).
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
VIEWS = 2
# More that begin at once would meet a server in need as one.
MOST_BURST = 3.0
# Between the grant of a permit and the first byte of its request.
PERMIT_SECONDS = 0.25
# A server that takes nothing is still asked so often whether its limit has ended.
LEAST_RATE = 0.25
# How long nobody may ask for a server's permits before a request is sent there all the
# same.
UNASKED_SECONDS = 4.0
# Limits that differ by less are one limit.
SAME_SHARE = 0.05
# A list that omits a server by mistake costs nothing within this time.
FORGET_SECONDS = 120.0


def granting_pace(limit: float, standing: Standing = Standing.FIRST) -> Pace:
    """Return how fast an entry grants permits for a server.

    :param limit: the requests a second that the server takes.
    :param standing: of the entry among those that can grant.
    """
    promised = FACTOR * WINDOW_SECONDS * limit + SLACK
    seconds = WINDOW_SECONDS + PERMIT_SECONDS
    if standing is Standing.DIVIDED:
        rate = (promised / VIEWS - 1) / seconds
        return Pace(max(LEAST_RATE, min(limit, rate)), 1.0)
    first = max(LEAST_RATE, limit)
    left = promised - seconds * first
    burst = min(MOST_BURST, max(1.0, left / VIEWS))
    if standing is Standing.FIRST:
        return Pace(first, burst)
    rate = (left - burst - 1) / seconds
    return Pace(max(LEAST_RATE, min(limit, rate)), 1.0)


class ServerLimits:
    """The limits that one entry knows, and the permits that it grants.

    :param changed: called after each change that other entries should know at once.
    """

    def __init__(
        self, clock: Clock, changed: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._changed = changed
        self._table = GossipTable[LimitRecord](lambda r: r.server.hex(), prevailing)
        # What is limited now, in requests a second; the same of servers known here, by
        # their identity, since each choice looks at all servers of a service.
        self._limits: dict[bytes, float] = {}
        self._by_identity: dict[tuple[str, str, str], float] = {}
        # When an answer showed the record, at whichever entry.
        self._read_at: dict[bytes, float] = {}
        self._granted_at: dict[bytes, float] = {}
        self._free_at: dict[bytes, float] = {}
        self._schedules: dict[bytes, PermitSchedule] = {}
        self._servers: dict[bytes, Server] = {}
        self._listed_at: dict[bytes, float] = {}
        self._lock = threading.RLock()

    @property
    def table(self) -> GossipTable[LimitRecord]:
        """The records, to be exchanged."""
        return self._table

    @property
    def count(self) -> int:
        """How many servers are limited now."""
        return len(self._limits)

    def limit(self, server: Server) -> float | None:
        """Return a server's limit in requests a second; None where it has none."""
        return self._by_identity.get(server.identity) if self._limits else None

    def rate(self, server: Server) -> float:
        """Return the calls a second that a server can be sent; infinite for any."""
        limit = self.limit(server)
        if limit is None:
            return math.inf
        schedule = self._schedules.get(server_key(server))
        pace = schedule.pace if schedule is not None else granting_pace(limit)
        return pace.per_second

    def split(
        self, servers: Sequence[Server]
    ) -> tuple[Sequence[Server], Sequence[Server]]:
        """Return the servers without a limit, and those with one."""
        if not self._limits:
            return servers, ()
        known = self._by_identity
        free = [server for server in servers if server.identity not in known]
        if len(free) == len(servers):
            return servers, ()
        return free, [server for server in servers if server.identity in known]

    def is_unasked(self, server: Server) -> bool:
        """Tell whether no permit for a server was granted here for a while."""
        at = self._granted_at.get(server_key(server), -math.inf)
        return self._clock.now() - at >= UNASKED_SECONDS

    def seconds_left(self, server: Server) -> float:
        """Return the seconds until a permit is to be had, as far as known here."""
        key, now = server_key(server), self._clock.now()
        free_at = self._free_at.get(key, now)
        with self._lock:
            schedule = self._schedules.get(key)
            if schedule is not None:
                free_at = max(free_at, schedule.next_free(now))
        return max(0.0, free_at - now)

    def note_busy(self, server: Server, seconds: float) -> None:
        """Take that no permit is to be had for some seconds."""
        self._free_at[server_key(server)] = self._clock.now() + seconds

    def note_answer(
        self, server: Server, limit: float | None, sent_at: float, whole: bool
    ) -> LimitChange | None:
        """Take the limit that an answer names; None where it is known.

        :param limit: requests a second; None for no limit.
        :param sent_at: the clock's seconds at which its call was sent.
        :param whole: whether it is one that names the limit if there is one.
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
            if _same(before, limit):
                return None
            # An answer that was under way is older than what ended or changed a limit.
            stale = sent_at < self._read_at.get(key, -math.inf)
            if limit is None and (stale or not whole):
                return None
            revision = known.revision + 1 if known is not None else 1
            hundredths = None if limit is None else int(limit * HUNDREDTHS)
            return self.take(LimitRecord(key, revision, hundredths))

    def take(self, record: LimitRecord, age_seconds: float = 0.0) -> LimitChange | None:
        """Merge a record; None where it changes nothing.

        :param age_seconds: how long ago an answer showed it.
        """
        key = record.server
        with self._lock:
            known = self._table.get(key.hex())
            if not self._table.take(record):
                return None
            self._read_at[key] = self._clock.now() - age_seconds
            limit = record.per_second
            if limit is None:
                self._limits.pop(key, None)
                self._free_at.pop(key, None)
            else:
                self._limits[key] = limit
            self._index()
            server = self._servers.get(key)
        self._changed()
        before = known.per_second if known is not None else None
        name = server.name if server is not None else ""
        return LimitChange(name, before, record.per_second)

    def age(self, record: LimitRecord) -> float:
        """Return how many seconds ago an answer showed a record."""
        now = self._clock.now()
        return max(0.0, now - self._read_at.get(record.server, now))

    def known(self, server: Server) -> LimitRecord | None:
        """Return the record of a server; None where it never named a limit."""
        return self._table.get(server_key(server).hex())

    def reserve(
        self, key: bytes, wait_seconds: float, standing: Standing = Standing.FIRST
    ) -> tuple[float | None, float]:
        """Grant a permit for a server, as the one entry that does.

        :param key: the server's short form.
        :param wait_seconds: the longest wait for its beginning.
        :param standing: of this entry among those that can grant.
        :returns: when it begins, in the clock's seconds, None where it was refused; and
            the seconds until it begins, or until the next one would.
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
            begins = schedule.next_free(now) if moment is None else moment
            return moment, begins - now

    def give_back(self, key: bytes, moment: float) -> None:
        """Take a permit back that was not used."""
        with self._lock:
            schedule = self._schedules.get(key)
            if schedule is not None:
                schedule.give_back(moment)

    def take_list(self, servers: Iterable[Server]) -> None:
        """Take which servers are listed, before they are put to use.

        Limits of servers that are gone are forgotten.
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
        self._table.drop([key.hex()])
        for kept in (
            self._limits,
            self._read_at,
            self._granted_at,
            self._free_at,
            self._schedules,
            self._listed_at,
        ):
            kept.pop(key, None)


def _same(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is after
    return abs(before - after) <= max(SAME_SHARE * before, 1 / HUNDREDTHS)
