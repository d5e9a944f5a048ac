"""Schedules the permits to call one server, granted by one entry at a steady rate.

Any interval holds at most as many permits as the burst plus the rate times its length.
Permits do not accumulate beyond the burst, however long none was requested. A permit
can begin in the future; the requesting entry then waits for it. An unused permit is
returned to the schedule.

Load pattern: bursts of far more requests than a server can take, from many entries.

The rate is left to ``policy.server_limits``, the requests for permits to
``entry.server_permits``. Not thread-safe: the caller holds a lock.
"""

import math
from dataclasses import dataclass

__all__ = ["Pace", "PermitSchedule"]


@dataclass(frozen=True, slots=True)
class Pace:
    """The rate and the burst at which permits are granted.

    :ivar per_second: the average number of permits a second.
    :ivar burst: how many permits may begin at once; at least 1.
    """

    per_second: float
    burst: float


@dataclass(slots=True)
class PermitSchedule:
    """The permits of one server, as a generic cell rate algorithm.

    :ivar pace: the current rate and burst.
    :ivar _arrival_time: the theoretical arrival time, in the clock's seconds: when the
        rate has covered all permits granted so far.
    :ivar _busy_since: when the schedule last went from idle to busy.
    """

    pace: Pace
    _arrival_time: float = -math.inf
    _busy_since: float = -math.inf

    def next_free(self, now: float) -> float:
        """Return when the next permit could begin, in the clock's seconds."""
        tolerance = (self.pace.burst - 1) / self.pace.per_second
        return max(now, self._arrival_time - tolerance)

    def reserve(self, now: float, latest: float) -> float | None:
        """Reserve the next permit, unless it would begin after ``latest``.

        :returns: when it begins, in the clock's seconds; None if that is too late.
        """
        moment = self.next_free(now)
        if moment > latest:
            return None
        if self._arrival_time <= moment:
            self._busy_since = moment
        start = max(self._arrival_time, moment)
        self._arrival_time = start + 1 / self.pace.per_second
        return moment

    def release(self, moment: float) -> None:
        """Return an unused permit to the schedule.

        A permit from before the last idle time has no effect: the rate has already
        covered it.
        """
        if moment >= self._busy_since:
            self._arrival_time -= 1 / self.pace.per_second
