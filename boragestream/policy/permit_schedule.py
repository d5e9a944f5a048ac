"""The permits to call one server, granted by one entry at a steady rate.

Permits lie a fixed gap apart, so that any span of time holds one more than its length
divided by the gap, however long nobody asked. A permit can lie ahead: the entry that
asked waits for it. One that was not used is given back, and its place is free again.

Load pattern: far more requests than a server takes, in bursts, from many entries.

Left out: at which rate (``policy.server_limits``), and how entries ask for permits
(``entry.server_permits``). Not safe without its owner's lock.
"""

import bisect
from dataclasses import dataclass, field

__all__ = ["PermitSchedule"]


@dataclass(slots=True)
class PermitSchedule:
    """The permits of one server that can still decide about others.

    :ivar _moments: when they begin, in the clock's seconds, in their order.
    """

    _moments: list[float] = field(default_factory=list)

    def next_free(self, now: float, gap: float) -> float:
        """Return when the next permit could begin, in the clock's seconds.

        :param gap: the least seconds between two permits.
        """
        self._forget(now - gap)
        free = now
        for moment in self._moments:
            if moment - free >= gap:
                break
            free = max(free, moment + gap)
        return free

    def reserve(self, now: float, latest: float, gap: float) -> float | None:
        """Take the next permit; None where it would begin later than asked for.

        :returns: when it begins, in the clock's seconds.
        """
        moment = self.next_free(now, gap)
        if moment > latest:
            return None
        bisect.insort(self._moments, moment)
        return moment

    def give_back(self, moment: float) -> None:
        """Free the place of a permit that was not used."""
        if moment in self._moments:
            self._moments.remove(moment)

    def _forget(self, before: float) -> None:
        del self._moments[: bisect.bisect_right(self._moments, before)]
