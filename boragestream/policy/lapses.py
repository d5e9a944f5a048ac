"""Distinguishes keys that lapsed in an outage of the store from removed keys.

Servers renew their keys, which lapse if the store can't be reached for a while although
the servers run. The first answers after an outage lack such keys; their servers write
them again within seconds. A key that is removed at any other time is gone, and its
server gets no further work.

Load patterns: the store is down while servers leave; a store that answers most entries
and not this one; all watches are cut at once. ``policy.published_table`` holds the
values and guards this module's objects with its lock.
"""

import math
from collections.abc import Callable

__all__ = ["MIN_OUTAGE_SECONDS", "LapseWindow"]

# A server renews its key every 1.2 s. The key lapses after three intervals without a
# renewal, the first of which may have passed before the outage.
MIN_OUTAGE_SECONDS = 2.4
# Time for the last calls to a missing server to reach it within the bound.
SEND_MARGIN_SECONDS = 0.5
# Keys that lapsed during an outage are missing from the first answers after it. A later
# removal is a new one.
LAPSE_DETECTION_SECONDS = 0.5


class LapseWindow:
    """The time after an outage in which missing keys count as lapsed; not thread-safe.

    An outage is a time in which the store is not known to have answered any entry. A
    failed call of this entry alone is none: the store may have refused or cut off this
    entry, or a single connection may have been lost. Failed calls that other entries
    report count as well, since few entries call the store in an outage. The time before
    this entry started is none, since the store may have answered others then.

    :param now: returns the clock's seconds.
    :param retention_seconds: how long after an outage the value of a lapsed key stays
        in use.
    :param bound_seconds: the longest time until a removal must be in force.
    """

    def __init__(
        self,
        now: Callable[[], float],
        retention_seconds: float,
        bound_seconds: float,
    ) -> None:
        self._now = now
        self._retention_seconds = retention_seconds
        self._bound = bound_seconds
        self._began_at = now()
        self._failed_at = -math.inf
        self._peer_failed_at = -math.inf
        self._outage_ended_at = -math.inf
        # The time of the last known answer to any entry.
        self._last_answered_at = -math.inf
        # The latest end of the retention of keys that lapsed in the last outage.
        self._retained_until = -math.inf
        # The time of the first answer for this prefix since then; None before it.
        self._first_answer_at: float | None = -math.inf

    @property
    def awaits_first_answer(self) -> bool:
        """Whether an outage has ended without an answer for this prefix since."""
        ended_since = self._outage_ended_at > self._failed_at
        return self._first_answer_at is None and ended_since

    def note_answer(self, answered_at: float, previous_at: float) -> None:
        """Record that the store answered this or another entry.

        :param answered_at: the time of the answer, in the clock's seconds.
        :param previous_at: the time of the last answer to any entry before it; minus
            infinity if none is known.
        """
        self._last_answered_at = max(self._last_answered_at, answered_at)
        if previous_at == -math.inf:
            previous_at = self._began_at
        failures = (self._failed_at, self._peer_failed_at)
        failed_between = any(previous_at < at < answered_at for at in failures)
        silence = answered_at - previous_at
        if not failed_between or silence < MIN_OUTAGE_SECONDS:
            return
        self._outage_ended_at = answered_at
        self._first_answer_at = None
        self._retained_until = answered_at + self._retention_seconds
        if silence < self._bound:
            # The server of a missing key may have left right after the previous answer.
            promised = previous_at + self._bound - SEND_MARGIN_SECONDS
            self._retained_until = min(self._retained_until, promised)

    def relayed_retention_end(
        self, followed_seconds: float | None, trouble_seconds: float
    ) -> float | None:
        """Return how long to keep a value that another entry's values lack.

        That entry says which keys have lapsed since it follows the store. If it began
        after the last known answer, the key may have lapsed before, and its values
        count as the store's answer.

        :param followed_seconds: the time since that entry has known any values; None if
            unknown.
        :param trouble_seconds: the time since the store last failed to answer any
            entry.
        :returns: the end in the clock's seconds; None to remove the value immediately.
        """
        now, last = self._now(), self._last_answered_at
        if followed_seconds is None or not now - followed_seconds > last > -math.inf:
            return None
        self.note_peer_failure(now - trouble_seconds)
        self.note_answer(now, last)
        return self.retention_end()

    def note_failure(self) -> None:
        """Record that the store gave no answer to this entry."""
        self._failed_at = self._now()

    def note_peer_failure(self, failed_at: float) -> None:
        """Record that the store gave no answer to another entry.

        :param failed_at: the time of the failure, in the clock's seconds.
        """
        self._peer_failed_at = max(self._peer_failed_at, failed_at)

    def retention_end(self) -> float | None:
        """Return how long to keep a value that an answer received now lacks.

        :returns: the end in the clock's seconds; None to remove the value immediately.
        """
        now = self._now()
        if self._first_answer_at is None:
            self._first_answer_at = now
        until = self._retained_until
        lapsed = now - self._first_answer_at < LAPSE_DETECTION_SECONDS and now < until
        return until if lapsed else None
