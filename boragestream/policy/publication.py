"""What the platform's store answers, and what entries pass on to one another of it.

Which values follow from it is left to ``policy.published_table``, reading the store to
``platform``.
"""

from dataclasses import dataclass, field
from typing import Protocol

from boragestream.base.outcomes import Failure

__all__ = [
    "NO_ERA",
    "Change",
    "Changes",
    "Held",
    "HistoryGone",
    "Position",
    "PublishedStore",
    "Relayed",
    "Snapshot",
    "Write",
]


# Of an answer that names no era, and of messages of an earlier release.
NO_ERA = -1


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Where an answer stands among all that the store has ever answered.

    :ivar era: rises each time that the store comes back from a copy, which can lack its
        last changes; ``NO_ERA`` where the store names none.
    :ivar revision: rises with each change of an era. After a return it goes on from the
        copy's, so that the same revisions are given out again.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """One key that changed; the value is None where it was removed.

    :ivar revision: of the write, or of the removal.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed, and the revision from which to go on.

    :ivar era: of the answer; ``NO_ERA`` where the store names none.
    """

    revision: int
    changes: tuple[Change, ...]
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All values under a prefix by key, at least as new as the revision.

    :ivar era: of the answer; ``NO_ERA`` where the store names none.
    :ivar written: by key the revision of its last write; that of the snapshot for keys
        that are missing here.
    """

    revision: int
    values: dict[str, bytes]
    era: int = NO_ERA
    written: dict[str, int] = field(default_factory=dict)

    @property
    def writes(self) -> dict[str, "Write"]:
        """The last write of each key."""
        return {
            key: Write(self.written.get(key, self.revision), value)
            for key, value in self.values.items()
        }


@dataclass(frozen=True, slots=True)
class Write:
    """The last write of a key.

    :ivar revision: tells writes of one key apart, also across a return of the store,
        as a copy keeps the revisions of what it holds.
    """

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class HistoryGone(Failure):
    """The store doesn't have the changes since the revision asked for."""


class PublishedStore(Protocol):
    """A store that can be read and watched."""

    def read(self, prefix: str) -> Snapshot | HistoryGone | Failure:
        """Read all values whose keys begin with a prefix."""

    def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> Changes | HistoryGone | Failure:
        """Wait for changes after a revision."""


@dataclass(frozen=True, slots=True)
class Held:
    """What is used of a key against what a returned store says.

    :ivar seconds: for how much longer.
    :ivar used: the write that is used; None where the key counts as removed.
    :ivar stored: the write that the store has; None for none.
    """

    key: str
    seconds: float
    used: Write | None
    stored: Write | None


@dataclass(frozen=True, slots=True)
class Relayed:
    """What one entry passes on to another of the values under a prefix.

    :ivar after: the revision from which the changes lead on; None where they are all
        values.
    :ivar revision: up to which they are complete.
    :ivar lapsed: keys that lapsed in an outage, with the seconds for which they are
        still kept.
    :ivar era: of the revision; ``NO_ERA`` where the store, or an earlier release, names
        none.
    :ivar after_era: the era of ``after``.
    :ivar era_seconds: how long ago the era was first seen; None where that is unknown.
    :ivar held: what is used against what the returned store says.
    """

    after: int | None
    revision: int
    changes: tuple[Change, ...]
    lapsed: dict[str, float]
    era: int = NO_ERA
    after_era: int = NO_ERA
    era_seconds: float | None = None
    held: tuple[Held, ...] = ()
