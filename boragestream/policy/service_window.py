"""How many requests this entry may have under way towards one service.

The entries share the servers and nothing else, so each adapts its own window to what
it sees: where stages take longer than the target multiple of their time without
queueing, the window is cut by a factor, else it grows by a step as long as it is used.
Additive increase and multiplicative decrease on a signal that all entries see makes
their windows equal. Only requests that began after the last change count, since the
others speak of the window as it was before.

Until the first sign of a queue, a window is at least as wide as the entry's share of
the slots that the servers report: nothing completes while a burst of long streams
begins. The same holds after idleness, since an old cut says nothing of the servers.
How the share is known is left to ``policy.slot_shares``.
"""

import math
import statistics

__all__ = ["ServiceWindow"]

START_LIMIT = 4.0
MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
# At this multiple more work waits at the servers than runs there: neither a cut nor an
# uneven choice among the servers leaves one idle.
TARGET_MULTIPLE = 1.6
MAX_CUT = 0.5
START_GROWTH = 1.5
# Stages that take longer than this already queue: from then on the window grows by
# steps.
QUIET_MULTIPLE = 1.15
STEP = 1.0
MIN_SAMPLES = 6
MIN_SECONDS = 0.05
# Cuts in a row that did not bring the multiple down: there was no queue to shorten,
# the servers themselves have become slower.
VAIN_CUTS = 6
IMPROVEMENT = 0.9
# Whatever queue there was has gone after this long without a request.
IDLE_SECONDS = 30.0


class ServiceWindow:
    """The window towards one service; not safe without its owner's lock."""

    def __init__(self, now: float) -> None:
        self._limit = START_LIMIT
        self._in_use = 0
        self._most_in_use = 0
        self._changed_at = now
        # What was never asked for has not been idle.
        self._asked_at = math.inf
        self._starting = True
        self._multiples: list[float] = []
        self._cuts = 0
        self._first_cut_multiple = 0.0

    @property
    def limit(self) -> int:
        """The most requests under way."""
        return math.ceil(self._limit)

    @property
    def in_use(self) -> int:
        """The requests under way that have not passed the service."""
        return self._in_use

    @property
    def open(self) -> bool:
        """Whether one more request may begin."""
        return self._in_use < self.limit

    def ask(self, share: float, now: float) -> None:
        """Note that a request asks for room, and widen a window that is starting.

        :param share: this entry's share of the servers' slots; 0 for not known.
        """
        if not self._in_use and now - self._asked_at > IDLE_SECONDS:
            self._start_again(now)
        self._asked_at = now
        if self._starting:
            self._limit = max(self._limit, share * TARGET_MULTIPLE)

    def take(self) -> None:
        """Count a request that begins."""
        self._in_use += 1
        self._most_in_use = max(self._most_in_use, self._in_use)

    def release(self) -> None:
        """Count a request that has passed the service, or ended before it."""
        self._in_use -= 1

    def observe(self, multiple: float, began: float, now: float) -> float | None:
        """Take the time of a stage on the service and adapt the window.

        :param multiple: the time as a multiple of the stage's baseline.
        :param began: when the stage's request began.
        :returns: by how much the baselines of the service proved too low, else None.
        """
        if began < self._changed_at:
            return None
        self._multiples.append(multiple)
        enough = len(self._multiples) >= min(MIN_SAMPLES, self.limit)
        if not enough or now - self._changed_at < MIN_SECONDS:
            return None
        # A queue delays all calls; one silent server of several delays a part of them,
        # and is no reason to hold back work from the others.
        middle = statistics.median_low(self._multiples)
        slow = middle > TARGET_MULTIPLE
        correction = self._cut(middle) if slow else self._grow(middle)
        self._multiples.clear()
        self._most_in_use = self._in_use
        self._changed_at = now
        return correction

    def overflow(self, began: float, now: float) -> None:
        """Cut the window, since a stage found no room on the service at all.

        :param began: when the stage's request began.
        """
        if began < self._changed_at:
            return
        self._starting = False
        self._cuts = 0
        self._limit = max(MIN_LIMIT, min(self._limit, self._in_use) * MAX_CUT)
        self._multiples.clear()
        self._most_in_use = self._in_use
        self._changed_at = now

    def _grow(self, multiple: float) -> None:
        self._cuts = 0
        self._starting = self._starting and multiple < QUIET_MULTIPLE
        if self._most_in_use < self.limit:
            return
        grown = self._limit * START_GROWTH if self._starting else self._limit + STEP
        # A share of reported slots may be wider than what may be grown to.
        self._limit = max(self._limit, min(MAX_LIMIT, grown))

    def _start_again(self, now: float) -> None:
        self._starting = True
        self._limit = max(START_LIMIT, self._limit)
        self._cuts = 0
        self._multiples.clear()
        self._most_in_use = 0
        self._changed_at = now

    def _cut(self, multiple: float) -> float | None:
        self._starting = False
        if self._cuts == 0:
            self._first_cut_multiple = multiple
        self._cuts += 1
        factor = max(MAX_CUT, TARGET_MULTIPLE / multiple)
        self._limit = max(MIN_LIMIT, self._limit * factor)
        if self._cuts < VAIN_CUTS:
            return None
        vain = multiple > IMPROVEMENT * self._first_cut_multiple
        self._cuts = 0
        return multiple / TARGET_MULTIPLE if vain else None
