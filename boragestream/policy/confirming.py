"""Scheduling of reads that verify a pending watch of the platform.

A pending watch shows neither that nothing has changed nor that the platform still
serves it. A watch that was sent while the platform did not answer, or whose connection
is dead, is never answered. An entry that took such a watch as proof that nothing had
changed went on calling servers that had left, for up to the longest wait of a watch.
An entry that relies on a watch therefore sends a non-waiting read once its values have
not been confirmed for a share of the bound. An idle entry waits several times as long.

One entry sends this read earlier than all others, and the others receive the
confirmation with the next messages of their peers. If that entry is lost, cut off or
refused, the others send their own reads, still within the bound.

Load patterns: a platform that stops answering right after a change, when all watches
are sent again; connections of all entries that die at the same time; a fleet that is
idle for months, where each call is charged. With a change every five seconds, an entry
in use makes 53 calls a minute if all of six entries watch (12 without these reads), 8
calls with 59 entries (2) and 1.7 calls with 195 entries (0.7), in simulated time.
``daemon.publication`` handles the watches; ``policy.watchers`` selects the watchers.
"""

import math
import random
import threading
from collections.abc import Callable, Iterable

from boragestream.base.clock import Clock
from boragestream.policy.store_times import answer_seconds, retry_delay_seconds
from boragestream.policy.watching import MAX_AGE_SECONDS

__all__ = ["ConfirmationSchedule"]

# The first entry reads after this share of the bound. A change that its watch has lost
# is then known there at once and on all entries a second later.
FIRST_SHARE = 0.25
# The other entries read after this share. By then the first entry's confirmation has
# reached them if that entry is live. The rest of the bound allows for a late answer.
OTHERS_SHARE = 0.75
# An entry without a decision for the first time span multiplies its intervals by the
# factor. Its next decision uses the known values and makes it read at once.
IDLE_AFTER_SECONDS = 30.0
IDLE_FACTOR = 8.0
# Interval for determining the first entry, which hashes the name of each live entry.
FIRST_CHECK_INTERVAL_SECONDS = 0.5
# Limits of the delay between checks whether a read is due. The lower one prevents a
# busy loop while an ended watch is about to be sent again; the upper one makes an idle
# entry react soon after its first use.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.25


class ConfirmationSchedule:
    """Schedules this entry's confirming reads; thread-safe.

    :param prefixes: the key prefixes to confirm.
    :param bound_seconds: the longest time until a published change must be in force.
    :param is_first: returns whether this entry reads before the others.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        prefixes: Iterable[str],
        bound_seconds: float,
        is_first: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._bound = bound_seconds
        self._is_first = is_first
        self._first = False
        self._first_checked_at = -math.inf
        self._answered_at = dict.fromkeys(prefixes, -math.inf)
        self._relayed_at = -math.inf
        self._last_used_at = -math.inf
        self._consecutive_failures = 0
        self._failed_prefixes: set[str] = set()
        self._retry_at = -math.inf
        self._lock = threading.Lock()

    def failing(self, prefix: str) -> bool:
        """Return whether the last read of a prefix got no answer."""
        return prefix in self._failed_prefixes

    @property
    def last_answered_at(self) -> float:
        """The time of the platform's last known answer to any entry, for any prefix."""
        with self._lock:
            return max(self._relayed_at, *self._answered_at.values())

    @property
    def is_delayed(self) -> bool:
        """Whether reads are delayed because the last ones failed."""
        return self._clock.now() < self._retry_at

    def note_use(self) -> None:
        """Record that this entry uses published values for a decision."""
        self._last_used_at = self._clock.now()

    def note_answer(self, prefix: str, known_until: float) -> None:
        """Record an answer of the platform.

        :param known_until: the time, in the clock's seconds, up to which every
            published change is known here.
        """
        with self._lock:
            known = self._answered_at[prefix]
            self._answered_at[prefix] = max(known, known_until)
            self._failed_prefixes.discard(prefix)
            self._consecutive_failures = 0
            self._retry_at = -math.inf

    def note_failure(self, prefix: str) -> None:
        """Record that a read of a prefix got no answer."""
        with self._lock:
            self._failed_prefixes.add(prefix)
            self._delay_next_read()

    def note_unusable(self) -> None:
        """Record an unusable answer of the platform."""
        with self._lock:
            self._delay_next_read()

    def note_relayed_age(self, age_seconds: float) -> None:
        """Record the age of a peer's message whose content is known here.

        :param age_seconds: the time since the peer's values were confirmed.
        """
        with self._lock:
            self._relayed_at = max(self._relayed_at, self._clock.now() - age_seconds)

    def age(self) -> float:
        """Return the time since all values known here were confirmed, in seconds.

        The time is at most ``MAX_AGE_SECONDS``, also if they never were confirmed.
        """
        now = self._clock.now()
        with self._lock:
            confirmed = min(self._confirmed_at(p) for p in self._answered_at)
        return min(MAX_AGE_SECONDS, now - confirmed)

    def confirmed_since(self, prefix: str, moment: float) -> bool:
        """Return whether the values known here were confirmed after a moment.

        :param moment: the moment, in the clock's seconds.
        """
        return self._confirmed_at(prefix) > moment

    def should_read(self, prefix: str) -> bool:
        """Return whether a non-waiting read is due."""
        now = self._clock.now()
        with self._lock:
            due = self._confirmed_at(prefix) + self._max_unconfirmed_seconds()
            return now >= max(due, self._retry_at)

    def answer_seconds(self) -> float:
        """Return how long the platform may take to answer the next read, in seconds."""
        return answer_seconds(self._bound, self._consecutive_failures)

    def pause_seconds(self) -> float:
        """Return the delay in seconds until the next check whether a read is due."""
        now = self._clock.now()
        with self._lock:
            confirmed = min(self._confirmed_at(p) for p in self._answered_at)
            due = max(confirmed + self._max_unconfirmed_seconds(), self._retry_at)
            return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, due - now))

    def _delay_next_read(self) -> None:
        """Delay the next read; the delay grows with the number of failures."""
        self._consecutive_failures += 1
        pause = retry_delay_seconds(self._consecutive_failures)
        spread = 0.5 + self._rng.random()
        self._retry_at = self._clock.now() + pause * spread

    def _max_unconfirmed_seconds(self) -> float:
        now = self._clock.now()
        if now - self._first_checked_at >= FIRST_CHECK_INTERVAL_SECONDS:
            self._first, self._first_checked_at = self._is_first(), now
        share = FIRST_SHARE if self._first else OTHERS_SHARE
        idle = now - self._last_used_at > IDLE_AFTER_SECONDS
        return self._bound * share * (IDLE_FACTOR if idle else 1.0)

    def _confirmed_at(self, prefix: str) -> float:
        return max(self._answered_at[prefix], self._relayed_at)
