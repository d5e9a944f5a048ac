"""Which state of a table of published values an entry uses.

A table knows new values before they are in use, since decoding a configuration takes
long. What an entry states to others about the values in use goes by the applied state.
"""

import threading
from dataclasses import dataclass, replace

from boragestream.policy.publication import Position

__all__ = ["AppliedState", "TableState"]


@dataclass(frozen=True, slots=True)
class TableState:
    """What a table holds at one moment.

    :ivar position: the position up to which the values are complete.
    :ivar changes: how often the values in use have changed so far.
    """

    position: Position | None
    changes: int


class AppliedState:
    """The latest state of a table whose values an entry uses; thread-safe."""

    def __init__(self) -> None:
        self._state = TableState(None, 0)
        self._lock = threading.Lock()

    @property
    def position(self) -> Position | None:
        """The position up to which the entry uses the values; None for none yet."""
        return self._state.position

    def covers(self, state: TableState) -> bool:
        """Return whether the entry uses the values of a state already."""
        return self._state.changes == state.changes

    def note(self, state: TableState) -> None:
        """Record that the entry uses the values of a state, or later ones."""
        with self._lock:
            self._state = state

    def advance(self, position: Position) -> None:
        """Record that the values in use are the latest ones up to a position."""
        with self._lock:
            known = self._state.position
            if known is not None:
                self._state = replace(self._state, position=max(known, position))
