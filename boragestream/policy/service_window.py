"""Limits the number of requests that this entry has in progress on one service.

The entries share the servers without coordination, so each adapts its own window to
the durations that it measures. If stages take longer than the target multiple of their
duration without queueing, the window is cut by a factor. Otherwise it grows by a step,
provided that it was fully used. Additive increase and multiplicative decrease on a
signal that all entries see makes their windows converge. Only requests that began after
the last change are evaluated, since earlier ones reflect the previous window.

Until the first sign of queueing, a window is at least as wide as the entry's share of
the slots that the servers report, since no request completes while a burst of long
streams begins. The same applies after an idle time, since an old cut does not reflect
the current load of the servers. ``policy.slot_shares`` determines the share.
"""

import math
import statistics

__all__ = ["ServiceWindow"]

START_LIMIT = 4.0
MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
# At this multiple more work waits at the servers than runs there, so that neither a cut
# of the window nor an uneven choice among the servers leaves a server idle.
TARGET_MULTIPLE = 1.6
MAX_CUT = 0.5
START_GROWTH = 1.5
# Stages that take longer than this multiple already queue. The window then grows by
# steps instead of a factor.
UNQUEUED_MULTIPLE = 1.15
STEP = 1.0
MIN_SAMPLES = 6
MIN_SECONDS = 0.05
# If this number of consecutive cuts does not lower the multiple, there is no queue to
# shorten: the servers themselves have become slower.
MAX_INEFFECTIVE_CUTS = 6
IMPROVEMENT = 0.9
# After this time without a request, a queue at the servers has drained.
IDLE_SECONDS = 30.0


class ServiceWindow:
    """The window of one service; the owner must hold a lock."""

    def __init__(self, now: float) -> None:
        self._limit = START_LIMIT
        self._in_use = 0
        self._most_in_use = 0
        self._changed_at = now
        # Infinite until the first request, so that a new window is not seen as idle.
        self._requested_at = math.inf
        self._starting = True
        self._multiples: list[float] = []
        self._cuts = 0
        self._first_cut_multiple = 0.0

    @property
    def limit(self) -> int:
        """The maximum number of requests in progress."""
        return math.ceil(self._limit)

    @property
    def in_use(self) -> int:
        """The number of requests in progress that still need the service."""
        return self._in_use

    @property
    def open(self) -> bool:
        """Whether one more request may begin."""
        return self._in_use < self.limit

    def request_room(self, share: float, now: float) -> None:
        """Record a request for room, and widen a window in its start phase.

        :param share: this entry's share of the servers' slots; 0 if unknown.
        """
        if not self._in_use and now - self._requested_at > IDLE_SECONDS:
            self._restart(now)
        self._requested_at = now
        if self._starting:
            self._limit = max(self._limit, share * TARGET_MULTIPLE)

    def take(self) -> None:
        """Record that a request begins."""
        self._in_use += 1
        self._most_in_use = max(self._most_in_use, self._in_use)

    def release(self) -> None:
        """Record that a request has ended or needs the service no more."""
        self._in_use -= 1

    def observe(self, multiple: float, began: float, now: float) -> float | None:
        """Adapt the window to the duration of a stage on the service.

        :param multiple: the duration as a multiple of the stage's baseline.
        :param began: when the stage's request began.
        :returns: the factor by which the service's baselines are too low, else None.
        """
        if began < self._changed_at:
            return None
        self._multiples.append(multiple)
        enough = len(self._multiples) >= min(MIN_SAMPLES, self.limit)
        if not enough or now - self._changed_at < MIN_SECONDS:
            return None
        # The median is used because a queue delays all calls. One unresponsive server
        # of several delays a part of them, and must not reduce the work of the others.
        median = statistics.median_low(self._multiples)
        slow = median > TARGET_MULTIPLE
        correction = self._cut(median) if slow else self._grow(median)
        self._multiples.clear()
        self._most_in_use = self._in_use
        self._changed_at = now
        return correction

    def overflow(self, began: float, now: float) -> None:
        """Cut the window after a stage found no room on the service.

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
        self._starting = self._starting and multiple < UNQUEUED_MULTIPLE
        if self._most_in_use < self.limit:
            return
        grown = self._limit * START_GROWTH if self._starting else self._limit + STEP
        # A share of the reported slots may exceed the maximum for growth.
        self._limit = max(self._limit, min(MAX_LIMIT, grown))

    def _restart(self, now: float) -> None:
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
        if self._cuts < MAX_INEFFECTIVE_CUTS:
            return None
        ineffective = multiple > IMPROVEMENT * self._first_cut_multiple
        self._cuts = 0
        return multiple / TARGET_MULTIPLE if ineffective else None
