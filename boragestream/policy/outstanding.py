"""Bounds what this entry leaves outstanding at servers that crash under what they hold.

It answers the load of servers whose memory their own requests exceed. An entry does not
know a server's memory or the requests of other entries. It counts the bytes and prompt
tokens of its own open calls by server. If a server crashes while more than is typical
is outstanding, the server gets at most a share of that for a while, under its name, and
thus also after a restart. A crash with little outstanding teaches nothing.

A request that was on a server when it crashed is not sent to that server again for the
same time. If all servers of a service exceed their bounds, the bounds are ignored: they
move load, and other limits refuse it.
"""

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["OutstandingCall", "OutstandingWork", "WorkSize"]

# A crash counts as one of load if at least this many times the typical work was
# outstanding; otherwise single requests and faults explain crashes better.
MUCH_FACTOR = 1.5
# The share of what was outstanding at a crash that the server may get afterwards.
BOUND_SHARE = 0.5
BOUND_SECONDS = 30.0
# The calls of a crashed server end one after another within this time, before and after
# the crash is noticed.
CRASH_SECONDS = 3.0
# Weight of a new value in the typical work of a service's servers.
TYPICAL_WEIGHT = 0.02


@dataclass(frozen=True, slots=True)
class WorkSize:
    """What a call makes its server hold.

    :ivar size: the bytes of the request.
    :ivar tokens: the tokens of its prompt.
    """

    size: int = 0
    tokens: int = 0

    def __add__(self, other: "WorkSize") -> "WorkSize":
        """Return the sum of both."""
        return WorkSize(self.size + other.size, self.tokens + other.tokens)

    def exceeds(self, other: "WorkSize") -> bool:
        """Return whether either measure is larger than the other's."""
        return self.size > other.size or self.tokens > other.tokens


@dataclass(frozen=True, slots=True, eq=False)
class OutstandingCall:
    """One call that is open at a server.

    :ivar request: identifies the request across its repeats.
    """

    server: Server
    request: bytes
    work: WorkSize


@dataclass(frozen=True, slots=True)
class _Bound:
    work: WorkSize | None
    requests: frozenset[bytes]
    until: float


class OutstandingWork:
    """The open calls of this entry by server, and the bounds learned from crashes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: dict[tuple[str, str, str], set[OutstandingCall]] = {}
        self._cut: deque[tuple[float, OutstandingCall]] = deque()
        self._typical: dict[str, tuple[float, float]] = {}
        self._bounds: dict[str, _Bound] = {}
        self._crashes: dict[tuple[str, str, str], float] = {}
        self._lock = threading.Lock()

    def begin(self, server: Server, request: bytes, work: WorkSize) -> OutstandingCall:
        """Record the start of a call."""
        call = OutstandingCall(server, request, work)
        with self._lock:
            self._open.setdefault(server.identity, set()).add(call)
            self._note_typical(server.service, self._held(server))
        return call

    def end(self, call: OutstandingCall, cut: bool) -> None:
        """Record the end of a call.

        :param cut: whether the server may have crashed; the call then still counts for
            a moment as outstanding at that crash.
        """
        identity = call.server.identity
        with self._lock:
            calls = self._open.get(identity, set())
            calls.discard(call)
            if not calls:
                self._open.pop(identity, None)
            if cut:
                self._cut.append((self._clock.now(), call))
            self._drop_old()

    def held(self, server: Server) -> WorkSize:
        """Return the work of this entry's open calls at a server."""
        with self._lock:
            return self._held(server)

    def note_crash(self, server: Server) -> WorkSize | None:
        """Record that a server has crashed; return the bound that follows, if any.

        Further reports of the same crash change nothing.
        """
        now = self._clock.now()
        with self._lock:
            self._drop_old()
            if server.identity in self._crashes:
                return None
            self._crashes[server.identity] = now
            calls = list(self._open.get(server.identity, ()))
            calls += [c for _, c in self._cut if c.server.identity == server.identity]
            held = sum((call.work for call in calls), WorkSize())
            bound = self._bound(server.service, held)
            requests = frozenset(call.request for call in calls)
            self._bounds[server.name] = _Bound(bound, requests, now + BOUND_SECONDS)
        return bound

    def usable(
        self, servers: Sequence[Server], request: bytes, work: WorkSize
    ) -> Sequence[Server]:
        """Return the servers that may get a request.

        :returns: only servers on which the request was not during a crash; among them
            those that it does not take past their bound, or all if there is none.
        """
        if not self._bounds:
            return servers
        with self._lock:
            self._drop_old()
            bounds = self._bounds
            other = [
                server
                for server in servers
                if server.name not in bounds
                or request not in bounds[server.name].requests
            ]
            below = [s for s in other if not self._past_bound(s, work)]
        return below or other

    def _past_bound(self, server: Server, work: WorkSize) -> bool:
        bound = self._bounds.get(server.name)
        if bound is None or bound.work is None:
            return False
        # One request alone is always within the bound; it must be served somewhere.
        if server.identity not in self._open:
            return False
        return (self._held(server) + work).exceeds(bound.work)

    def _bound(self, service: str, held: WorkSize) -> WorkSize | None:
        size, tokens = self._typical.get(service, (0.0, 0.0))
        much_bytes = held.size > 0 and held.size >= size * MUCH_FACTOR
        much_tokens = held.tokens > 0 and held.tokens >= tokens * MUCH_FACTOR
        if not (much_bytes or much_tokens):
            return None
        return WorkSize(int(held.size * BOUND_SHARE), int(held.tokens * BOUND_SHARE))

    def _held(self, server: Server) -> WorkSize:
        calls = self._open.get(server.identity, ())
        return sum((call.work for call in calls), WorkSize())

    def _note_typical(self, service: str, held: WorkSize) -> None:
        size, tokens = self._typical.get(service, (held.size, held.tokens))
        size += (held.size - size) * TYPICAL_WEIGHT
        tokens += (held.tokens - tokens) * TYPICAL_WEIGHT
        self._typical[service] = (size, tokens)

    def _drop_old(self) -> None:
        now = self._clock.now()
        while self._cut and now - self._cut[0][0] > CRASH_SECONDS:
            self._cut.popleft()
        for name in [n for n, b in self._bounds.items() if now >= b.until]:
            del self._bounds[name]
        old = [i for i, at in self._crashes.items() if now - at > BOUND_SECONDS]
        for identity in old:
            del self._crashes[identity]
