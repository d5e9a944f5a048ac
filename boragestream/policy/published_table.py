"""The values under one prefix of the platform's store, as far as they are known.

They come from the store and from other entries, in whatever order. What is used of them
in place of what the store says is decided by ``policy.held_values``.

Load patterns: an outage in which all servers lapse; a return from a copy while servers
leave and orders are given; two returns in a row; entries that were cut off meanwhile.
Reading the store is left to ``platform``, choosing among the values to others.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

from boragestream.policy.held_values import SERVER_RETENTION, HeldValues, Retention
from boragestream.policy.publication import (
    NO_ERA,
    Change,
    Changes,
    Held,
    Position,
    Relayed,
    Snapshot,
    Write,
)

__all__ = ["PublishedTable", "Standing"]

# What lapsed during an outage shows in the first answers after it. A removal that comes
# later is a new one, and its server gets no further work.
SETTLE_SECONDS = 0.5


class Standing(Enum):
    """What an answer of the store is to a table."""

    USABLE = "it can be taken"
    OUTDATED = "it is older than what is known"
    UNCONNECTED = "changes of a later era, whose values must be read first"


class PublishedTable:
    """The values under one prefix: what is not newer than them changes nothing.

    Any thread may use it.

    :param now: returns the clock's seconds.
    :param kept_changes: how many changes are kept for other entries; an entry that is
        further behind is given all values.
    :param retention: how long values are used against a store that has returned.
    """

    def __init__(
        self,
        now: Callable[[], float],
        kept_changes: int = 0,
        retention: Retention = SERVER_RETENTION,
    ) -> None:
        self._now = now
        self._lapsed_seconds = retention.missing_seconds
        self._stored: dict[str, Write] = {}
        self._held = HeldValues(now, retention, self._stored)
        self._failing = False
        self._outage_ended = float("-inf")
        # The first answer under this prefix since then; None while there is none.
        self._settled_at: float | None = float("-inf")
        self._position: Position | None = None
        # What was known last of the era before, and first of this one.
        self._era_left: Position | None = None
        self._era_entered = Position(NO_ERA, 0)
        # The latest changes, and the position from which they are complete.
        self._changes: deque[tuple[Position, Change]] = deque(maxlen=kept_changes)
        self._changes_after = Position(NO_ERA, 0)
        self._lock = threading.RLock()

    @property
    def values(self) -> dict[str, bytes]:
        """A copy of the values in use by key."""
        with self._lock:
            return self._held.values

    @property
    def position(self) -> Position | None:
        """The position up to which the values are complete; None before the first."""
        return self._position

    @property
    def revision(self) -> int | None:
        """The revision of the position."""
        return None if self._position is None else self._position.revision

    @property
    def era(self) -> int:
        """The era of the position; ``NO_ERA`` where none is known."""
        return NO_ERA if self._position is None else self._position.era

    @property
    def held(self) -> tuple[Held, ...]:
        """What is used against what a returned store says."""
        with self._lock:
            return self._held.held

    @property
    def held_digest(self) -> int:
        """What ``held`` says, but for the times; 0 for nothing."""
        with self._lock:
            return self._held.digest

    @property
    def unsettled(self) -> bool:
        """Whether an outage has ended, and nothing under this prefix was answered."""
        return self._settled_at is None and not self._failing

    def standing(
        self, answer: Snapshot | Changes, asked: Position | None = None
    ) -> Standing:
        """Return what an answer of the store is to this table.

        :param asked: the position from which changes were asked for; None for the one
            that is known now.
        """
        known = self._position
        if known is None:
            return Standing.USABLE
        era = self._era_of(answer)
        if era < known.era:
            return Standing.OUTDATED
        if isinstance(answer, Snapshot):
            outdated = Position(era, answer.revision) < known
            return Standing.OUTDATED if outdated else Standing.USABLE
        if era > known.era:
            return Standing.UNCONNECTED
        # A question of the era before can reach the store after its return.
        connected = asked is None or asked.era == era
        return Standing.USABLE if connected else Standing.OUTDATED

    def note_answer(self) -> None:
        """Take that the store answered, also about another prefix."""
        with self._lock:
            if self._failing:
                self._outage_ended = self._now()
                self._settled_at = None
            self._failing = False

    def note_failure(self) -> None:
        """Take that the store gave no answer, so that entries may lapse meanwhile."""
        self._failing = True

    def take(self, answer: Snapshot | Changes) -> bool:
        """Take an answer of the store; True where it changed the values.

        One that is not usable changes nothing.
        """
        with self._lock:
            if self.standing(answer) is not Standing.USABLE:
                return False
            known = self._position
            position = Position(self._era_of(answer), answer.revision)
            until = self._lapsed_until()
            if isinstance(answer, Changes):
                return self._apply(answer.changes, position, lambda key: until)
            writes = answer.writes
            if known is None or position.era > known.era:
                return self._begin(writes, position, self._now())
            changes = self._differences(writes, answer.revision)
            changed = self._apply(changes, position, lambda key: until)
            # Some were written anew with the values of before.
            self._stored.update(writes)
            return changed

    def take_relayed(self, relayed: Relayed) -> bool:
        """Take what another entry passes on; True where it changed the values."""
        with self._lock:
            known = self._position
            position = Position(relayed.era, relayed.revision)
            if known is None or position > known:
                taken = self._take_newer(relayed, position)
                if taken is None:
                    return False
            else:
                taken = False
            if position != self._position:
                return taken
            return self._held.adopt(relayed) or taken

    def take_position(self, position: Position) -> None:
        """Take that nothing has changed up to a position, which another entry said."""
        with self._lock:
            if self._position is not None:
                self._position = max(self._position, position)

    def since(self, revision: int | None, era: int | None = None) -> Relayed | None:
        """Return what has changed since a revision; None where nothing is known here.

        :param revision: None for all values.
        :param era: the revision's era; None for the one that is known here.
        """
        with self._lock:
            position = self._position
            if position is None:
                return None
            lapsed = self._held.lapsed
            after = None
            if revision is not None:
                after = Position(position.era if era is None else era, revision)
            if after is None or not self._leads_on(after):
                after = None
                writes = {**self._stored, **{k: w for k, (w, _) in lapsed.items()}}
                changes = [Change(k, w.revision, w.value) for k, w in writes.items()]
            else:
                changes = [change for at, change in self._changes if at > after]
            return Relayed(
                after=None if after is None else after.revision,
                revision=position.revision,
                changes=tuple(changes),
                lapsed={key: left for key, (_, left) in lapsed.items()},
                era=position.era,
                after_era=NO_ERA if after is None else after.era,
                era_seconds=self._held.era_seconds,
                held=self._held.held,
            )

    def drop_lapsed(self) -> bool:
        """Believe the store again where the time is over; True where any was."""
        with self._lock:
            return self._held.drop_ended()

    def _era_of(self, answer: Snapshot | Changes) -> int:
        """Return the era of an answer; one that names none is of the era known."""
        return self.era if answer.era == NO_ERA else answer.era

    def _lapsed_until(self) -> float | None:
        """Return until when to keep what an answer that came now says is removed."""
        now = self._now()
        if self._settled_at is None:
            self._settled_at = now
        until = self._outage_ended + self._lapsed_seconds
        lapsed = now - self._settled_at < SETTLE_SECONDS and now < until
        return until if lapsed else None

    def _begin(
        self, stored: dict[str, Write], position: Position, era_began: float
    ) -> bool:
        """Take all values that are stored, first ones or those of a later era.

        :returns: whether any value that is used has changed.
        """
        used, known = self._held.used, self._position
        before = self._held.values
        differences = self._differences(stored, position.revision)
        self._stored.clear()
        self._stored.update(stored)
        self._position = position
        self._era_entered = position
        if known is None:
            self._changes_after = position
        else:
            for change in differences:
                self._log(position, change)
            self._era_left = known
            self._held.begin_era(used, era_began)
        return self._held.values != before

    def _take_newer(self, relayed: Relayed, position: Position) -> bool | None:
        """Take values or changes up to a later position.

        :returns: whether they changed the values; None where changes are missing
            between what is known and what they lead on from.
        """
        known = self._position
        changes: Iterable[Change] = relayed.changes
        later_era = known is None or position.era > known.era
        if relayed.after is None:
            stored = {
                c.key: Write(c.revision, c.value)
                for c in changes
                if c.value is not None and c.key not in relayed.lapsed
            }
            changes = () if later_era else self._differences(stored, position.revision)
        else:
            after = Position(relayed.after_era, relayed.after)
            if known is None or after > known:
                return None
            if (later_era and after != known) or after.era < known.era:
                return None
            stored = self._changed(changes) if later_era else {}
        now = self._now()
        ends = {key: now + seconds for key, seconds in relayed.lapsed.items()}
        if later_era:
            changed = self._begin(stored, position, now - (relayed.era_seconds or 0.0))
        else:
            changed = self._apply(changes, position, ends.get)
        if relayed.after is None:
            for change in relayed.changes:
                if change.key in ends and change.value is not None:
                    write = Write(change.revision, change.value)
                    self._held.keep(change.key, write, ends[change.key])
        return changed or bool(ends)

    def _changed(self, changes: Iterable[Change]) -> dict[str, Write]:
        """Return what is stored after some changes."""
        stored = dict(self._stored)
        for change in changes:
            stored.pop(change.key, None)
            if change.value is not None:
                stored[change.key] = Write(change.revision, change.value)
        return stored

    def _differences(self, stored: dict[str, Write], revision: int) -> list[Change]:
        """Return what changes from what is stored now to other values."""
        known = self._stored
        gone = known.keys() - stored.keys()
        removed = [Change(key, revision, None) for key in sorted(gone)]
        return removed + [
            Change(key, write.revision, write.value)
            for key, write in stored.items()
            if key not in known or known[key].value != write.value
        ]

    def _apply(
        self,
        changes: Iterable[Change],
        position: Position,
        kept_until: Callable[[str], float | None],
    ) -> bool:
        """Make changes that lead to a position of the same era.

        :param kept_until: until when a removed value is kept, None for not at all.
        :returns: whether any was new.
        """
        known = self._position
        changed = False
        for change in changes:
            if known is not None and change.revision <= known.revision:
                continue
            changed = True
            before = self._stored.pop(change.key, None)
            if change.value is not None:
                self._held.note_written(change.key, before)
                self._stored[change.key] = Write(change.revision, change.value)
            elif before is not None:
                until = kept_until(change.key)
                self._held.note_removed(change.key, before, until)
            self._log(Position(position.era, change.revision), change)
        self._position = position if known is None else max(known, position)
        return changed

    def _log(self, position: Position, change: Change) -> None:
        full = len(self._changes) == self._changes.maxlen
        if full and self._changes:
            self._changes_after = self._changes[0][0]
        elif full:
            self._changes_after = position
        self._changes.append((position, change))

    def _leads_on(self, after: Position) -> bool:
        """Tell whether the kept changes lead on from a position."""
        if self._position is None or after < self._changes_after:
            return False
        if after.era == self._position.era:
            return after >= self._era_entered
        # An entry that had more of an earlier era knows changes that are unknown here.
        left = self._era_left
        return left is not None and left.era == after.era and after <= left
