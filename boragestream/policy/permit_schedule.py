"""The permits to call one server, granted by one entry at a steady rate.

Any span of time holds no more permits than a burst and the rate times its length, and
none accrue beyond the burst, however long nobody asked. A permit can lie ahead: the
entry that asked waits for it. One that was not used is given back.

Load pattern: far more requests than a server takes, in bursts, from many entries.

Left out: at which rate (``policy.server_limits``), and how entries ask for permits
(``entry.server_permits``). Not safe without its owner's lock.
"""

import math
from dataclasses import dataclass

__all__ = ["Pace", "PermitSchedule"]


@dataclass(frozen=True, slots=True)
class Pace:
    """How fast permits are granted.

    :ivar per_second: in the long run.
    :ivar burst: how many may begin at once; 1 at the least.
    """

    per_second: float
    burst: float


@dataclass(slots=True)
class PermitSchedule:
    """The permits of one server.

    :ivar pace: how fast they are granted now.
    :ivar _paid_until: when the permits granted so far are made up for by the rate, in
        the clock's seconds.
    :ivar _since: when permits were last granted after none was owed.
    """

    pace: Pace
    _paid_until: float = -math.inf
    _since: float = -math.inf

    def next_free(self, now: float) -> float:
        """Return when the next permit could begin, in the clock's seconds."""
        ahead = (self.pace.burst - 1) / self.pace.per_second
        return max(now, self._paid_until - ahead)

    def reserve(self, now: float, latest: float) -> float | None:
        """Take the next permit; None where it would begin later than asked for.

        :returns: when it begins, in the clock's seconds.
        """
        moment = self.next_free(now)
        if moment > latest:
            return None
        if self._paid_until <= moment:
            self._since = moment
        begun = max(self._paid_until, moment)
        self._paid_until = begun + 1 / self.pace.per_second
        return moment

    def give_back(self, moment: float) -> None:
        """Take back a permit that was not used.

        One from before the schedule was last empty is made up for already.
        """
        if moment >= self._since:
            self._paid_until -= 1 / self.pace.per_second
