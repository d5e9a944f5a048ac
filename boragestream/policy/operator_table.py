"""What operators publish: the configuration, and which data centres are drained.

Both are followed by one watch, which costs no more calls than the configuration alone.
Between entries they travel apart: the configuration as a difference with
``entry.relay``, the drained data centres with each message of
``entry.published_relay``. So each has a position of its own up to which it is known,
and the platform is asked from the lower one on.

Load patterns: a data centre is drained, and taken back, while the platform turns most
entries away; the history is gone; the message of one entry overtakes that of another;
an order is given, or taken back, right before the store comes back from a copy. Reading
the keys is left to ``platform``, what follows from an order to ``policy.servers`` and
``policy.cold_servers``.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from boragestream.policy.held_values import OPERATOR_RETENTION
from boragestream.policy.publication import (
    NO_ERA,
    Change,
    Changes,
    Held,
    Position,
    Relayed,
    Snapshot,
)
from boragestream.policy.published_table import PublishedTable, Standing

__all__ = ["ORDER", "OperatorTable"]

# The key alone is the order to drain, whatever its value.
ORDER = b""


class OperatorTable:
    """The operators' values by key; any thread may use it.

    No outage makes an operator's value lapse, so that what is removed is gone at once.

    :param now: returns the clock's seconds.
    :param drained_prefix: begins the key of each drained data centre.
    """

    def __init__(self, now: Callable[[], float], drained_prefix: str) -> None:
        self._prefix = drained_prefix
        self._configuration = PublishedTable(now, retention=OPERATOR_RETENTION)
        self._drained = PublishedTable(now, retention=OPERATOR_RETENTION)
        self._lock = threading.Lock()

    @property
    def values(self) -> dict[str, bytes]:
        """A copy of the values by key."""
        return {**self._configuration.values, **self._drained.values}

    @property
    def position(self) -> Position | None:
        """The position up to which all is known; None before the first answer."""
        one, other = self._configuration.position, self._drained.position
        return None if one is None or other is None else min(one, other)

    @property
    def revision(self) -> int | None:
        """The revision of the position."""
        position = self.position
        return None if position is None else position.revision

    @property
    def configuration_position(self) -> Position | None:
        """The position up to which the configuration is known."""
        return self._configuration.position

    @property
    def configuration_revision(self) -> int | None:
        """The revision up to which the configuration is known."""
        return self._configuration.revision

    @property
    def unsettled(self) -> bool:
        """Whether removals may be lapses in an outage: never."""
        return False

    @property
    def held(self) -> tuple[Held, ...]:
        """What is used against what a returned store says."""
        return (*self._configuration.held, *self._drained.held)

    def drained(self) -> tuple[int | None, tuple[str, ...]]:
        """Return the keys of the drained data centres, and their revision."""
        with self._lock:
            return self._drained.revision, tuple(sorted(self._drained.values))

    def drained_centres(self) -> Relayed | None:
        """Return what is known of the drained data centres; None before an answer."""
        with self._lock:
            return self._drained.since(None)

    def standing(
        self, answer: Snapshot | Changes, asked: Position | None = None
    ) -> Standing:
        """Return what an answer of the platform is to this table.

        :param asked: the position from which changes were asked for; None for the one
            that is known now.
        """
        tables = (self._configuration, self._drained)
        both = {table.standing(answer, asked) for table in tables}
        if Standing.UNCONNECTED in both:
            return Standing.UNCONNECTED
        return Standing.USABLE if Standing.USABLE in both else Standing.OUTDATED

    def note_failure(self) -> None:
        """Take that the platform gave no answer."""

    def take(self, answer: Snapshot | Changes) -> bool:
        """Take an answer of the platform; True where it changed a value."""
        with self._lock:
            changed = self._configuration.take(self._part(answer, drained=False))
            return self._drained.take(self._part(answer, drained=True)) or changed

    def take_relayed(self, relayed: Relayed) -> bool:
        """Take what another entry passes on of the drained data centres, all of them.

        :returns: True where it changed anything, or nothing was known before.
        """
        with self._lock:
            first = self._drained.revision is None
            before = self._drained.values.keys()
            self._drained.take_relayed(relayed)
            return first or self._drained.values.keys() != before

    def take_revision(self, revision: int, era: int = NO_ERA) -> None:
        """Take that the configuration has not changed up to a revision."""
        self._configuration.take_position(Position(era, revision))

    def drop_lapsed(self) -> bool:
        """Believe the store again where the time is over; True where any was."""
        with self._lock:
            ended = self._configuration.drop_lapsed()
            return self._drained.drop_lapsed() or ended

    def _part(self, answer: Snapshot | Changes, drained: bool) -> Snapshot | Changes:
        if isinstance(answer, Snapshot):
            kept = {
                key: ORDER if drained else value
                for key, value in answer.values.items()
                if self._is(key) is drained
            }
            return Snapshot(answer.revision, kept, answer.era, answer.written)
        changes = self._changes(answer.changes, drained)
        return Changes(answer.revision, changes, answer.era)

    def _changes(self, changes: Iterable[Change], drained: bool) -> tuple[Change, ...]:
        part = (c for c in changes if self._is(c.key) is drained)
        if not drained:
            return tuple(part)
        return tuple(c if c.value is None else replace(c, value=ORDER) for c in part)

    def _is(self, key: str) -> bool:
        return key.startswith(self._prefix)
