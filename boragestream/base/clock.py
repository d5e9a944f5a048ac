"""The clock that every decision takes as an argument.

Deadlines, leases and expiries count time spent suspended, so that a process that
was paused wakes up with its leases expired. Calendar time is left out on purpose:
nothing in the system compares calendar times of two instances.
"""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return the seconds since an arbitrary fixed point, never decreasing."""


class SystemClock:
    """The clock of the machine, counting the time that it was suspended."""

    def now(self) -> float:
        """Return the seconds since the machine booted, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
