"""Follows the keys under one prefix of the platform's store.

Each prefix is followed by one loop, which one thread runs until the entry stops.
``policy.watching`` decides when to send a watch or a read, and ``policy.confirming``
when to send a further read while a watch is open. ``policy.publication`` defines the
answers, and the platform adapter decodes the published values. Values that other
entries relay arrive through ``take_relayed``.
"""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import (
    NO_ERA,
    Changes,
    HistoryGone,
    Position,
    PublishedStore,
    Relayed,
    Snapshot,
)
from boragestream.policy.published_table import (
    AnswerStatus,
    PublishedTable,
    ValueSource,
)
from boragestream.policy.watching import StoreCallSchedule

__all__ = ["NotCurrent", "Publication"]

# While changes keep coming, the gap between two watches doubles up to this limit. When
# 83 entries start and servers are listed one by one for five seconds, a constant gap
# still gave 17 calls per entry. The limit is well below the seconds for which a leaving
# server still serves requests.
MAX_GAP_SECONDS = 1.0
# Prevents a busy loop when the platform answers at once without any change.
UNCHANGED_GAP_SECONDS = 0.05
# A watch that ends without an answer counts as a lost watch if the platform answered
# another read or watch, of any entry, within this time and since the watch began.
# Otherwise the platform counts as unreachable.
LOST_WATCH_SECONDS = 3.0

# The log names this many keys of a change and gives the number of all.
LOGGED_KEYS = 5


@dataclass(frozen=True, slots=True)
class NotCurrent(Failure):
    """The values known here lack changes that the store has.

    :ivar prefix: that of their keys.
    :ivar reason: what shows it.
    """

    prefix: str
    reason: str


@dataclass(frozen=True, slots=True)
class _State:
    """The position of a table, the keys of its held values, and its lapsed ones.

    :ivar lapsed: the seconds left of each key that lapsed in an outage.
    """

    position: Position | None
    held: frozenset[str]
    lapsed: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Publication:
    """Follows the values that are published under one prefix.

    :ivar watch_seconds: the longest time that one watch may stay open.
    :ivar take: called with the values by key after each change.
    :ivar on_change: called after each change, to relay it to other entries.
    :ivar unreachable: the event to log if the store gives no answer.
    :ivar clock: measures the duration of calls to the store.
    :ivar before_answer: called for each answer of the store, before it is applied.
    :ivar gap_seconds: how long to wait after a change, so that the changes that follow
        arrive in one answer; the wait doubles while changes keep coming.
    :ivar lock: held while values are put in use.
    :ivar on_answer: called after each answer or relayed message, even if nothing has
        changed.
    :ivar on_failure: called each time that the store gives no answer.
    """

    store: PublishedStore
    prefix: str
    watch_seconds: float
    table: PublishedTable | OperatorTable
    following: StoreCallSchedule
    confirming: ConfirmationSchedule
    take: Callable[[dict[str, bytes]], None]
    on_change: Callable[[], None]
    before_answer: Callable[[], None]
    unreachable: Event
    stopping: threading.Event
    clock: Clock
    on_answer: Callable[[], None] = lambda: None
    on_failure: Callable[[], None] = lambda: None
    gap_seconds: float = 0.0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self) -> None:
        """Follow the published values until the entry stops."""
        must_read = False
        failing = False
        gap = self.gap_seconds
        while not self.stopping.is_set():
            if not self.following.should_call(self.prefix):
                self.stopping.wait(self.following.pause_seconds(self.prefix))
                continue
            sent_at, sent_position = self.clock.now(), self.table.position
            answer = self._request(must_read)
            standing = self._classify(answer, sent_position)
            must_read = standing is AnswerStatus.UNCONNECTED
            if must_read or standing is AnswerStatus.OUTDATED:
                self.following.note_unusable(self.prefix)
                continue
            if isinstance(answer, Failure):
                failing = self._record_unanswered(answer, sent_at, failing)
                continue
            if failing:
                self._log_regained(answer)
            failing = False
            changed = self._accept(answer)
            answered_quickly = self.clock.now() - sent_at < self.gap_seconds
            if changed and answered_quickly:
                gap = min(MAX_GAP_SECONDS, 2 * gap)
            else:
                gap = self.gap_seconds
            self.stopping.wait(gap if changed else UNCHANGED_GAP_SECONDS)

    def confirm(self) -> bool:
        """Send a read that returns at once if the open watch may be lost.

        A read is also sent after an outage during which the watch stayed open: only
        the first answer after the outage tells the keys that lapsed from those that
        are removed later.

        :returns: False if the store gave no answer.
        """
        if not self.following.has_pending_watch(self.prefix):
            return True
        must_settle = self.table.awaits_first_answer and not self.confirming.is_delayed
        if not must_settle and not self.confirming.should_read(self.prefix):
            return True
        sent_at, sent_position = self.clock.now(), self.table.position
        answer = self._read_changes(sent_position, self.confirming.answer_seconds())
        if isinstance(answer, HistoryGone):
            # The store was restored from a copy during the read.
            self.confirming.note_unusable()
            return True
        if isinstance(answer, Failure):
            if not self.confirming.failing(self.prefix):
                emit(self.unreachable, failure=answer.describe())
            self.table.note_failure()
            self.following.note_unanswered()
            self.confirming.note_failure(self.prefix)
            self.on_failure()
            return False
        if self._classify(answer, sent_position) is AnswerStatus.OUTDATED:
            self.confirming.note_unusable()
            return True
        if self.confirming.failing(self.prefix):
            self._log_regained(answer)
        self._apply(answer)
        self._note_confirmed(sent_at)
        return True

    def refresh(self, answer_seconds: float) -> Failure | None:
        """Apply what was published so far; return why it is not all known, or None.

        A watch can be deaf for a moment, also one that does not wait, so that the
        revision of the store shows whether anything is missing.

        :param answer_seconds: how long each answer of the store may take.
        """
        sent_at, sent_position = self.clock.now(), self.table.position
        if sent_position is None:
            return NotCurrent(self.prefix, "nothing is known yet")
        current = self.store.read_position(answer_seconds)
        if isinstance(current, Failure):
            return current
        if self._reaches(current):
            self._note_confirmed(sent_at)
            return None
        answer = self._read_changes(sent_position, answer_seconds)
        if isinstance(answer, Failure):
            return answer
        if self._classify(answer, sent_position) is AnswerStatus.OUTDATED:
            return NotCurrent(self.prefix, "the answer is outdated")
        self._apply(answer)
        if not self._reaches(current):
            return NotCurrent(self.prefix, "the answer lacks changes")
        self._note_confirmed(sent_at)
        return None

    def _reaches(self, position: Position) -> bool:
        """Return whether all changes up to a position of the store are in use."""
        known = self.table.applied_position
        if known is None:
            return False
        era = known.era if position.era == NO_ERA else position.era
        return known.era == era and known.revision >= position.revision

    def _read_changes(
        self, known: Position, answer_seconds: float
    ) -> Snapshot | Changes | HistoryGone | Failure:
        """Read what has changed, without waiting; all values if changes are gone."""
        answer = self.store.watch(self.prefix, known.revision, 0.0, answer_seconds)
        if self._classify(answer, known) is AnswerStatus.UNCONNECTED:
            answer = self.store.read(self.prefix)
        return answer

    def _note_confirmed(self, known_until: float) -> None:
        """Record that all changes published up to a time are known."""
        self.following.note_confirmed(self.prefix, known_until)
        self.confirming.note_answer(self.prefix, known_until)

    def take_relayed(self, relayed: Relayed) -> None:
        """Apply values that another entry relays."""
        before = self._state()
        trouble = self.following.seconds_since_failure()
        changed = self.table.apply_relayed(relayed, trouble)
        self._log_transition(before, ValueSource.PEER)
        # Messages come in the thread of the exchange, which does not wait for a
        # configuration that another thread decodes. The next answer catches up.
        self._put_in_use(changed, wait=changed)
        if self.table.revision is not None:
            self.on_answer()

    def release_held(self) -> None:
        """Release held values whose retention time has passed."""
        before = self._state()
        if self.table.drop_expired():
            self._log_transition(before, ValueSource.TIME)
            self._put_in_use(changed=True)

    def _classify(
        self, answer: Snapshot | Changes | Failure, sent_position: Position | None
    ) -> AnswerStatus | None:
        """Return how the table can use an answer; None if there is no answer."""
        if isinstance(answer, HistoryGone):
            return AnswerStatus.UNCONNECTED
        if isinstance(answer, Failure):
            return None
        return self.table.answer_status(answer, sent_position)

    def _request(self, must_read: bool) -> Snapshot | Changes | HistoryGone | Failure:
        revision = self.table.revision
        if revision is None or must_read:
            return self.store.read(self.prefix)
        wait = self.following.wait_seconds(self.prefix, self.watch_seconds)
        limit = self.following.answer_seconds(self.prefix)
        return self.store.watch(self.prefix, revision, wait, limit)

    def _accept(self, answer: Snapshot | Changes) -> bool:
        changed = self._apply(answer)
        from_watch = isinstance(answer, Changes)
        self.following.note_answer(self.prefix, from_watch)
        self.confirming.note_answer(self.prefix, self.clock.now())
        return changed

    def _apply(self, answer: Snapshot | Changes) -> bool:
        before = self._state()
        first = before.position is None
        self.before_answer()
        changed = self.table.apply_answer(answer) or first
        self._log_transition(before, ValueSource.PLATFORM)
        # Also an answer that changes nothing waits until the values are in use, since
        # it confirms them.
        self._put_in_use(changed)
        self.on_answer()
        return changed

    def _state(self) -> "_State":
        table = self.table
        held = frozenset(held.key for held in table.held)
        return _State(table.position, held, table.lapsed_seconds)

    def _log_regained(self, answer: Snapshot | Changes) -> None:
        emit(
            Event.STORE_REGAINED,
            prefix=self.prefix,
            revision=answer.revision,
            era=answer.era,
        )

    def _log_transition(self, before: "_State", source: ValueSource) -> None:
        """Log a later era and the values that began or ceased to be held.

        :param before: the state before the values were applied.
        :param source: what the values come from.
        """
        now = self._state()
        if before.position is not None and now.position.era > before.position.era:
            emit(
                Event.STORE_RETURNED,
                prefix=self.prefix,
                source=source.value,
                era_before=before.position.era,
                revision_before=before.position.revision,
                era=now.position.era,
                revision=now.position.revision,
                away_ms=int(self.confirming.age() * 1000),
            )
        if now.held - before.held:
            held = [h for h in self.table.held if h.key not in before.held]
            emit(
                Event.VALUES_HELD,
                prefix=self.prefix,
                source=source.value,
                kept=[h.key for h in held if h.used is not None][:LOGGED_KEYS],
                withheld=[h.key for h in held if h.used is None][:LOGGED_KEYS],
                count=len(held),
                most_ms=int(max((h.seconds for h in held), default=0.0) * 1000),
            )
        lapsed = sorted(now.lapsed.keys() - before.lapsed.keys())
        if lapsed:
            emit(
                Event.VALUES_LAPSED,
                prefix=self.prefix,
                source=source.value,
                keys=lapsed[:LOGGED_KEYS],
                count=len(lapsed),
                most_ms=int(max(now.lapsed[key] for key in lapsed) * 1000),
                revision=now.position.revision,
            )
        ended = before.held - now.held
        if ended:
            emit(
                Event.VALUES_RELEASED,
                prefix=self.prefix,
                source=source.value,
                keys=sorted(ended)[:LOGGED_KEYS],
                count=len(ended),
            )

    def _put_in_use(self, changed: bool, wait: bool = True) -> None:
        """Have the known values used, and other entries notified of a change.

        :param changed: whether the calling thread has changed the values.
        :param wait: whether to wait for a thread that puts values in use.
        """
        if not self.lock.acquire(blocking=wait):
            return
        try:
            # Read before the values, which may be newer by then.
            state = self.table.state
            if not self.table.is_applied(state):
                self.take(self.table.values)
            self.table.note_applied(state)
        finally:
            self.lock.release()
        # The values are in use before other entries are notified, since those may
        # request them at once.
        if changed:
            self.on_change()

    def _record_unanswered(
        self, failure: Failure, sent_at: float, failing: bool
    ) -> bool:
        """Record an unanswered call; return whether the store counts as unreachable."""
        now = self.clock.now()
        recently = max(sent_at, now - LOST_WATCH_SECONDS)
        was_watching = self.following.has_pending_watch(self.prefix)
        if was_watching and self.confirming.confirmed_since(self.prefix, recently):
            emit(
                Event.WATCH_LOST,
                prefix=self.prefix,
                waited_ms=int((now - sent_at) * 1000),
                failure=failure.describe(),
            )
            self.following.note_call_lost(self.prefix)
            return failing
        self.table.note_failure()
        self.following.note_failure(self.prefix)
        self.on_failure()
        if not failing:
            emit(self.unreachable, failure=failure.describe())
        return True
