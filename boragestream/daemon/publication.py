"""The tasks that follow the platform's store: one for each prefix.

Each is a loop written straight down, run by one thread until the entry stops. What is
published is decoded by the adapter; whether it is taken is decided by ``policy``.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.policy.publication import (
    Changes,
    HistoryGone,
    PublishedStore,
    PublishedTable,
    Snapshot,
)

__all__ = ["Publication"]

# A store that gave no answer is asked again after about this long; it may serve this
# instance again at any moment, and each call counts.
RETRY_SECONDS = 0.3
# While changes come one after the other the gap doubles up to this. At the start of 83
# entries, when servers are listed one by one for five seconds, the gap alone left 17
# calls an entry; it is well below the seconds that a leaving server still serves.
MOST_GAP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Publication:
    """Follows what is published under one prefix.

    :ivar watch_seconds: how long one watch may wait.
    :ivar take: takes the values by key after each change.
    :ivar unreachable: the event to log where the store gives no answer.
    :ivar clock: tells how long an answer took.
    :ivar gap_seconds: how long to wait after changes, so that others that follow come
        in one answer; longer while they keep coming.
    :ivar confirmed: called after each answer, also where nothing has changed.
    :ivar failed: called each time that the store gave no answer.
    """

    store: PublishedStore
    prefix: str
    watch_seconds: float
    table: PublishedTable
    take: Callable[[dict[str, bytes]], None]
    unreachable: Event
    stopping: threading.Event
    rng: random.Random
    clock: Clock
    confirmed: Callable[[], None] = lambda: None
    failed: Callable[[], None] = lambda: None
    gap_seconds: float = 0.0

    def run(self) -> None:
        """Read and watch until the entry stops."""
        revision: int | None = None
        failing = False
        gap = self.gap_seconds
        while not self.stopping.is_set():
            asked_at = self.clock.now()
            answer = self._ask(revision)
            if isinstance(answer, HistoryGone):
                revision = None
                continue
            if isinstance(answer, Failure):
                self._note_failure(answer, failing)
                failing = True
                continue
            if failing:
                emit(Event.STORE_REGAINED, prefix=self.prefix, revision=answer.revision)
            failing = False
            revision = self._take(answer)
            at_once = self.clock.now() - asked_at < self.gap_seconds
            gap = min(MOST_GAP_SECONDS, 2 * gap) if at_once else self.gap_seconds
            self.stopping.wait(gap)

    def _ask(self, revision: int | None) -> Snapshot | Changes | HistoryGone | Failure:
        if revision is None:
            return self.store.read(self.prefix)
        wait = self.watch_seconds
        lapse = self.table.next_lapse()
        if lapse is not None:
            wait = min(wait, lapse)
        return self.store.watch(self.prefix, revision, wait)

    def _take(self, answer: Snapshot | Changes) -> int:
        self.table.note_answer()
        changed = isinstance(answer, Snapshot) or bool(answer.changes)
        if isinstance(answer, Snapshot):
            self.table.take_snapshot(answer)
        else:
            self.table.take_changes(answer.changes)
        if self.table.drop_lapsed() or changed:
            self.take(dict(self.table.values))
        self.confirmed()
        return answer.revision

    def _note_failure(self, failure: Failure, failing: bool) -> None:
        self.table.note_failure()
        self.failed()
        if self.table.drop_lapsed():
            self.take(dict(self.table.values))
        if not failing:
            emit(self.unreachable, failure=failure.describe())
        self.stopping.wait(RETRY_SECONDS * (0.5 + self.rng.random()))
