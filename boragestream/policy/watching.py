"""Scheduling of calls to the platform's store.

The platform charges for each call, and a pending watch counts as one call. The number
of calls must therefore not grow with the number of entries times the number of changes:
with 195 entries that all watched, calls cost 0.04 to 0.11 of a day's value. Two entries
of each data centre watch (of each region where the settings name several, see
``policy.region_watching``). All entries select them by the same rule from the entries
that they consider live. While their views differ, a data centre can briefly have one
watcher too many or too few, which is harmless. The other entries receive the published
values from their peers.

Load patterns: hundreds of entries and a change every second; the simultaneous loss of
all watchers; an outage of the platform, in which every entry would retry continuously;
a platform that refuses the watchers but would answer other entries. ``entry.relay`` and
``entry.published_relay`` distribute published values between entries;
``daemon.publication`` makes the calls.
"""

import math
import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.store_times import (
    MAX_ANSWER_SECONDS,
    RESEND_SPREAD_SECONDS,
    answer_seconds,
    retry_delay_seconds,
)

__all__ = [
    "MAX_AGE_SECONDS",
    "StoreCallSchedule",
    "direct_read_seconds",
]

# Total rate of direct reads by all entries that do not watch. These reads bypass a
# relay that has stopped without being detected.
DIRECT_READS_PER_SECOND = 2.0
MIN_DIRECT_READ_SECONDS = 5.0
# An entry without messages from its peers calls the platform this long before the bound
# expires, which leaves time for a call, a lost packet and a slow core.
CALL_MARGIN_SECONDS = 1.0
# Upper limit of the margin as a share of the bound, for short bounds.
CALL_MARGIN_SHARE = 0.5
# An entry that has just started does not know the watchers yet, and its peers do not
# relay to it yet. During this time it watches the prefix that changes fastest itself.
# This costs one call per start and detects a leaving server as early as a watcher does.
STARTUP_SECONDS = 2.0
# Total rate at which the other entries probe the platform while it does not answer the
# watchers. They detect within a quarter of a second that only the watchers are refused,
# and the cost of an outage does not depend on the number of entries.
PROBES_PER_SECOND = 4.0
# A failure older than this is no evidence of the platform's current state.
FAILURE_RELEVANT_SECONDS = 3.0
# An entry whose probe was answered for one prefix calls for the others at once within
# this time.
PROBE_ANSWER_SECONDS = 0.5
# Probes begin once the relayed values are older than this share of the bound. The rest
# leaves time for the first answer and its way to all other entries.
PROBE_SHARE = 0.5
# The highest age that is sent and logged; older values count as unknown.
MAX_AGE_SECONDS = 3600.0
# Interval at which an entry checks whether it has become a watcher.
CHECK_INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.02


def direct_read_seconds(entries: int, rng: random.Random) -> float:
    """Return the delay before the next direct read of an entry that does not watch.

    :param entries: the number of live entries.
    :param rng: randomises the delay, so that reads of different entries spread out.
    """
    mean = max(MIN_DIRECT_READ_SECONDS, entries / DIRECT_READS_PER_SECOND)
    return mean * (0.5 + rng.random())


@dataclass(slots=True)
class _PrefixState:
    """The state of this entry's own calls for one prefix.

    :ivar at_startup: whether this entry watches the prefix during its start-up time.
    :ivar complete_until: the time up to which every published change is known here.
    :ivar call_pending: whether a call is in progress.
    :ivar follows_answer: whether the previous call was answered. A watch that is then
        pending on the same connection shows that nothing has changed.
    :ivar suspect: whether another request has failed since the pending call began, so
        that the pending call may be lost as well.
    :ivar unusable_answers: the number of unusable answers since the last usable watch.
    :ivar retry_at: the earliest time of the next call after unusable answers.
    """

    at_startup: bool
    complete_until: float = -math.inf
    call_pending: bool = False
    follows_answer: bool = False
    suspect: bool = False
    unusable_answers: int = 0
    retry_at: float = -math.inf

    def end(self, answered: bool) -> None:
        """Record the end of the pending call."""
        self.call_pending = False
        self.follows_answer = answered
        self.suspect = False


class StoreCallSchedule:
    """Schedules this entry's own calls to the platform's store; thread-safe.

    Every change published up to ``age`` seconds ago is in force here. The age is 0
    while a watch is pending and no evidence suggests that it is lost. Each message
    between entries carries the age, so that it accumulates along the whole path.
    ``policy.confirming`` verifies that a pending watch is still served.

    An entry calls the store itself once the values relayed by its peers are older than
    the bound less a margin. It thereby keeps the bound also when it is cut off from its
    peers or all watchers are lost.

    :param prefixes: the key prefixes to read; the value tells whether this entry
        watches the prefix during its start-up time.
    :param bound_seconds: the longest time until a published change must be in force.
    :param designated: returns whether this entry is one of the watchers.
    :param entries: returns the number of entries believed live.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        prefixes: Mapping[str, bool],
        bound_seconds: float,
        designated: Callable[[], bool],
        entries: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._designated = designated
        self._entries = entries
        self._started_at = clock.now()
        self._prefixes = {
            prefix: _PrefixState(watched) for prefix, watched in prefixes.items()
        }
        self._relayed_at = -math.inf
        self._bound = bound_seconds
        call_margin = min(CALL_MARGIN_SECONDS, CALL_MARGIN_SHARE * bound_seconds)
        self._max_relay_age = bound_seconds - call_margin
        self._last_failure_at = -math.inf
        self._consecutive_failures = 0
        self._not_before = -math.inf
        # Whether the random time of the next probe is already set.
        self._probe_scheduled = False
        self._lock = threading.RLock()

    def should_call(self, prefix: str) -> bool:
        """Return whether to call the store now; if so, record a pending call."""
        now = self._clock.now()
        with self._lock:
            state = self._prefixes[prefix]
            if not self._needs_call(state, now):
                state.follows_answer = False
                self._probe_scheduled = False
                return False
            if now < max(self._not_before, state.retry_at):
                return False
            if self._defer_probe(state, now):
                return False
            if self._consecutive_failures:
                # A call for one prefix shows whether the store answers; the others
                # are delayed until it does.
                self._not_before = now + self._retry_delay()
            state.call_pending = True
            return True

    def wait_seconds(self, prefix: str, longest: float) -> float:
        """Return how long the next call may wait for a change, in seconds.

        The first call of a sequence is answered at once and so verifies the connection.
        A watch pending on a dead connection would otherwise look like one without
        changes.

        :param longest: the longest wait that the store allows.
        """
        if not self._prefixes[prefix].follows_answer:
            return 0.0
        startup_left = self._started_at + STARTUP_SECONDS - self._clock.now()
        return min(longest, startup_left) if startup_left > 0 else longest

    def answer_seconds(self, prefix: str) -> float:
        """Return how long the store may take to answer the next call, in seconds.

        The time counts from the end of the time for which the call may wait.
        """
        if self._prefixes[prefix].follows_answer:
            return MAX_ANSWER_SECONDS
        return answer_seconds(self._bound, self._consecutive_failures)

    def pause_seconds(self, prefix: str) -> float:
        """Return the delay in seconds until the next check whether to call."""
        now = self._clock.now()
        with self._lock:
            not_before = max(self._not_before, self._prefixes[prefix].retry_at)
            due_at = max(self._relayed_at + self._longest_relay_age(now), not_before)
            if due_at == -math.inf:
                return CHECK_INTERVAL_SECONDS
            return min(CHECK_INTERVAL_SECONDS, max(MIN_PAUSE_SECONDS, due_at - now))

    def note_answer(self, prefix: str, of_watch: bool = True) -> None:
        """Record that the store answered the pending call.

        :param of_watch: whether the call was a watch, so that the answer shows that the
            store still has the changes since the known position.
        """
        with self._lock:
            state = self._prefixes[prefix]
            state.complete_until = self._clock.now()
            state.end(answered=True)
            if of_watch:
                state.unusable_answers = 0
            self._note_reachable()

    def note_confirmed(self, prefix: str, known_until: float) -> None:
        """Record that the store answered a request other than the pending call.

        :param known_until: the time, in the clock's seconds, up to which every
            published change is known here.
        """
        with self._lock:
            state = self._prefixes[prefix]
            state.complete_until = max(state.complete_until, known_until)

    def note_unanswered(self) -> None:
        """Record that a request other than the pending calls got no answer."""
        with self._lock:
            self._last_failure_at = self._clock.now()
            for state in self._prefixes.values():
                state.suspect = state.call_pending

    def note_call_lost(self, prefix: str) -> None:
        """Record that a call was lost while the store answered other requests."""
        with self._lock:
            state = self._prefixes[prefix]
            state.end(answered=False)
            delay = self._rng.random() * RESEND_SPREAD_SECONDS
            state.retry_at = self._clock.now() + delay

    def note_failure(self, prefix: str) -> None:
        """Record that the store gave no answer to a call."""
        now = self._clock.now()
        with self._lock:
            self._prefixes[prefix].end(answered=False)
            self._last_failure_at = now
            self._consecutive_failures += 1
            # The retry delay is already randomised.
            self._probe_scheduled = True
            self._not_before = now + self._retry_delay()

    def note_unusable(self, prefix: str) -> None:
        """Record that the store answered a call with an unusable answer.

        The store is reachable, so the first such answer causes no delay: an entry whose
        watch fails because the store dropped its history reads all values immediately
        instead of two seconds later. Repeated unusable answers increase the delay, to
        prevent a busy loop.
        """
        with self._lock:
            state = self._prefixes[prefix]
            state.end(answered=state.follows_answer)
            self._note_reachable()
            # The retry belongs to the probe that this entry has already made.
            self._probe_scheduled = True
            state.unusable_answers += 1
            if state.unusable_answers > 1:
                pause = retry_delay_seconds(state.unusable_answers - 1)
                spread = 0.5 + self._rng.random()
                state.retry_at = self._clock.now() + pause * spread

    def has_pending_watch(self, prefix: str) -> bool:
        """Return whether this entry relies on a pending watch."""
        state = self._prefixes[prefix]
        return state.call_pending and state.follows_answer

    def note_relayed_age(self, age_seconds: float, trouble_seconds: float) -> None:
        """Record the age of a peer's message whose content is known here.

        :param age_seconds: the highest possible age of the peer's values.
        :param trouble_seconds: the time since the store last failed to answer any
            entry.
        """
        now = self._clock.now()
        with self._lock:
            self._relayed_at = max(self._relayed_at, now - age_seconds)
            self._last_failure_at = max(self._last_failure_at, now - trouble_seconds)
            if now - age_seconds > self._last_failure_at and not self._designated():
                # The store has answered another entry since the failure, so the outage
                # is over and retries need no further delay.
                self._consecutive_failures = 0
                self._not_before = -math.inf

    def age(self) -> float:
        """Return the highest possible age of the values known here, in seconds.

        The age is at most ``MAX_AGE_SECONDS``, also when nothing is confirmed, as
        after a start with only the values that peers sent.
        """
        now = self._clock.now()
        with self._lock:
            known = min(
                self._complete_until(state, now) for state in self._prefixes.values()
            )
            return min(MAX_AGE_SECONDS, now - max(known, self._relayed_at))

    def seconds_since_failure(self) -> float:
        """Return the time since the store last failed to answer any entry, or inf."""
        return self._clock.now() - self._last_failure_at

    def _needs_call(self, state: _PrefixState, now: float) -> bool:
        nothing_known = max(state.complete_until, self._relayed_at) == -math.inf
        if nothing_known or self._relay_overdue(state, now):
            return True
        if now - self._started_at < STARTUP_SECONDS:
            return state.at_startup
        return self._designated()

    def _relay_overdue(self, state: _PrefixState, now: float) -> bool:
        """Return whether the last relayed update is older than allowed."""
        confirmed_at = self._relayed_at
        if confirmed_at == -math.inf:
            # Until the first message of a peer, this entry's own answers count.
            confirmed_at = (
                state.complete_until if not state.follows_answer else self._started_at
            )
        return now - confirmed_at > self._longest_relay_age(now)

    def _longest_relay_age(self, now: float) -> float:
        """Return the age of the relayed values at which this entry calls the store."""
        if self._failed_recently(now):
            return min(self._max_relay_age, PROBE_SHARE * self._bound)
        return self._max_relay_age

    def _defer_probe(self, state: _PrefixState, now: float) -> bool:
        """Schedule this entry's probe in an outage; return whether it was deferred."""
        if self._probe_scheduled or not self._failed_recently(now):
            return False
        if self._designated() or self._answered_other(state, now):
            return False
        self._probe_scheduled = True
        self._not_before = now + self._rng.random() * self._mean_probe_interval()
        return True

    def _failed_recently(self, now: float) -> bool:
        return now - self._last_failure_at < FAILURE_RELEVANT_SECONDS

    def _answered_other(self, state: _PrefixState, now: float) -> bool:
        """Return whether the store has just answered this entry for another prefix."""
        others = (s.complete_until for s in self._prefixes.values() if s is not state)
        since = now - PROBE_ANSWER_SECONDS
        return any(answered_at > since for answered_at in others)

    def _mean_probe_interval(self) -> float:
        return self._entries() / PROBES_PER_SECOND

    def _retry_delay(self) -> float:
        pause = retry_delay_seconds(self._consecutive_failures)
        if not self._designated():
            pause = max(pause, self._mean_probe_interval())
        return pause * (0.5 + self._rng.random())

    def _note_reachable(self) -> None:
        self._consecutive_failures = 0
        self._not_before = -math.inf
        self._probe_scheduled = False

    def _complete_until(self, state: _PrefixState, now: float) -> float:
        trusted = state.call_pending and state.follows_answer and not state.suspect
        return now if trusted else state.complete_until
