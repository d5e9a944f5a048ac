"""This entry's share of the slots that a service's servers report.

A window that grows only with completed calls needs many times the duration of a request
to grow, whereas servers report with each answer how many calls they run at once. The
share is the mean of the reported slots, times the number of live servers, divided by
the number of live entries; a server with a limit counts with the calls that it can have
in progress. All entries compute the share in the same way, so that the shares add up to
the slots. The use of the share is left to ``policy.service_window``.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server, ServerTable

__all__ = ["SlotShares"]

# A service may have hundreds of servers, which is too many to count for every request.
CACHE_SECONDS = 1.0
# The assumed duration of a call on a server that was not called yet.
DEFAULT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _CachedShare:
    """A computed share.

    :ivar slots: the share in calls; 0 if no server has reported.
    :ivar until: when the share expires, in the clock's seconds.
    """

    slots: float
    until: float


class SlotShares:
    """The shares by service; safe to use from any thread.

    :param entries: returns the number of live entries, including this one.
    :param rate: returns the most calls a second to a server.
    """

    def __init__(
        self,
        servers: ServerTable,
        loads: LoadTable,
        entries: Callable[[], int],
        clock: Clock,
        rate: Callable[[Server], float] = lambda server: math.inf,
    ) -> None:
        self._servers = servers
        self._loads = loads
        self._entries = entries
        self._clock = clock
        self._rate = rate
        self._cache: dict[str, _CachedShare] = {}

    def share(self, service: str) -> float:
        """Return this entry's share in calls; 0 if no server has reported."""
        now = self._clock.now()
        cached = self._cache.get(service)
        if cached is None or now >= cached.until:
            cached = _CachedShare(self._compute(service), now + CACHE_SECONDS)
            self._cache[service] = cached
        return cached.slots

    def note_first_report(self, service: str) -> bool:
        """Invalidate a share that was cached before any server had reported.

        Call it when a server has reported for the first time.

        :returns: whether there was such a share.
        """
        cached = self._cache.get(service)
        if cached is None or cached.slots:
            return False
        self._cache.pop(service, None)
        return True

    def _compute(self, service: str) -> float:
        servers = self._servers.live(service)
        reports = [self._loads.get(server).report for server in servers]
        slots = [report.slots for report in reports if report is not None]
        if not slots:
            return 0.0
        mean = sum(slots) / len(slots)
        usable = sum(min(mean, self._max_calls(server)) for server in servers)
        return usable / max(1, self._entries())

    def _max_calls(self, server: Server) -> float:
        """Return the calls in progress that a server's limit permits, or infinity."""
        rate = self._rate(server)
        if math.isinf(rate):
            return math.inf
        return rate * (self._loads.get(server).seconds or DEFAULT_SECONDS)
