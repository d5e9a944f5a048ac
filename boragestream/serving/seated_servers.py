"""Obtains seats for calls to brittle servers, or refuses the calls.

A call whose best server has no free place goes to another one. If all places are taken,
it waits as long as it can still be served in time, and is refused at once otherwise.
``entry.server_seats`` counts the places.
"""

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import replace

from boragestream.base.clock import Clock
from boragestream.base.failures import ServersFull
from boragestream.base.outcomes import Failure
from boragestream.entry.server_seats import Seat, ServerSeats
from boragestream.policy.retry_after import ReturnSchedule
from boragestream.policy.servers import Server
from boragestream.serving.limited_servers import LimitedServers, PermittedServer

__all__ = ["SeatedServers"]

# A call asks for seats at no more than this many servers before it waits.
MAX_SERVERS_ASKED = 3
MIN_WAIT_SECONDS = 0.01
# Of the time left, a call waits at most this share for a seat.
WAIT_SHARE = 0.5


class SeatedServers:
    """The brittle servers of one entry; safe to use from any thread.

    :param entries: returns the number of live entries.
    :param rng: adds jitter to waits and to the times at which callers return.
    """

    def __init__(
        self,
        seats: ServerSeats,
        limited: LimitedServers,
        entries: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._seats = seats
        self._limited = limited
        self._entries = entries
        self._clock = clock
        self._rng = rng
        self._schedules: dict[str, ReturnSchedule] = {}
        self._lock = threading.Lock()

    @property
    def seats(self) -> ServerSeats:
        """The source of the seats."""
        return self._seats

    def is_brittle(self, service: str) -> bool:
        """Return whether calls of a service need a seat."""
        return self._seats.services.is_brittle(service)

    def seconds_until_seat(self, servers: Sequence[Server]) -> float:
        """Return the expected seconds until the earliest seat."""
        return min(self._seats.seconds_left(server) for server in servers)

    def refusal(self, servers: Sequence[Server]) -> ServersFull:
        """Return the refusal of a call that gets no seat in time.

        Callers that were refused earlier get an earlier time.
        """
        service, now = servers[0].service, self._clock.now()
        wait = self.seconds_until_seat(servers)
        rate = len(servers) / max(MIN_WAIT_SECONDS, wait) / max(1, self._entries())
        with self._lock:
            schedule = self._schedules.setdefault(service, ReturnSchedule(self._rng))
            seconds = schedule.retry_after(now, wait, rate)
        return ServersFull(service, seconds)

    def acquire(
        self,
        servers: Callable[[], Sequence[Server]],
        choose: Callable[[Sequence[Server]], PermittedServer | Failure | None],
        wait_seconds: float,
        call_seconds: float,
        cancelled: Callable[[], bool],
    ) -> PermittedServer | Failure | None:
        """Return a server with a seat, or why there is none.

        :param servers: returns the usable servers of the service.
        :param choose: chooses one of some servers, with a permit if it has a limit.
        :param wait_seconds: the longest wait for a seat.
        :param call_seconds: how long the call may take.
        """
        latest = self._clock.now() + wait_seconds * WAIT_SHARE
        while not cancelled():
            usable = servers()
            if not usable:
                return None
            chosen = self._try(usable, choose, call_seconds)
            if chosen is not None:
                return chosen
            wait = max(MIN_WAIT_SECONDS, self.seconds_until_seat(usable))
            if self._clock.now() + wait > latest:
                return self.refusal(usable)
            threading.Event().wait(wait * self._rng.uniform(0.8, 1.2))
        return None

    def acquire_now(self, server: Server, call_seconds: float) -> Seat | None:
        """Return a seat at a server; None if none is free."""
        if self._seats.seconds_left(server) > 0:
            return None
        seat = self._seats.acquire(server, call_seconds)
        return seat if isinstance(seat, Seat) else None

    def _try(
        self,
        usable: Sequence[Server],
        choose: Callable[[Sequence[Server]], PermittedServer | Failure | None],
        call_seconds: float,
    ) -> PermittedServer | Failure | None:
        free = [s for s in usable if self._seats.seconds_left(s) <= 0]
        for _ in range(MAX_SERVERS_ASKED):
            if not free:
                return None
            chosen = choose(free)
            if not isinstance(chosen, PermittedServer):
                return chosen
            seat = self.acquire_now(chosen.server, call_seconds)
            if seat is not None:
                return replace(chosen, seat=seat)
            if chosen.permit is not None:
                self._limited.permits.release(chosen.permit)
            free = [s for s in free if s.identity != chosen.server.identity]
        return None
