"""Obtains permits for servers that announced a limit on their request rate.

If some servers of a service have no limit, a limited server is used only if it ranks
best of all, so that requests stay near their results and cached prompts, and only with
a permit that is valid at once. A limited server that receives no requests this way is
sent one now and then by the entry that grants its permits, to detect the end of the
limit. If all servers are limited, a request waits for a permit if it can still be
served in time, and is refused at once otherwise.

Load pattern: a few overloaded servers among many; a service with all of its servers
overloaded during a burst.
"""

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.failures import ServersLimited
from boragestream.entry.server_permits import Permit, PermitRefused, ServerPermits
from boragestream.entry.server_seats import Seat
from boragestream.policy.retry_after import ReturnSchedule
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server

__all__ = ["LimitedServers", "PermittedServer"]

# Waiting this long for the best server costs less than computing its cached prompts
# again at another server and fetching the stage results from near it.
PREFERENCE_WAIT_SECONDS = 0.1
# A request asks at most this many servers for one of the earliest permits.
MAX_PERMIT_REQUESTS = 3
# Interval at which a request that waits for its permit checks for cancellation.
CANCEL_POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class PermittedServer:
    """A chosen server.

    :ivar permit: allows one call; None if the server has no limit.
    :ivar seat: holds a place for one call; None if the server is not brittle.
    """

    server: Server
    permit: Permit | None = None
    seat: Seat | None = None


class LimitedServers:
    """The limited servers and permits of one entry; safe to use from any thread.

    :param entries: returns the number of live entries.
    :param rng: adds jitter to the times at which callers return.
    """

    def __init__(
        self,
        limits: ServerLimits,
        permits: ServerPermits,
        entries: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._permits = permits
        self._entries = entries
        self._clock = clock
        self._rng = rng
        self._return_schedules: dict[str, ReturnSchedule] = {}
        self._lock = threading.Lock()

    @property
    def limits(self) -> ServerLimits:
        """The limits that this entry knows."""
        return self._limits

    @property
    def permits(self) -> ServerPermits:
        """The source of the permits."""
        return self._permits

    def ready(self, limited: Sequence[Server]) -> list[Server]:
        """Return the servers for which a permit may be available at once."""
        return [s for s in limited if self._limits.seconds_left(s) <= 0]

    def idle_server(self, limited: Sequence[Server]) -> Server | None:
        """Return a server whose permits this entry grants and nobody requests.

        :returns: None if there is no such server.
        """
        for server in limited:
            if self._limits.is_idle(server) and self._permits.grants(server):
                return server
        return None

    def acquire_now(self, server: Server) -> PermittedServer | None:
        """Return the server with a permit that starts now; None if none is granted."""
        permit = self._permits.acquire(server, 0.0)
        if isinstance(permit, PermitRefused):
            return None
        return PermittedServer(server, permit)

    def acquire_earliest(
        self,
        limited: Sequence[Server],
        wait_seconds: float,
        prefer: Callable[[Sequence[Server]], Server | None],
    ) -> PermittedServer | ServersLimited:
        """Return a server with a permit, or the refusal of the request.

        :param limited: servers of one service.
        :param wait_seconds: the longest wait for the permit's start.
        :param prefer: chooses among servers with about the same expected wait.
        :returns: the preferred server among those with the earliest permits; if these
            are not granted, the server with the shortest expected wait.
        """
        remaining = list(limited)
        for _ in range(min(MAX_PERMIT_REQUESTS, len(remaining))):
            soonest = min(self._limits.seconds_left(server) for server in remaining)
            if soonest > wait_seconds:
                break
            max_wait = min(wait_seconds, soonest + PREFERENCE_WAIT_SECONDS)
            candidates = [
                s for s in remaining if self._limits.seconds_left(s) <= max_wait
            ]
            server = prefer(candidates) or candidates[0]
            permit = self._permits.acquire(server, max_wait)
            if isinstance(permit, Permit):
                return PermittedServer(server, permit)
            remaining.remove(server)
        # The replies have updated the expected waits of the servers asked above.
        server = min(limited, key=self._limits.seconds_left)
        if self._limits.seconds_left(server) <= wait_seconds:
            permit = self._permits.acquire(server, wait_seconds)
            if isinstance(permit, Permit):
                return PermittedServer(server, permit)
        return self.refusal(limited)

    def seconds_until_permit(self, limited: Sequence[Server]) -> float:
        """Return the expected seconds until the earliest permit."""
        return min(self._limits.seconds_left(server) for server in limited)

    def service_wait(self, servers: Sequence[Server]) -> float:
        """Return the seconds in which no server of a service can be called.

        :param servers: the usable servers of the service.
        :returns: 0 if one of them has no limit.
        """
        unlimited, limited = self._limits.split(servers)
        if unlimited or not limited:
            return 0.0
        return self.seconds_until_permit(limited)

    def refusal(self, limited: Sequence[Server]) -> ServersLimited:
        """Return the refusal of a request whose servers are all limited.

        Callers that were refused earlier are told to return earlier.
        """
        service = limited[0].service
        rate = sum(self._limits.rate(server) for server in limited)
        wait = self.seconds_until_permit(limited)
        with self._lock:
            schedule = self._return_schedules.setdefault(
                service, ReturnSchedule(self._rng)
            )
            seconds = schedule.retry_after(
                self._clock.now(),
                wait,
                rate / max(1, self._entries()),
            )
        return ServersLimited(service, seconds, wait, limited[0].region)

    def wait(self, permit: Permit | None, cancelled: Callable[[], bool]) -> bool:
        """Wait for a permit's start; return False if its request is cancelled.

        The permit of a cancelled request is returned.
        """
        if permit is None:
            return True
        while (remaining := permit.begins - self._clock.now()) > 0:
            if cancelled():
                self._permits.release(permit)
                return False
            threading.Event().wait(min(remaining, CANCEL_POLL_SECONDS))
        return True
