"""Takes permits for servers that named a limit on their requests.

Beside servers without a limit a limited one is taken only where it would be chosen of
all, so that its requests stay near their results and cached prompts, and only with a
permit that begins at once. One that gets no requests so is sent one now and then by the
entry that grants its permits, to notice that the limit has ended. Where all are limited
a request waits for a permit if it can still be served in time, and is refused at once
otherwise.

Load pattern: a few servers in need among many; a service of which all servers are in
need beside a burst.
"""

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.failures import ServersLimited
from boragestream.entry.server_permits import Permit, PermitRefused, ServerPermits
from boragestream.policy.retry_after import ReturnSchedule
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server

__all__ = ["LimitedServers", "PermittedServer"]

# To wait so long for the best of several servers costs less than to read its cached
# prompts and fetch the results beside it again at another.
PREFERRED_SECONDS = 0.1
# Most servers of which one request asks for a permit that begins about now.
MOST_ASKED = 3
# How often a request that waits for its permit's beginning looks whether it is wanted.
WAKE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class PermittedServer:
    """A server that was chosen.

    :ivar permit: to call it; None where it has no limit.
    """

    server: Server
    permit: Permit | None = None


class LimitedServers:
    """The limited servers as an entry's requests use them; any thread may ask.

    :param entries: returns how many entries are live.
    :param rng: spreads the times at which callers come back.
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
        self._returns: dict[str, ReturnSchedule] = {}
        self._lock = threading.Lock()

    @property
    def limits(self) -> ServerLimits:
        """What is known of the limits."""
        return self._limits

    @property
    def permits(self) -> ServerPermits:
        """Where permits come from."""
        return self._permits

    def ready(self, limited: Sequence[Server]) -> list[Server]:
        """Return the servers of which a permit may be had at once."""
        return [s for s in limited if self._limits.seconds_left(s) <= 0]

    def unasked(self, limited: Sequence[Server]) -> Server | None:
        """Return a server whose permits are this entry's, and nobody asks for any."""
        for server in limited:
            if self._limits.is_unasked(server) and self._permits.grants(server):
                return server
        return None

    def at_once(self, server: Server) -> PermittedServer | None:
        """Return a server with a permit that begins now; None where there is none."""
        permit = self._permits.acquire(server, 0.0)
        if isinstance(permit, PermitRefused):
            return None
        return PermittedServer(server, permit)

    def first(
        self,
        limited: Sequence[Server],
        wait_seconds: float,
        prefer: Callable[[Sequence[Server]], Server | None],
    ) -> PermittedServer | ServersLimited:
        """Return a server with a permit, or refuse the request.

        :param limited: servers of one service.
        :param wait_seconds: the longest wait for the permit's beginning.
        :param prefer: chooses among servers that are to be had about equally soon.
        :returns: the first that is to be had about now, else the soonest.
        """
        left = list(limited)
        for _ in range(min(MOST_ASKED, len(left))):
            soonest = min(self._limits.seconds_left(server) for server in left)
            if soonest > wait_seconds:
                break
            latest = min(wait_seconds, soonest + PREFERRED_SECONDS)
            near = [s for s in left if self._limits.seconds_left(s) <= latest]
            server = prefer(near) or near[0]
            permit = self._permits.acquire(server, latest)
            if isinstance(permit, Permit):
                return PermittedServer(server, permit)
            left.remove(server)
        # Those that were asked have said when they have room.
        server = min(limited, key=self._limits.seconds_left)
        if self._limits.seconds_left(server) <= wait_seconds:
            permit = self._permits.acquire(server, wait_seconds)
            if isinstance(permit, Permit):
                return PermittedServer(server, permit)
        return self.refusal(limited)

    def soonest(self, limited: Sequence[Server]) -> float:
        """Return the seconds until the first permit, as far as known here."""
        return min(self._limits.seconds_left(server) for server in limited)

    def refusal(self, limited: Sequence[Server]) -> ServersLimited:
        """Return the refusal of a request for servers that are all limited.

        Callers that were refused before it come back before it.
        """
        service = limited[0].service
        rate = sum(self._limits.rate(server) for server in limited)
        with self._lock:
            returns = self._returns.setdefault(service, ReturnSchedule(self._rng))
            seconds = returns.retry_after(
                self._clock.now(),
                self.soonest(limited),
                rate / max(1, self._entries()),
            )
        return ServersLimited(service, seconds)

    def wait(self, permit: Permit | None, cancelled: Callable[[], bool]) -> bool:
        """Wait for a permit's beginning; False where its request is cancelled.

        A permit of a cancelled request is given back.
        """
        if permit is None:
            return True
        while (left := permit.begins - self._clock.now()) > 0:
            if cancelled():
                self._permits.give_back(permit)
                return False
            threading.Event().wait(min(left, WAKE_SECONDS))
        return True
