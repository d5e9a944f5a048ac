"""Which entries watch what the platform publishes, and when the others ask it.

The platform counts each call, a waiting watch as one, so that the number of calls must
not grow with the number of entries times the number of changes: with 195 entries that
all watched, calls took 0.04 to 0.11 of what a day was worth. Two entries of each data
centre watch, chosen alike by all entries from those that they believe to be alive;
where beliefs differ for a moment, one too many or too few watches, which does no harm.
The others learn it from their peers.

Load patterns: hundreds of entries and a change every second; all watchers gone at once;
an outage of the platform, in which everybody would ask all the time; a platform that
turns the watchers away and would answer others. How what is published travels between
entries is left to ``entry.relay`` and ``entry.published_relay``, the calls themselves
to ``daemon.publication``.
"""

import math
import random
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from boragestream.base.clock import Clock
from boragestream.policy.peers import ListedEntry

__all__ = [
    "MOST_AGE_SECONDS",
    "StoreFollowing",
    "direct_read_seconds",
    "is_first_watcher",
    "is_watcher",
    "retry_pause_seconds",
    "watchers",
]

WATCHERS_PER_DATA_CENTRE = 2
# All the entries that do not watch read directly this often together, to get round a
# relay that is silent without anybody noticing.
DIRECT_READS_PER_SECOND = 2.0
MIN_DIRECT_READ_SECONDS = 5.0
# An entry that gets nothing from its peers asks the platform so long before a change
# must be in force: time for a call, a lost packet and a slow core.
ASK_MARGIN_SECONDS = 1.0
# A part of shorter bounds.
ASK_MARGIN_SHARE = 0.5
# An entry that has just started does not know yet who else watches, nor is it known to
# those who would tell it. For so long it watches by itself what changes fastest: one
# call more a start, for which it knows of a leaving server as soon as a watcher does.
SETTLE_SECONDS = 2.0
# A platform that gave no answer may serve this entry again at any moment, but each call
# counts. The pause doubles up to the second figure, which the return of an outage may
# take to be noticed by one watcher; of several the first informs the others.
RETRY_SECONDS = 0.3
MOST_RETRY_SECONDS = 2.0
# While the platform does not answer the watchers, the other entries together ask it
# this often. A platform that turns the watchers alone away is found in a quarter of a
# second, and an outage costs the same whatever the number of entries.
PROBES_PER_SECOND = 4.0
# A failure that was reported longer ago says nothing of the platform any more.
TROUBLE_SECONDS = 3.0
# The highest age that is sent and logged; older knowledge is as good as none.
MOST_AGE_SECONDS = 3600.0
# Whether an entry has become a watcher is looked at this often.
LOOK_SECONDS = 0.5
LEAST_PAUSE_SECONDS = 0.02


def watchers(names: Iterable[str]) -> frozenset[str]:
    """Return which of a data centre's live entries watch, by rendezvous hashing."""
    ranked = sorted(names, key=_weight, reverse=True)
    return frozenset(ranked[:WATCHERS_PER_DATA_CENTRE])


def is_watcher(name: str, data_centre: str, usable: Iterable[ListedEntry]) -> bool:
    """Return whether an entry is one of its data centre's watchers.

    :param usable: the live entries; one that they do not name yet counts itself in.
    """
    names = {entry.name for entry in usable if entry.data_centre == data_centre}
    return name in watchers(names | {name})


def is_first_watcher(name: str, usable: Iterable[ListedEntry]) -> bool:
    """Return whether an entry comes first among the watchers of all data centres.

    :param usable: the live entries; one that they do not name yet counts itself in.
    """
    return max({name, *(entry.name for entry in usable)}, key=_weight) == name


def direct_read_seconds(entries: int, rng: random.Random) -> float:
    """Return how long an entry that does not watch waits until it reads directly.

    :param entries: how many entries are live.
    :param rng: spreads the reads.
    """
    mean = max(MIN_DIRECT_READ_SECONDS, entries / DIRECT_READS_PER_SECOND)
    return mean * (0.5 + rng.random())


def retry_pause_seconds(failures: int) -> float:
    """Return how long to wait after so many questions in a row without an answer."""
    # The power is bounded as well, since an outage may last.
    return min(MOST_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(failures - 1, 16))


def _weight(name: str) -> int:
    return xxhash.xxh64_intdigest(f"configuration {name}".encode())


@dataclass(slots=True)
class _Following:
    """What is known under one prefix by this entry's own calls.

    :ivar at_once: whether this entry watches it while it settles.
    :ivar known_at: everything published until then is known here.
    :ivar waits: whether a call is under way.
    :ivar in_row: whether the call before it was answered, so that one that waits on
        its connection says that nothing has changed.
    :ivar doubted: whether the platform has not answered another question since the
        call under way began, so that this one may be lost as well.
    :ivar unusable: how many answers could not be used since the last watch that could.
    :ivar not_before: when to ask again after those.
    """

    at_once: bool
    known_at: float = -math.inf
    waits: bool = False
    in_row: bool = False
    doubted: bool = False
    unusable: int = 0
    not_before: float = -math.inf

    def end(self, answered: bool) -> None:
        """Take that the call under way has ended."""
        self.waits = False
        self.in_row = answered
        self.doubted = False


class StoreFollowing:
    """When this entry asks the platform's store itself; any thread may ask.

    How old what it knows can be: everything published until ``age`` seconds ago is in
    force here. The age is 0 while a watch waits that nothing speaks against, and
    travels with each message between entries, so that it counts the whole way. Whether
    such a watch is still there is made sure of by ``policy.confirming``.

    An entry asks by itself once what its peers sent is older than the bound less a
    margin, and so keeps the bound also where it is cut off from its peers or all
    watchers are gone.

    :param prefixes: what is followed, by the keys' beginnings; of each whether it is
        watched from the start on.
    :param bound_seconds: the longest until a published change must be in force here.
    :param designated: returns whether this entry is one of the watchers.
    :param entries: returns how many entries are known to be alive.
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
        self._began = clock.now()
        self._own = {prefix: _Following(once) for prefix, once in prefixes.items()}
        self._relayed_at = -math.inf
        margin = min(ASK_MARGIN_SECONDS, ASK_MARGIN_SHARE * bound_seconds)
        self._patience = bound_seconds - margin
        self._trouble_at = -math.inf
        self._failures = 0
        self._not_before = -math.inf
        # Whether the moment of the next probe was drawn already.
        self._drawn = False
        self._lock = threading.RLock()

    def asks(self, prefix: str) -> bool:
        """Tell whether to ask the store now; a call begins where it does."""
        now = self._clock.now()
        with self._lock:
            own = self._own[prefix]
            if not self._wants(own, now):
                own.in_row = False
                self._drawn = False
                return False
            if now < max(self._not_before, own.not_before):
                return False
            if self._waits_for_turn(now):
                return False
            if self._failures:
                # One prefix shows whether the store is there; the other is asked then.
                self._not_before = now + self._pause()
            own.waits = True
            return True

    def wait_seconds(self, prefix: str, longest: float) -> float:
        """Return how long the call that begins may wait for a change.

        The first of several is answered at once, so that it says something: a watch
        that waits on a connection that leads nowhere would pass for one at which
        nothing changes.

        :param longest: what the store allows.
        """
        if not self._own[prefix].in_row:
            return 0.0
        settles = self._began + SETTLE_SECONDS - self._clock.now()
        return min(longest, settles) if settles > 0 else longest

    def pause_seconds(self, prefix: str) -> float:
        """Return after how long it may be time to ask."""
        now = self._clock.now()
        with self._lock:
            not_before = max(self._not_before, self._own[prefix].not_before)
            due = max(self._relayed_at + self._patience, not_before)
            if due == -math.inf:
                return LOOK_SECONDS
            return min(LOOK_SECONDS, max(LEAST_PAUSE_SECONDS, due - now))

    def note_answer(self, prefix: str, of_watch: bool = True) -> None:
        """Take that the store answered a call.

        :param of_watch: whether it was a watch, that is, whether the store has the
            changes since what is known.
        """
        with self._lock:
            own = self._own[prefix]
            own.known_at = self._clock.now()
            own.end(answered=True)
            if of_watch:
                own.unusable = 0
            self._note_there()

    def note_confirmed(self, prefix: str, known_until: float) -> None:
        """Take that the store answered a question beside the call under way.

        :param known_until: everything published until then is known here, in the
            clock's seconds.
        """
        with self._lock:
            own = self._own[prefix]
            own.known_at = max(own.known_at, known_until)

    def note_unanswered(self) -> None:
        """Take that the store gave no answer to a question beside the calls."""
        with self._lock:
            self._trouble_at = self._clock.now()
            for own in self._own.values():
                own.doubted = own.waits

    def note_lost(self, prefix: str) -> None:
        """Take that a call was lost, while the store answered other questions."""
        with self._lock:
            self._own[prefix].end(answered=False)

    def note_failure(self, prefix: str) -> None:
        """Take that the store gave no answer to a call."""
        now = self._clock.now()
        with self._lock:
            self._own[prefix].end(answered=False)
            self._trouble_at = now
            self._failures += 1
            # The pause is spread already.
            self._drawn = True
            self._not_before = now + self._pause()

    def note_unusable(self, prefix: str) -> None:
        """Take that the store answered, but not what was asked for.

        It is there, so that nothing is put off: an entry whose watch is cut as the
        history is dropped reads all at once, in place of two seconds later. A store
        whose answers go on being of no use is not asked in a closed loop.
        """
        with self._lock:
            own = self._own[prefix]
            own.end(answered=own.in_row)
            self._note_there()
            # What follows belongs to the turn that this entry has had.
            self._drawn = True
            own.unusable += 1
            if own.unusable > 1:
                pause = retry_pause_seconds(own.unusable - 1)
                spread = 0.5 + self._rng.random()
                own.not_before = self._clock.now() + pause * spread

    def waits(self, prefix: str) -> bool:
        """Tell whether this entry relies on a watch that waits."""
        own = self._own[prefix]
        return own.waits and own.in_row

    def take_notice(self, age_seconds: float, trouble_seconds: float) -> None:
        """Take the age of a peer's message whose content is known here.

        :param age_seconds: how old what the peer knows can be.
        :param trouble_seconds: how long ago the store did not answer somebody.
        """
        now = self._clock.now()
        with self._lock:
            self._relayed_at = max(self._relayed_at, now - age_seconds)
            self._trouble_at = max(self._trouble_at, now - trouble_seconds)
            if now - age_seconds > self._trouble_at and not self._designated():
                # Somebody was answered since, so that there is no outage any more to
                # spread this entry's questions over.
                self._failures = 0
                self._not_before = -math.inf

    def age(self) -> float:
        """Return how old what is known here can be, in seconds.

        Where nothing is known for certain, such as after a start with what peers sent
        alone, it is ``MOST_AGE_SECONDS``.
        """
        now = self._clock.now()
        with self._lock:
            known = min(self._known_at(own, now) for own in self._own.values())
            return min(MOST_AGE_SECONDS, now - max(known, self._relayed_at))

    def trouble_seconds(self) -> float:
        """Return how long ago the store did not answer somebody; may be infinite."""
        return self._clock.now() - self._trouble_at

    def _wants(self, own: _Following, now: float) -> bool:
        nothing_known = max(own.known_at, self._relayed_at) == -math.inf
        if nothing_known or self._is_silent(own, now):
            return True
        if now - self._began < SETTLE_SECONDS:
            return own.at_once
        return self._designated()

    def _is_silent(self, own: _Following, now: float) -> bool:
        """Tell whether the peers have said nothing in time."""
        confirmed_at = self._relayed_at
        if confirmed_at == -math.inf:
            # Until the peers' first word, own answers count.
            confirmed_at = own.known_at if not own.in_row else self._began
        return now - confirmed_at > self._patience

    def _waits_for_turn(self, now: float) -> bool:
        """Tell whether this entry's turn among all those that probe is yet to come."""
        troubled = now - self._trouble_at < TROUBLE_SECONDS
        if self._drawn or not troubled or self._designated():
            return False
        self._drawn = True
        self._not_before = now + self._rng.random() * self._spread()
        return True

    def _spread(self) -> float:
        return self._entries() / PROBES_PER_SECOND

    def _pause(self) -> float:
        pause = retry_pause_seconds(self._failures)
        if not self._designated():
            pause = max(pause, self._spread())
        return pause * (0.5 + self._rng.random())

    def _note_there(self) -> None:
        self._failures = 0
        self._not_before = -math.inf
        self._drawn = False

    def _known_at(self, own: _Following, now: float) -> float:
        trusted = own.waits and own.in_row and not own.doubted
        return now if trusted else own.known_at
