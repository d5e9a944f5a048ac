"""Values published by operators: the configuration and the drained data centres.

One watch covers both, which costs no more calls than the configuration alone. Entries
relay them separately: ``entry.relay`` sends the configuration as a difference, and each
message of ``entry.published_relay`` carries the drained data centres. Each of the two
therefore has its own known position, and the platform is read from the lower one.

Load patterns: an operator drains a data centre, and withdraws the order, while the
platform refuses most entries; the store has dropped its history; the message of one
entry overtakes that of another; an order is published or withdrawn right before a
restore of the store from a copy. ``platform`` reads the keys; ``policy.servers`` and
``policy.cold_servers`` carry out the orders.
"""

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from boragestream.policy.applied_state import TableState
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
from boragestream.policy.published_table import AnswerStatus, PublishedTable

__all__ = ["DRAIN_ORDER_VALUE", "OperatorState", "OperatorTable"]

# The value kept for each drain key. The presence of the key is the order, whatever its
# value.
DRAIN_ORDER_VALUE = b""


@dataclass(frozen=True, slots=True)
class OperatorState:
    """What an ``OperatorTable`` holds at one moment."""

    configuration: TableState
    drained: TableState


class OperatorTable:
    """The operators' values by key; thread-safe.

    Operators' values don't lapse in an outage, so a removal takes effect at once.

    :param now: returns the clock's seconds.
    :param drained_prefix: the prefix of the keys of drained data centres.
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
        """The position up to which both are known; None before the first answer."""
        return _earlier(self._configuration.position, self._drained.position)

    @property
    def state(self) -> OperatorState:
        """What the table holds now."""
        with self._lock:
            return OperatorState(self._configuration.state, self._drained.state)

    @property
    def applied_position(self) -> Position | None:
        """The position up to which this entry uses both."""
        return _earlier(
            self._configuration.applied_position, self._drained.applied_position
        )

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
    def applied_configuration_position(self) -> Position | None:
        """The position up to which the configuration in force is the latest one."""
        return self._configuration.applied_position

    @property
    def configuration_revision(self) -> int | None:
        """The revision up to which the configuration is known."""
        return self._configuration.revision

    @property
    def awaits_first_answer(self) -> bool:
        """Always False, since operators' values don't lapse in an outage."""
        return False

    @property
    def lapsed_seconds(self) -> dict[str, float]:
        """Always empty, since operators' values don't lapse in an outage."""
        return {}

    @property
    def held(self) -> tuple[Held, ...]:
        """The values that override those of a restored store."""
        return (*self._configuration.held, *self._drained.held)

    def drained(self) -> tuple[int | None, tuple[str, ...]]:
        """Return the revision and the keys of the drained data centres."""
        with self._lock:
            return self._drained.revision, tuple(sorted(self._drained.values))

    def drained_centres(self) -> Relayed | None:
        """Return the drained data centres to relay; None before the first answer."""
        with self._lock:
            return self._drained.changes_since(None)

    def answer_status(
        self, answer: Snapshot | Changes, asked: Position | None = None
    ) -> AnswerStatus:
        """Return whether this table can apply an answer of the platform.

        :param asked: the position from which changes were requested; None for the
            position that is known now.
        """
        tables = (self._configuration, self._drained)
        statuses = {table.answer_status(answer, asked) for table in tables}
        if AnswerStatus.UNCONNECTED in statuses:
            return AnswerStatus.UNCONNECTED
        return (
            AnswerStatus.USABLE
            if AnswerStatus.USABLE in statuses
            else AnswerStatus.OUTDATED
        )

    def note_failure(self) -> None:
        """Do nothing, since operators' values don't lapse in an outage."""

    def apply_answer(self, answer: Snapshot | Changes) -> bool:
        """Apply an answer of the platform; return whether it changed a value."""
        with self._lock:
            changed = self._configuration.apply_answer(
                self._select(answer, drained=False)
            )
            return (
                self._drained.apply_answer(self._select(answer, drained=True))
                or changed
            )

    def apply_relayed(
        self, relayed: Relayed, trouble_seconds: float = math.inf
    ) -> bool:
        """Apply the complete set of drained data centres relayed by another entry.

        :param trouble_seconds: not used, since operators' values don't lapse.
        :returns: whether the set changed or was unknown before.
        """
        with self._lock:
            first = self._drained.revision is None
            before = self._drained.values.keys()
            self._drained.apply_relayed(relayed)
            return first or self._drained.values.keys() != before

    def advance_configuration_revision(self, revision: int, era: int = NO_ERA) -> None:
        """Record that the configuration has not changed up to a revision."""
        self._configuration.advance_position(Position(era, revision))

    def is_applied(self, state: OperatorState) -> bool:
        """Return whether this entry uses the values of a state already."""
        return self._configuration.is_applied(
            state.configuration
        ) and self._drained.is_applied(state.drained)

    def note_applied(self, state: OperatorState) -> None:
        """Record that this entry uses the values of a state, or later ones."""
        with self._lock:
            self._configuration.note_applied(state.configuration)
            self._drained.note_applied(state.drained)

    def drop_expired(self) -> bool:
        """Use the stored values again where retention has ended.

        :returns: whether retention had ended for any key.
        """
        with self._lock:
            ended = self._configuration.drop_expired()
            return self._drained.drop_expired() or ended

    def _select(self, answer: Snapshot | Changes, drained: bool) -> Snapshot | Changes:
        if isinstance(answer, Snapshot):
            selected_values = {
                key: DRAIN_ORDER_VALUE if drained else value
                for key, value in answer.values.items()
                if self._is_drain_key(key) is drained
            }
            return Snapshot(
                answer.revision, selected_values, answer.era, answer.written
            )
        changes = self._select_changes(answer.changes, drained)
        return Changes(answer.revision, changes, answer.era)

    def _select_changes(
        self, changes: Iterable[Change], drained: bool
    ) -> tuple[Change, ...]:
        selected = (c for c in changes if self._is_drain_key(c.key) is drained)
        if not drained:
            return tuple(selected)
        return tuple(
            c if c.value is None else replace(c, value=DRAIN_ORDER_VALUE)
            for c in selected
        )

    def _is_drain_key(self, key: str) -> bool:
        return key.startswith(self._prefix)


def _earlier(first: Position | None, second: Position | None) -> Position | None:
    """Return the earlier of two positions; None if either is unknown."""
    return None if first is None or second is None else min(first, second)
