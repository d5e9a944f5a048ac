"""The tasks that follow the platform's store: one for each prefix.

Each is a loop written straight down, run by one thread until the entry stops. When to
ask is decided by ``policy.watching`` and, beside a watch that waits, by
``policy.confirming``; what is taken by ``policy.publication``; what is published is
decoded by the adapter. What other entries pass on comes in by ``take_relayed``.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.policy.confirming import Confirming
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import (
    Changes,
    HistoryGone,
    Position,
    PublishedStore,
    Relayed,
    Snapshot,
)
from boragestream.policy.published_table import PublishedTable, Standing
from boragestream.policy.watching import StoreFollowing

__all__ = ["Publication"]

# While changes come one after the other the gap doubles up to this. At the start of 83
# entries, when servers are listed one by one for five seconds, the gap alone left 17
# calls an entry; it is well below the seconds that a leaving server still serves.
MOST_GAP_SECONDS = 1.0
# A platform that answers without any change, at once, is not asked in a closed loop.
QUIET_GAP_SECONDS = 0.05
# A watch that ends without an answer was lost alone where the platform has answered
# another question, of whichever entry, within this time and since it began. Else the
# platform is away.
LOST_ALONE_SECONDS = 3.0


# The log names the first few keys of a change and says how many there are.
LOGGED_KEYS = 5


@dataclass(frozen=True, slots=True)
class _State:
    """What a table goes by: up to where it is known, and what is held."""

    position: Position | None
    held: frozenset[str]


@dataclass(frozen=True, slots=True)
class Publication:
    """Follows what is published under one prefix.

    :ivar watch_seconds: how long one watch may wait.
    :ivar take: takes the values by key after each change.
    :ivar changed: called after each change, so that it is passed on to other entries.
    :ivar unreachable: the event to log where the store gives no answer.
    :ivar clock: times the answers.
    :ivar answered: called for each answer of the store, before it is taken.
    :ivar gap_seconds: how long to wait after changes, so that others that follow come
        in one answer; longer while they keep coming.
    :ivar known: called after each answer, also where nothing has changed.
    :ivar failed: called each time that the store gave no answer.
    """

    store: PublishedStore
    prefix: str
    watch_seconds: float
    table: PublishedTable | OperatorTable
    following: StoreFollowing
    confirming: Confirming
    take: Callable[[dict[str, bytes]], None]
    changed: Callable[[], None]
    answered: Callable[[], None]
    unreachable: Event
    stopping: threading.Event
    clock: Clock
    known: Callable[[], None] = lambda: None
    failed: Callable[[], None] = lambda: None
    gap_seconds: float = 0.0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self) -> None:
        """Follow what is published until the entry stops."""
        again = False
        failing = False
        gap = self.gap_seconds
        while not self.stopping.is_set():
            if not self.following.asks(self.prefix):
                self.stopping.wait(self.following.pause_seconds(self.prefix))
                continue
            asked_at, asked = self.clock.now(), self.table.position
            answer = self._ask(again)
            standing = self._standing(answer, asked)
            again = standing is Standing.UNCONNECTED
            if again or standing is Standing.OUTDATED:
                self.following.note_unusable(self.prefix)
                continue
            if isinstance(answer, Failure):
                failing = self._end_unanswered(answer, asked_at, failing)
                continue
            if failing:
                self._log_regained(answer)
            failing = False
            changed = self._take(answer)
            at_once = self.clock.now() - asked_at < self.gap_seconds
            if changed and at_once:
                gap = min(MOST_GAP_SECONDS, 2 * gap)
            else:
                gap = self.gap_seconds
            self.stopping.wait(gap if changed else QUIET_GAP_SECONDS)

    def confirm(self) -> bool:
        """Ask a question that does not wait where the watch may be lost.

        So is one asked after an outage that the watch has outlived, as only the first
        answer after it separates what lapsed from what is removed later.

        :returns: False where the store gave no answer.
        """
        if not self.following.waits(self.prefix):
            return True
        settles = self.table.unsettled and not self.confirming.put_off
        if not settles and not self.confirming.asks(self.prefix):
            return True
        asked_at, asked = self.clock.now(), self.table.position
        answer = self.store.watch(self.prefix, asked.revision, 0.0)
        if self._standing(answer, asked) is Standing.UNCONNECTED:
            answer = self.store.read(self.prefix)
        if isinstance(answer, HistoryGone):
            # The store came back from a copy as it was read.
            self.confirming.note_unusable()
            return True
        if isinstance(answer, Failure):
            if not self.confirming.failing(self.prefix):
                emit(self.unreachable, failure=answer.describe())
            self.table.note_failure()
            self.following.note_unanswered()
            self.confirming.note_failure(self.prefix)
            self.failed()
            return False
        if self._standing(answer, asked) is Standing.OUTDATED:
            self.confirming.note_unusable()
            return True
        if self.confirming.failing(self.prefix):
            self._log_regained(answer)
        self._apply(answer)
        self.following.note_confirmed(self.prefix, asked_at)
        self.confirming.note_answer(self.prefix, asked_at)
        return True

    def take_relayed(self, relayed: Relayed) -> None:
        """Take what another entry passes on."""
        before = self._state()
        changed = self.table.take_relayed(relayed)
        self._log_return(before, "peer")
        if changed:
            self._publish()
        if self.table.revision is not None:
            self.known()

    def look_again(self) -> None:
        """Believe the store again where it was to be believed later."""
        before = self._state()
        if self.table.drop_lapsed():
            self._log_return(before, "time")
            self._publish()

    def _standing(
        self, answer: Snapshot | Changes | Failure, asked: Position | None
    ) -> Standing | None:
        """Return what an answer is to the table; None where there is no answer."""
        if isinstance(answer, HistoryGone):
            return Standing.UNCONNECTED
        if isinstance(answer, Failure):
            return None
        return self.table.standing(answer, asked)

    def _ask(self, again: bool) -> Snapshot | Changes | HistoryGone | Failure:
        revision = self.table.revision
        if revision is None or again:
            return self.store.read(self.prefix)
        wait = self.following.wait_seconds(self.prefix, self.watch_seconds)
        return self.store.watch(self.prefix, revision, wait)

    def _take(self, answer: Snapshot | Changes) -> bool:
        changed = self._apply(answer)
        of_watch = isinstance(answer, Changes)
        self.following.note_answer(self.prefix, of_watch)
        self.confirming.note_answer(self.prefix, self.clock.now())
        return changed

    def _apply(self, answer: Snapshot | Changes) -> bool:
        before = self._state()
        first = before.position is None
        self.answered()
        changed = self.table.take(answer) or first
        self._log_return(before, "platform")
        # Before it is passed on to others, who may ask for it at once.
        if changed:
            self._publish()
        self.known()
        return changed

    def _state(self) -> "_State":
        table = self.table
        return _State(table.position, frozenset(held.key for held in table.held))

    def _log_regained(self, answer: Snapshot | Changes) -> None:
        emit(
            Event.STORE_REGAINED,
            prefix=self.prefix,
            revision=answer.revision,
            era=answer.era,
        )

    def _log_return(self, before: "_State", source: str) -> None:
        """Log a later era, and what is used against what the store says."""
        now = self._state()
        if before.position is not None and now.position.era > before.position.era:
            emit(
                Event.STORE_RETURNED,
                prefix=self.prefix,
                source=source,
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
                source=source,
                kept=[h.key for h in held if h.used is not None][:LOGGED_KEYS],
                withheld=[h.key for h in held if h.used is None][:LOGGED_KEYS],
                count=len(held),
                most_ms=int(max((h.seconds for h in held), default=0.0) * 1000),
            )
        ended = before.held - now.held
        if ended:
            emit(
                Event.VALUES_RELEASED,
                prefix=self.prefix,
                source=source,
                keys=sorted(ended)[:LOGGED_KEYS],
                count=len(ended),
            )

    def _publish(self) -> None:
        with self.lock:
            self.take(self.table.values)
        self.changed()

    def _end_unanswered(self, failure: Failure, asked_at: float, failing: bool) -> bool:
        """Take that a call was not answered; True where the store is away."""
        now = self.clock.now()
        lately = max(asked_at, now - LOST_ALONE_SECONDS)
        waited = self.following.waits(self.prefix)
        if waited and self.confirming.confirmed_since(self.prefix, lately):
            emit(
                Event.WATCH_LOST,
                prefix=self.prefix,
                waited_ms=int((now - asked_at) * 1000),
                failure=failure.describe(),
            )
            self.following.note_lost(self.prefix)
            return failing
        self.table.note_failure()
        self.following.note_failure(self.prefix)
        self.failed()
        if not failing:
            emit(self.unreachable, failure=failure.describe())
        return True
