"""When an open watch of the platform is not enough to go by.

A watch that waits says nothing: neither that nothing has changed nor that it still
waits anywhere. One that was sent while the platform said nothing, or whose connection
has fallen silent, is never answered, and an entry that took it for word that nothing
has changed went on calling servers for as long as a watch may wait after they had
left. So an entry that relies on a watch asks a question that does not wait once nobody
has confirmed what it knows for a part of the bound; one that is not in use, a few times
as long.

One entry asks earlier than all others, which find what it was answered confirmed with
the next messages of their peers. Where that entry is gone, cut off or turned away the
others ask by themselves, still within the bound.

Load patterns: a platform that falls silent right after a change, when all watches are
sent anew; connections of all entries that fall silent at once; a fleet that is idle all
summer, where each call counts. With a change every five seconds an entry that is in use
makes 53 calls a minute where all of six watch (12 before), 8 of 59 entries (2), 1.7 of
195 (0.7), in simulated time. What a watch brings is left to ``daemon.publication``, who
watches to ``policy.watching``.
"""

import math
import random
import threading
from collections.abc import Callable, Iterable

from boragestream.base.clock import Clock
from boragestream.policy.watching import MOST_AGE_SECONDS, retry_pause_seconds

__all__ = ["Confirming"]

# The entry that asks first does so after this part of the bound: a change that its
# watch has lost is known there at once and everywhere a second later.
FIRST_SHARE = 0.25
# The others. By then they have an answer of the first one where it is there. What is
# left of the bound is for an answer that comes late.
OTHERS_SHARE = 0.75
# An entry that has had nothing to decide for so long asks so many times as seldom. Its
# first decision then goes by what it knows, and has it ask at once.
USED_SECONDS = 30.0
IDLE_FACTOR = 8.0
# Who asks first is looked up this often: it takes a hash of each live entry's name.
LOOK_SECONDS = 0.5
# How often it is looked whether to ask: as soon as it may be time, but not all the time
# while a watch that ended is about to be sent anew, and soon after the first use.
LEAST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 0.25


class Confirming:
    """When this entry makes sure of what it knows; any thread may ask.

    :param prefixes: what is followed, by the keys' beginnings.
    :param bound_seconds: the longest until a published change must be in force here.
    :param is_first: returns whether this entry asks before the others.
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
        self._looked_at = -math.inf
        self._answered_at = dict.fromkeys(prefixes, -math.inf)
        self._heard_at = -math.inf
        self._used_at = -math.inf
        self._failures = 0
        self._failing: set[str] = set()
        self._not_before = -math.inf
        self._lock = threading.Lock()

    def failing(self, prefix: str) -> bool:
        """Tell whether the last question about a prefix got no answer."""
        return prefix in self._failing

    @property
    def put_off(self) -> bool:
        """Whether questions wait, since the last ones brought nothing."""
        return self._clock.now() < self._not_before

    def note_use(self) -> None:
        """Take that this entry decides by what is published."""
        self._used_at = self._clock.now()

    def note_answer(self, prefix: str, known_until: float) -> None:
        """Take that the platform answered.

        :param known_until: everything published until then is known here, in the
            clock's seconds.
        """
        with self._lock:
            known = self._answered_at[prefix]
            self._answered_at[prefix] = max(known, known_until)
            self._failing.discard(prefix)
            self._failures = 0
            self._not_before = -math.inf

    def note_failure(self, prefix: str) -> None:
        """Take that a question about a prefix got no answer."""
        with self._lock:
            self._failing.add(prefix)
            self._put_off()

    def note_unusable(self) -> None:
        """Take that the platform answered with nothing that can be used."""
        with self._lock:
            self._put_off()

    def take_notice(self, age_seconds: float) -> None:
        """Take the age of a peer's message whose content is known here.

        :param age_seconds: how long ago all that the peer knows was confirmed.
        """
        with self._lock:
            self._heard_at = max(self._heard_at, self._clock.now() - age_seconds)

    def age(self) -> float:
        """Return how long ago all that is known here was confirmed, in seconds.

        Where it never was, it is ``MOST_AGE_SECONDS``.
        """
        now = self._clock.now()
        with self._lock:
            confirmed = min(self._confirmed_at(p) for p in self._answered_at)
        return min(MOST_AGE_SECONDS, now - confirmed)

    def confirmed_since(self, prefix: str, moment: float) -> bool:
        """Tell whether anybody has confirmed what is known here since then.

        :param moment: the clock's seconds.
        """
        return self._confirmed_at(prefix) > moment

    def asks(self, prefix: str) -> bool:
        """Tell whether to ask a question that does not wait now."""
        now = self._clock.now()
        with self._lock:
            due = self._confirmed_at(prefix) + self._patience()
            return now >= max(due, self._not_before)

    def pause_seconds(self) -> float:
        """Return after how long it may be time to ask."""
        now = self._clock.now()
        with self._lock:
            confirmed = min(self._confirmed_at(p) for p in self._answered_at)
            due = max(confirmed + self._patience(), self._not_before)
            return min(MOST_PAUSE_SECONDS, max(LEAST_PAUSE_SECONDS, due - now))

    def _put_off(self) -> None:
        """Put the next question off, the longer the more have brought nothing."""
        self._failures += 1
        pause = retry_pause_seconds(self._failures)
        spread = 0.5 + self._rng.random()
        self._not_before = self._clock.now() + pause * spread

    def _patience(self) -> float:
        now = self._clock.now()
        if now - self._looked_at >= LOOK_SECONDS:
            self._first, self._looked_at = self._is_first(), now
        share = FIRST_SHARE if self._first else OTHERS_SHARE
        idle = now - self._used_at > USED_SECONDS
        return self._bound * share * (IDLE_FACTOR if idle else 1.0)

    def _confirmed_at(self, prefix: str) -> float:
        return max(self._answered_at[prefix], self._heard_at)
