"""What operators publish: the configuration, and which data centres are drained.

Both are followed by one watch, which costs no more calls than the configuration alone.
Between entries they travel apart: the configuration as a difference with
``entry.relay``, the drained data centres with each word of ``entry.published_relay``.
So each has a revision of its own up to which it is known, and the platform is asked
from the lower one on.

Load patterns: a data centre is drained, and taken back, while the platform turns most
entries away; the history is gone; the word of one entry overtakes that of another.
Reading the keys is left to ``platform``, what follows from an order to
``policy.servers`` and ``policy.cold_servers``.
"""

import threading
from collections.abc import Callable, Iterable

from boragestream.policy.publication import (
    Change,
    Changes,
    PublishedTable,
    Relayed,
    Snapshot,
)

__all__ = ["OperatorTable"]


class OperatorTable:
    """The operators' values by key; any thread may use it.

    No outage makes an operator's value lapse, so that what is removed is gone at once.

    :param now: returns the clock's seconds.
    :param drained_prefix: begins the key of each drained data centre.
    """

    def __init__(self, now: Callable[[], float], drained_prefix: str) -> None:
        self._prefix = drained_prefix
        self._configuration = PublishedTable(now)
        self._drained = PublishedTable(now)
        self._lock = threading.Lock()

    @property
    def values(self) -> dict[str, bytes]:
        """A copy of the values by key."""
        return {**self._configuration.values, **self._drained.values}

    @property
    def revision(self) -> int | None:
        """The revision up to which all is known; None before the first answer."""
        revisions = (self._configuration.revision, self._drained.revision)
        return None if None in revisions else min(revisions)

    @property
    def configuration_revision(self) -> int | None:
        """The revision up to which the configuration is known."""
        return self._configuration.revision

    def drained(self) -> tuple[int | None, tuple[str, ...]]:
        """Return the keys of the drained data centres, and their revision."""
        with self._lock:
            return self._drained.revision, tuple(sorted(self._drained.values))

    def note_answer(self) -> None:
        """Take that the platform answered."""

    def note_failure(self) -> None:
        """Take that the platform gave no answer."""

    def take(self, answer: Snapshot | Changes) -> bool:
        """Take an answer of the platform; True where it changed a value."""
        with self._lock:
            changed = self._configuration.take(self._part(answer, drained=False))
            return self._drained.take(self._part(answer, drained=True)) or changed

    def take_relayed(self, relayed: Relayed) -> bool:
        """Take what another entry told of the drained data centres, all of them.

        :returns: True where it changed anything, or nothing was known before.
        """
        with self._lock:
            first = self._drained.revision is None
            before = self._drained.values.keys()
            self._drained.take_relayed(relayed)
            return first or self._drained.values.keys() != before

    def take_revision(self, revision: int) -> None:
        """Take that the configuration has not changed up to a revision."""
        self._configuration.take_revision(revision)

    def drop_lapsed(self) -> bool:
        """Drop what lapsed in an outage: nothing ever does."""
        return False

    def _part(self, answer: Snapshot | Changes, drained: bool) -> Snapshot | Changes:
        if isinstance(answer, Snapshot):
            kept = {k: v for k, v in answer.values.items() if self._is(k) is drained}
            return Snapshot(answer.revision, kept)
        return Changes(answer.revision, self._changes(answer.changes, drained))

    def _changes(self, changes: Iterable[Change], drained: bool) -> tuple[Change, ...]:
        return tuple(c for c in changes if self._is(c.key) is drained)

    def _is(self, key: str) -> bool:
        return key.startswith(self._prefix)
