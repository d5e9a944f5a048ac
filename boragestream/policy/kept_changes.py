"""The latest changes of a published table, kept for entries that are behind.

``policy.published_table`` guards this module's objects with its lock.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from boragestream.policy.publication import (
    NO_ERA,
    Change,
    Position,
    Relayed,
    Write,
)

__all__ = ["KeptChanges", "changes_between", "connect_relayed"]


def changes_between(
    known: Mapping[str, Write], stored: Mapping[str, Write], revision: int
) -> list[Change]:
    """Return the changes from the known values to others.

    :param revision: that of the removals, whose own are unknown.
    """
    missing = known.keys() - stored.keys()
    removed = [Change(key, revision, None) for key in sorted(missing)]
    return removed + [
        Change(key, write.revision, write.value)
        for key, write in stored.items()
        if key not in known or known[key].value != write.value
    ]


def stored_after(
    stored: Mapping[str, Write], changes: Iterable[Change]
) -> dict[str, Write]:
    """Return stored values with some changes applied."""
    after = dict(stored)
    for change in changes:
        after.pop(change.key, None)
        if change.value is not None:
            after[change.key] = Write(change.revision, change.value)
    return after


def connect_relayed(
    stored: Mapping[str, Write], known: Position | None, relayed: Relayed
) -> tuple[dict[str, Write], Sequence[Change]] | None:
    """Return what relayed values or changes up to a later position make of the known.

    :param stored: the known values by key.
    :param known: their position.
    :returns: the values of a later era by key and the changes that lead to them, the
        latter empty for the first values; None if changes are missing between the known
        position and the one from which the relayed changes start.
    """
    position = Position(relayed.era, relayed.revision)
    later_era = known is None or position.era > known.era
    if relayed.after is None:
        writes = {
            change.key: Write(change.revision, change.value)
            for change in relayed.changes
            if change.value is not None and change.key not in relayed.lapsed
        }
        if later_era:
            return writes, ()
        return writes, changes_between(stored, writes, position.revision)
    after = Position(relayed.after_era, relayed.after)
    if known is None or after > known:
        return None
    if (later_era and after != known) or after.era < known.era:
        return None
    writes = stored_after(stored, relayed.changes) if later_era else {}
    return writes, relayed.changes


class KeptChanges:
    """The latest changes and the positions between which they are complete.

    :param maximum: the number of changes kept; an entry that is further behind needs
        all values.
    """

    def __init__(self, maximum: int) -> None:
        self._changes: deque[tuple[Position, Change]] = deque(maxlen=maximum)
        # The position from which the changes are complete.
        self._start = Position(NO_ERA, 0)
        # The last known position of the previous era and the first of this one.
        self._previous_era_end: Position | None = None
        self._era_start = Position(NO_ERA, 0)
        # The last position before which changes may be missing that were superseded.
        self._gap_end = Position(NO_ERA, 0)

    @property
    def eras_changed(self) -> bool:
        """Whether a later era has replaced the first one."""
        return self._previous_era_end is not None

    def begin(self, position: Position) -> None:
        """Record the position of the first values."""
        self._start = position
        self._era_start = position

    def begin_era(self, known: Position, position: Position) -> None:
        """Record that a later era replaces the known one.

        :param known: the last known position of the previous era.
        :param position: the first known position of the later era.
        """
        self._previous_era_end = known
        self._era_start = position

    def add(self, position: Position, change: Change) -> None:
        """Keep a change, and drop the oldest one if there are too many."""
        full = len(self._changes) == self._changes.maxlen
        if full and self._changes:
            self._start = self._changes[0][0]
        elif full:
            self._start = position
        self._changes.append((position, change))

    def note_gap(self, position: Position) -> None:
        """Record that changes up to a position may be missing that were superseded."""
        self._gap_end = position

    def unbroken_since(self, after: Position) -> bool:
        """Return whether the changes after a position include superseded ones."""
        return after >= self._gap_end

    def since(self, after: Position, known: Position) -> list[Change] | None:
        """Return the changes after a position; None if some of them are missing.

        :param known: the position up to which all changes were added.
        """
        if not self._has_since(after, known):
            return None
        return [change for at, change in self._changes if at > after]

    def _has_since(self, after: Position, known: Position) -> bool:
        if after < self._start:
            return False
        if after.era == known.era:
            return after >= self._era_start
        # An entry beyond the last position known here of an earlier era knows changes
        # that are unknown here.
        previous_end = self._previous_era_end
        return (
            previous_end is not None
            and previous_end.era == after.era
            and after <= previous_end
        )
