"""The known values under one prefix of the platform's store.

They arrive from the store and from other entries, in any order. ``policy.held_values``
decides which values are used instead of the stored ones.

Load patterns: an outage in which all servers lapse; a restore of the store from a copy
while servers leave and operators publish orders; two consecutive restores; entries that
were cut off during a restore. ``platform`` reads the store.
"""

import math
import threading
from collections.abc import Callable, Iterable, Sequence

from boragestream.policy.applied_state import AppliedState, TableState
from boragestream.policy.held_values import SERVER_RETENTION, HeldValues, Retention
from boragestream.policy.kept_changes import (
    KeptChanges,
    changes_between,
    connect_relayed,
)
from boragestream.policy.lapses import LapseWindow
from boragestream.policy.publication import (
    NO_ERA,
    AnswerStatus,
    Change,
    Changes,
    Held,
    Position,
    Relayed,
    Snapshot,
    ValueSource,
    Write,
    answer_status,
)

__all__ = ["AnswerStatus", "PublishedTable", "ValueSource"]


class PublishedTable:
    """The values under one prefix; thread-safe.

    Answers that are not newer than the known values change nothing.

    :param now: returns the clock's seconds.
    :param kept_changes: the number of changes kept for other entries; an entry that is
        further behind receives all values.
    :param retention: how long values override those of a restored store.
    :param bound_seconds: the longest time until a removal must be in force.
    :param note_changes: called with the changes that are applied to the first values,
        before the position covers them. The table is locked meanwhile.
    :param note_gap: called likewise if superseded changes may be missing among them.
    :param recently_confirmed: returns whether the position was confirmed so recently
        that no server can have been listed and removed since then.
    """

    def __init__(
        self,
        now: Callable[[], float],
        kept_changes: int = 0,
        retention: Retention = SERVER_RETENTION,
        bound_seconds: float = math.inf,
        note_changes: Callable[[Sequence[Change]], None] = lambda changes: None,
        note_gap: Callable[[], None] = lambda: None,
        recently_confirmed: Callable[[], bool] = lambda: False,
    ) -> None:
        self._now = now
        self._stored: dict[str, Write] = {}
        self._held = HeldValues(now, retention, self._stored)
        self._lapses = LapseWindow(now, retention.missing_seconds, bound_seconds)
        self._position: Position | None = None
        self._changes = 0
        self._applied = AppliedState()
        # When the first values became known.
        self._followed_from: float | None = None
        self._last_source: ValueSource | None = None
        self._kept = KeptChanges(kept_changes)
        self._note_changes = note_changes
        self._note_gap = note_gap
        self._recently_confirmed = recently_confirmed
        self._lock = threading.RLock()

    @property
    def values(self) -> dict[str, bytes]:
        """A copy of the values in use by key."""
        with self._lock:
            return self._held.values

    @property
    def position(self) -> Position | None:
        """The position up to which the values are complete; None without values."""
        return self._position

    @property
    def state(self) -> TableState:
        """What the table holds now."""
        with self._lock:
            return TableState(self._position, self._changes)

    @property
    def applied_position(self) -> Position | None:
        """The position up to which this entry uses the values; None for none yet."""
        return self._applied.position

    @property
    def revision(self) -> int | None:
        """The revision of the position."""
        return None if self._position is None else self._position.revision

    @property
    def era(self) -> int:
        """The era of the position; ``NO_ERA`` where none is known."""
        return NO_ERA if self._position is None else self._position.era

    @property
    def eras_changed(self) -> bool:
        """Whether the store was restored from a copy since the first values."""
        return self._kept.eras_changed

    @property
    def last_source(self) -> ValueSource | None:
        """What changed the values in use last; None before the first ones."""
        return self._last_source

    @property
    def lapsed_seconds(self) -> dict[str, float]:
        """The remaining seconds of the keys that lapsed in an outage, by key."""
        with self._lock:
            return self._held.lapsed_seconds

    @property
    def held(self) -> tuple[Held, ...]:
        """The values that override those of a restored store."""
        with self._lock:
            return self._held.held

    @property
    def held_digest(self) -> int:
        """A digest of ``held`` without its times; 0 if ``held`` is empty."""
        with self._lock:
            return self._held.digest

    @property
    def awaits_first_answer(self) -> bool:
        """Whether an outage has ended without an answer for this prefix since."""
        return self._lapses.awaits_first_answer

    def answer_status(
        self, answer: Snapshot | Changes, asked: Position | None = None
    ) -> AnswerStatus:
        """Return whether this table can apply an answer; see ``answer_status``."""
        return answer_status(answer, self._position, asked)

    def note_answer(self, answered_at: float, previous_at: float) -> None:
        """Record that the store answered a request of any entry, for any prefix.

        :param answered_at: the time of the answer, in the clock's seconds.
        :param previous_at: see ``LapseWindow.note_answer``.
        """
        with self._lock:
            self._lapses.note_answer(answered_at, previous_at)

    def note_failure(self) -> None:
        """Record that the store gave no answer to a request of this entry."""
        with self._lock:
            self._lapses.note_failure()

    def note_peer_failure(self, failed_at: float) -> None:
        """Record when the store last gave no answer to a request of another entry."""
        with self._lock:
            self._lapses.note_peer_failure(failed_at)

    def apply_answer(self, answer: Snapshot | Changes) -> bool:
        """Apply an answer of the store; return whether it changed the values.

        An answer that is not usable changes nothing.
        """
        with self._lock:
            if self.answer_status(answer) is not AnswerStatus.USABLE:
                return False
            return self._count(self._apply_usable(answer))

    def apply_relayed(
        self, relayed: Relayed, trouble_seconds: float = math.inf
    ) -> bool:
        """Apply values relayed by another entry; return whether the values changed.

        :param trouble_seconds: see ``LapseWindow.relayed_retention_end``.
        """
        with self._lock:
            self._last_source = ValueSource.PEER
            return self._count(self._take_relayed(relayed, trouble_seconds))

    def advance_position(self, position: Position) -> None:
        """Record another entry's statement that nothing changed up to a position."""
        with self._lock:
            if self._position is not None:
                self._position = max(self._position, position)
            self._applied.advance(position)

    def is_applied(self, state: TableState) -> bool:
        """Return whether this entry uses the values of a state already."""
        return self._applied.covers(state)

    def note_applied(self, state: TableState) -> None:
        """Record that this entry uses the values of a state, or later ones."""
        self._applied.note(state)

    def changes_since(
        self, revision: int | None, era: int | None = None
    ) -> Relayed | None:
        """Return the changes since a revision, or None if no values are known here.

        :param revision: None for all values.
        :param era: the revision's era; None for the known one.
        """
        with self._lock:
            if (position := self._position) is None:
                return None
            lapsed, since, after = self._held.lapsed, self._followed_from, None
            if revision is not None:
                after = Position(position.era if era is None else era, revision)
            changes = None if after is None else self._kept.since(after, position)
            if changes is None:
                after = None
                writes = {**self._stored, **{k: w for k, (w, _) in lapsed.items()}}
                changes = [Change(k, w.revision, w.value) for k, w in writes.items()]
            return Relayed(
                after=None if after is None else after.revision,
                revision=position.revision,
                changes=tuple(changes),
                lapsed={key: seconds_left for key, (_, seconds_left) in lapsed.items()},
                era=position.era,
                after_era=NO_ERA if after is None else after.era,
                era_seconds=self._held.era_seconds,
                held=self._held.held,
                followed_seconds=None if since is None else self._now() - since,
                unbroken=after is not None and self._kept.unbroken_since(after),
            )

    def drop_expired(self) -> bool:
        """Use the stored values again where retention has ended.

        :returns: whether retention had ended for any key.
        """
        with self._lock:
            expired = self._held.drop_expired()
            if expired:
                self._last_source = ValueSource.TIME
            return self._count(expired)

    def _count(self, changed: bool) -> bool:
        """Count a change of the values in use; return whether there is one."""
        self._changes += changed
        return changed

    def _apply_usable(self, answer: Snapshot | Changes) -> bool:
        """Apply a usable answer; return whether it changed the values."""
        self._last_source = ValueSource.PLATFORM
        known = self._position
        position = Position(self._era_of(answer), answer.revision)
        until = self._lapses.retention_end()
        if isinstance(answer, Changes):
            return self._apply(answer.changes, position, lambda key: until)
        self._note_whole_list(position)
        if known is None or position.era > known.era:
            return self._replace_all(answer.writes, position, self._now())
        changes = changes_between(self._stored, answer.writes, answer.revision)
        changed = self._apply(changes, position, lambda key: until)
        # Some keys were rewritten with unchanged values.
        self._stored.update(answer.writes)
        return changed

    def _take_relayed(self, relayed: Relayed, trouble_seconds: float) -> bool:
        """Apply relayed values; return whether they changed the values."""
        known = self._position
        position = Position(relayed.era, relayed.revision)
        applied: bool | None = False
        if known is None or position > known:
            applied = self._apply_newer_relayed(relayed, position, trouble_seconds)
        if applied is None:
            return False
        if position != self._position:
            return applied
        return self._held.adopt(relayed) or applied

    def _era_of(self, answer: Snapshot | Changes) -> int:
        """Return an answer's era, or the known era if it names none."""
        return self.era if answer.era == NO_ERA else answer.era

    def _replace_all(
        self,
        stored: dict[str, Write],
        position: Position,
        era_began: float,
        changes: Sequence[Change] | None = None,
    ) -> bool:
        """Replace all stored values by the first values or those of a later era.

        :param changes: the changes that lead to these values, if all are known.
        :returns: whether any value in use has changed.
        """
        used, known = self._held.used, self._position
        before = self._held.values
        if changes is None:
            changes = changes_between(self._stored, stored, position.revision)
        if known is not None:
            self._note_changes(changes)
        self._stored.clear()
        self._stored.update(stored)
        self._position = position
        if known is None:
            # The first values are a change, even if there are none.
            self._changes += 1
            self._followed_from = self._now()
            self._kept.begin(position)
        else:
            for change in changes:
                self._kept.add(position, change)
            self._kept.begin_era(known, position)
            self._held.begin_era(used, era_began)
        return self._held.values != before

    def _apply_newer_relayed(
        self, relayed: Relayed, position: Position, trouble_seconds: float
    ) -> bool | None:
        """Apply relayed values or changes up to a later position.

        :returns: whether they changed the values; None if changes are missing between
            the known position and the one from which the relayed changes start.
        """
        known = self._position
        connected = connect_relayed(self._stored, known, relayed)
        if connected is None:
            return None
        stored, changes = connected
        later_era = known is None or position.era > known.era
        if later_era or not relayed.unbroken:
            self._note_whole_list(position)
        now = self._now()
        retention_ends = {key: now + left for key, left in relayed.lapsed.items()}
        if later_era:
            changed = self._replace_all(
                stored,
                position,
                now - (relayed.era_seconds or 0.0),
                changes=None if relayed.after is None else changes,
            )
        elif relayed.after is None:
            until = self._lapses.relayed_retention_end(
                relayed.followed_seconds, trouble_seconds
            )
            changed = self._apply(
                changes, position, lambda key: retention_ends.get(key, until)
            )
        else:
            changed = self._apply(changes, position, retention_ends.get)
        if relayed.after is None:
            for change in relayed.changes:
                if change.key in retention_ends and change.value is not None:
                    write = Write(change.revision, change.value)
                    self._held.keep(change.key, write, retention_ends[change.key])
        return changed or bool(retention_ends)

    def _note_whole_list(self, position: Position) -> None:
        """Record that superseded changes up to a position are not received."""
        known = self._position
        if known is None or position <= known:
            return
        # A restored store has lost changes, however lately the list was confirmed.
        if position.era > known.era or not self._recently_confirmed():
            self._kept.note_gap(position)
            self._note_gap()

    def _apply(
        self,
        changes: Iterable[Change],
        position: Position,
        kept_until: Callable[[str], float | None],
    ) -> bool:
        """Apply changes up to a position of the same era.

        :param kept_until: returns until when a removed key's value is kept; None if it
            is not kept.
        :returns: whether any change was new.
        """
        known = self._position
        changes = [c for c in changes if known is None or c.revision > known.revision]
        self._note_changes(changes)
        for change in changes:
            before = self._stored.pop(change.key, None)
            if change.value is not None:
                self._held.note_written(change.key, before)
                self._stored[change.key] = Write(change.revision, change.value)
            elif before is not None:
                until = kept_until(change.key)
                self._held.note_removed(change.key, before, until)
            self._kept.add(Position(position.era, change.revision), change)
        self._position = position if known is None else max(known, position)
        return bool(changes)
