"""Tells when a request may have arrived that was read only after a pause.

A process that was paused reads what came meanwhile as if it came now. What it first
reads right after a pause is taken to have come at the pause's beginning, so that a
deadline may end early but never late.
"""

from boragestream.base.clock import Clock

__all__ = ["PauseMeter"]

# Far more than the gap between two ticks, far less than any deadline.
PAUSE_SECONDS = 0.25
# How long after a pause there may still be something to read from its time.
SETTLE_SECONDS = 0.1


class PauseMeter:
    """A clock for arrivals, kept by a thread that ticks all the time.

    :param clock: the clock of the deadlines.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = clock.now()
        self._pause = (self._last, float("-inf"))

    def tick(self) -> None:
        """Note that the process runs; called every few hundredths of a second."""
        now = self._clock.now()
        if now - self._last > PAUSE_SECONDS:
            self._pause = (self._last, now)
        self._last = now

    def now(self) -> float:
        """Return the clock's seconds at which what is read now can have arrived."""
        now = self._clock.now()
        last = self._last
        if now - last > PAUSE_SECONDS:
            return last
        began, ended = self._pause
        return began if now - ended < SETTLE_SECONDS else now
