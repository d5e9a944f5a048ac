"""This entry's share of the slots that a service's servers report.

A window that opens by completions alone takes many lifetimes of a request to open,
while servers say with each answer how many calls they run at once. The share is the
mean of the reported slots, times the live servers, over the live entries; a server with
a limit counts with the calls that it can have in hand. All entries work it out alike,
so that their shares add up to the slots. What is begun with it is left to
``policy.service_window``.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server, ServerTable

__all__ = ["SlotShares"]

# A service may have hundreds of servers; to count them for every request would cost
# more than the answer is worth.
CACHE_SECONDS = 1.0
# Of a call of a server that was not called yet.
USUAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Known:
    """A share as it was worked out.

    :ivar slots: the share in calls; 0 where no server has reported.
    :ivar until: until when it is used.
    """

    slots: float
    until: float


class SlotShares:
    """The shares by service; any thread may ask.

    :param entries: returns how many entries are live, this one included.
    :param rate: returns the calls a second that a server can be sent.
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
        self._known: dict[str, Known] = {}

    def share(self, service: str) -> float:
        """Return this entry's share in calls; 0 where no server has reported."""
        now = self._clock.now()
        known = self._known.get(service)
        if known is None or now >= known.until:
            known = Known(self._work_out(service), now + CACHE_SECONDS)
            self._known[service] = known
        return known.slots

    def note_reported(self, service: str) -> bool:
        """Take that a server reported for the first time.

        :returns: whether the service's share was not known before.
        """
        known = self._known.get(service)
        if known is None or known.slots:
            return False
        self._known.pop(service, None)
        return True

    def _work_out(self, service: str) -> float:
        servers = self._servers.live(service)
        reports = [self._loads.get(server).report for server in servers]
        slots = [report.slots for report in reports if report is not None]
        if not slots:
            return 0.0
        mean = sum(slots) / len(slots)
        usable = sum(min(mean, self._calls_at_once(server)) for server in servers)
        return usable / max(1, self._entries())

    def _calls_at_once(self, server: Server) -> float:
        """Return how many calls a server with a limit can have in hand."""
        rate = self._rate(server)
        if math.isinf(rate):
            return math.inf
        return rate * (self._loads.get(server).seconds or USUAL_SECONDS)
