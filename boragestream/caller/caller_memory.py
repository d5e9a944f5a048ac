"""Decides what callers' connections may hold, and which of them are closed.

It answers the load of many callers that send large bodies, or that read or send slowly:
a request beyond the budget is refused before its body is read, and when others go
short, the slowest connections are closed, see ``caller.slow_connections``.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from http import HTTPStatus
from typing import Any, Protocol

from waitress.utilities import Error

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import MemoryExhausted
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.caller.connection_room import ConnectionRoom
from boragestream.caller.slow_connections import (
    CallersConnection,
    is_slow,
    oldest_idle,
    slowest_first,
)

__all__ = ["CallerMemory", "RefusalFormat", "read_body"]

# A connection whose caller reads nothing for this long is closed even if memory is not
# short, so that its descriptor is returned.
UNREAD_SECONDS = 60.0
# From this share of the allowed connections on, slow and idle ones are closed for
# others.
CONNECTIONS_SHARE = 0.85
# A search of all connections takes milliseconds; one that found too little is repeated
# after this long.
SEARCH_SECONDS = 0.05


class RefusalFormat(Protocol):
    """The wire format of the entry's own refusals."""

    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return a request's id, given its headers by upper-case name."""

    def refusal(
        self, request_id: str, failure: MemoryExhausted, retry_after: float
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return the headers and body of a refusal with status 503.

        :param retry_after: the seconds after which to return.
        """


class MemoryRefusedError(Error):
    """An error of waitress: 503, not run, with the time to return."""

    def __init__(self, headers: list[tuple[str, str]], body: bytes) -> None:
        super().__init__("memory")
        self._headers = headers
        self._body = body

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return status, headers and body in the form that waitress expects."""
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return f"{status.value} {status.phrase}", self._headers, self._body


class CallerMemory:
    """The part of the budget that callers' connections use.

    :param clock: the clock of requests' deadlines.
    :param refused: called for each request that is refused for memory.
    :param excess_requests: returns how many requests have to end for others to begin.
    :param abandoned: called for each connection that is closed because its caller is
        slow; takes whether it had not read its answer.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        refusals: RefusalFormat,
        clock: Clock,
        refused: Callable[[], None] = lambda: None,
        abandoned: Callable[[bool], None] = lambda unread: None,
        excess_requests: Callable[[], int] = lambda: 0,
    ) -> None:
        self._budget = budget
        self._refusals = refusals
        self._clock = clock
        self._server: Any = None
        self._room: ConnectionRoom | None = None
        self._count_refused = refused
        self._count_abandoned = abandoned
        self._excess_requests = excess_requests
        self._next_search = self._next_room = float("-inf")
        # Since this was last logged.
        self._idle_closed = 0
        self._wanted: Callable[[], bool] | None = None
        self._given_up: deque[CallersConnection] = deque()
        budget.on_short(self._free)

    @property
    def budget(self) -> MemoryBudget:
        """The budget of the entry."""
        return self._budget

    def now(self) -> float:
        """Return the clock's seconds."""
        return self._clock.now()

    def attach(self, server: Any) -> None:
        """Set the waitress server whose connections are managed."""
        self._server = server
        self._room = room = ConnectionRoom(server, self._clock)
        server.accept = partial(room.accept, server.accept)
        server.maintenance = self._maintain
        server.readable = partial(self._before_poll, server.readable)

    def charge(self, kind: MemoryKind) -> MemoryCharge:
        """Return a new charge without bytes."""
        return MemoryCharge(self._budget, kind)

    def refusal(self, headers: Mapping[str, str], size: int) -> MemoryRefusedError:
        """Return the answer to a request whose bytes were not granted, and log it."""
        budget = self._budget
        self._count_refused()
        request_id = self._refusals.request_id(headers)
        wait = budget.retry_seconds(size)
        emit(
            Event.MEMORY_REFUSED,
            request=request_id,
            kind=MemoryKind.REQUEST.value,
            bytes=size,
            budget=budget.limit,
            retry_ms=int(wait * 1000),
            request_bytes=budget.charged(MemoryKind.REQUEST),
            answer_bytes=budget.charged(MemoryKind.ANSWER),
            output_bytes=budget.charged(MemoryKind.OUTPUT),
            peer_bytes=budget.charged(MemoryKind.PEER),
        )
        failure = MemoryExhausted(size, budget.limit)
        return MemoryRefusedError(*self._refusals.refusal(request_id, failure, wait))

    def reserve(self, charge: MemoryCharge, size: int) -> bool:
        """Charge bytes of a request, and close slow connections for them if needed.

        Only the event loop calls this, since it closes connections.
        """
        if charge.reserve(size):
            return True
        self._abandon_until(partial(self._budget.grants, MemoryKind.REQUEST, size))
        return charge.reserve(size)

    def give_up(self, connection: CallersConnection) -> None:
        """Have the event loop close a connection whose output has no memory."""
        self._given_up.append(connection)
        self._server.pull_trigger()

    def free_unread(self) -> None:
        """Have the event loop close slow connections for output that waits."""
        self._wanted = lambda: self._budget.frees_enough
        self._server.pull_trigger()

    def _free(self, kind: MemoryKind, size: int) -> None:
        """Have the event loop close slow connections for bytes."""
        self._wanted = partial(self._budget.grants, kind, size)
        if self._server is not None:
            self._server.pull_trigger()

    def _before_poll(self, readable: Callable[[], bool]) -> bool:
        """Close slow connections if needed; return whether the server accepts.

        The event loop asks the server first of all whether to poll it. Only here, or
        after the server has accepted, can connections be closed without the risk that
        a new one gets the same descriptor and then the events of the closed one.
        """
        while self._given_up:
            self._abandon(self._given_up.popleft())
        wanted, self._wanted = self._wanted, None
        if wanted is not None:
            self._abandon_until(wanted)
        self._make_room()
        return readable() and self._room.may_accept

    def _make_room(self) -> None:
        """Close idle connections, and those of unfinished requests, for new ones."""
        excess = self._excess_connections
        now = self._clock.now()
        # Once no more are accepted, nothing else wakes the event loop.
        full = len(self._server._map) >= self._server.adj.connection_limit
        if excess <= 0 or (now < self._next_room and not full):
            return
        self._next_room = now + SEARCH_SECONDS
        for connection in oldest_idle(self._connections, excess, time.time()):
            connection.handle_close()
            self._idle_closed += 1

    @property
    def _excess_connections(self) -> int:
        server = self._server
        room = int(CONNECTIONS_SHARE * server.adj.connection_limit)
        return len(server.active_channels) - room

    def _abandon_until(self, enough: Callable[[], bool]) -> None:
        """Close slow connections, the worst first, until others don't go short."""
        now = self._clock.now()
        if now < self._next_search or enough():
            return
        for connection in slowest_first(self._connections, now):
            # The caller may have read since the kernel was last asked.
            connection.count_kernel_bytes()
            if is_slow(connection, now):
                self._abandon(connection)
            if enough():
                return
        self._next_search = now + SEARCH_SECONDS

    def _abandon_slowest(
        self, connections: Sequence[CallersConnection], most: int
    ) -> None:
        """Close the slow ones of some connections, the worst first."""
        if most > 0:
            for connection in slowest_first(connections, self._clock.now())[:most]:
                self._abandon(connection)

    @property
    def _connections(self) -> list[CallersConnection]:
        return list(self._server.active_channels.values())

    def _abandon(self, connection: CallersConnection) -> None:
        now = self._clock.now()
        left = connection.seconds_left(now)
        unread = bool(connection.unread_bytes)
        kind = Event.SLOW_READER_ABANDONED if unread else Event.SLOW_SENDER_ABANDONED
        emit(
            kind,
            request=connection.request_id,
            account=connection.account,
            bytes=connection.unread_bytes or connection.held_bytes,
            seconds=round(connection.seconds_observed(now), 1),
            seconds_left=round(left, 1) if math.isfinite(left) else None,
            budget=self._budget.limit,
            held=self._budget.total,
        )
        self._count_abandoned(unread)
        connection.abandon()

    def _maintain(self, wall_time: float) -> None:
        """Close idle connections, and count what the kernel holds for the others.

        The event loop calls this about once a second in place of waitress' own
        function, which also closes connections whose callers pause while they read.

        :param wall_time: the system's time in seconds.
        """
        server = self._server
        self._room.maintain()
        cutoff = wall_time - server.adj.channel_timeout
        unread_cutoff = wall_time - max(UNREAD_SECONDS, server.adj.channel_timeout)
        for channel in self._connections:
            channel.follow()
            idle_since = math.inf if channel.requests else channel.last_activity
            if channel.unread_bytes:
                if idle_since < unread_cutoff:
                    self._abandon(channel)
            elif channel.discards_too_long or idle_since < cutoff:
                channel.will_close = True
        if not self._budget.grants_unread:
            self._abandon_until(lambda: self._budget.frees_enough)
        self._abandon_slowest(self._connections, self._excess_connections)
        held_up = [each for each in self._connections if each.held_up]
        self._abandon_slowest(held_up, self._excess_requests())
        closed, self._idle_closed = self._idle_closed, 0
        if closed:
            limit = server.adj.connection_limit
            emit(Event.IDLE_CONNECTIONS_CLOSED, count=closed, limit=limit)


def read_body(stream: Any) -> bytes:
    """Return a request's whole body without a copy of it."""
    take: Any = getattr(stream, "getvalue", stream.read)
    return take()
