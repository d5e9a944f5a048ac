"""Tells keys that lapsed in an outage of the store from keys that were removed.

Servers renew their keys, which lapse if the store can't be reached for a while although
the servers run. The first answers after an outage lack such keys; their servers write
them again within seconds. A key that is removed at any other time is gone, and its
server gets no further work.

Load patterns: the store is down while servers leave; a store that answers most entries
and not this one; all watches are cut at once. ``policy.published_table`` holds the
values and guards this module's objects with its lock.
"""

from collections.abc import Callable

__all__ = ["LapseWindow"]

# Keys that lapsed during an outage are missing from the first answers after it. A later
# removal is a new one.
LAPSE_DETECTION_SECONDS = 0.5


class LapseWindow:
    """The time after an outage in which missing keys count as lapsed; not thread-safe.

    :param now: returns the clock's seconds.
    :param retention_seconds: how long after an outage the value of a lapsed key stays
        in use.
    """

    def __init__(self, now: Callable[[], float], retention_seconds: float) -> None:
        self._now = now
        self._retention_seconds = retention_seconds
        self._in_outage = False
        self._outage_ended_at = float("-inf")
        # The time of the first answer for this prefix since then; None before it.
        self._first_answer_at: float | None = float("-inf")

    @property
    def awaits_first_answer(self) -> bool:
        """Whether an outage has ended without an answer for this prefix since."""
        return self._first_answer_at is None and not self._in_outage

    def note_answer(self) -> None:
        """Record that the store answered a request for this or another prefix."""
        if self._in_outage:
            self._outage_ended_at = self._now()
            self._first_answer_at = None
        self._in_outage = False

    def note_failure(self) -> None:
        """Record that the store gave no answer."""
        self._in_outage = True

    def retention_end(self) -> float | None:
        """Return how long to keep a value that an answer received now lacks.

        :returns: the end in the clock's seconds; None to remove the value immediately.
        """
        now = self._now()
        if self._first_answer_at is None:
            self._first_answer_at = now
        until = self._outage_ended_at + self._retention_seconds
        lapsed = now - self._first_answer_at < LAPSE_DETECTION_SECONDS and now < until
        return until if lapsed else None
