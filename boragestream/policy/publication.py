"""Answers of the platform's store and the messages in which entries relay them.

``policy.published_table`` derives the current values from them; ``platform`` reads the
store.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from boragestream.base.outcomes import Failure

__all__ = [
    "NO_ERA",
    "AnswerStatus",
    "Change",
    "Changes",
    "Held",
    "HistoryGone",
    "Position",
    "PublishedStore",
    "Relayed",
    "Snapshot",
    "ValueSource",
    "Write",
    "answer_status",
]


class AnswerStatus(Enum):
    """Whether a table can apply an answer of the store."""

    USABLE = "it can be taken"
    OUTDATED = "it is older than what is known"
    UNCONNECTED = "changes of a later era, whose values must be read first"


class ValueSource(Enum):
    """What changed the values in use."""

    PLATFORM = "platform"
    PEER = "peer"
    # The retention of values that the store lacks has ended.
    TIME = "time"


# The era of answers that name none and of messages from an earlier release.
NO_ERA = -1


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """The place of an answer in the total order of the store's answers.

    :ivar era: rises each time the store is restored from a copy, which can lack its
        last changes; ``NO_ERA`` if the store names none.
    :ivar revision: rises with each change within an era. After a restore it continues
        from the copy's revision, so the store issues the same revisions again.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; the value is None if the key was removed.

    :ivar revision: the revision of the write or removal.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes in an answer and the revision from which the next watch continues.

    :ivar era: the answer's era; ``NO_ERA`` if the store names none.
    """

    revision: int
    changes: tuple[Change, ...]
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All values under a prefix by key, at least as new as the revision.

    :ivar era: the answer's era; ``NO_ERA`` if the store names none.
    :ivar written: the revision of each key's last write. A key missing here has the
        revision of the snapshot.
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

    :ivar revision: distinguishes the writes of one key, also across a restore of the
        store, because a copy keeps the revisions of its keys.
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

    def read_position(self, answer_seconds: float) -> Position | Failure:
        """Read the position of the store's last change, under whichever prefix.

        :param answer_seconds: how long the answer may take.
        """

    def watch(
        self, prefix: str, revision: int, wait_seconds: float, answer_seconds: float
    ) -> Changes | HistoryGone | Failure:
        """Wait for changes after a revision.

        :param wait_seconds: the longest that the store may wait for one.
        :param answer_seconds: how long the answer may take after that.
        """


@dataclass(frozen=True, slots=True)
class Held:
    """The write used for a key instead of that of a restored store.

    :ivar seconds: the remaining time of use.
    :ivar used: the write in use; None if the key counts as removed.
    :ivar stored: the write in the store; None if the store lacks the key.
    """

    key: str
    seconds: float
    used: Write | None
    stored: Write | None


@dataclass(frozen=True, slots=True)
class Relayed:
    """The values under a prefix, or changes of them, as one entry relays them.

    :ivar after: the revision from which the changes start; None if ``changes`` holds
        all values.
    :ivar revision: the revision up to which the changes are complete.
    :ivar lapsed: the keys that lapsed in an outage, with the seconds for which their
        values are still kept.
    :ivar era: the era of ``revision``; ``NO_ERA`` if the store, or an earlier release,
        names none.
    :ivar after_era: the era of ``after``.
    :ivar era_seconds: the time since any entry first saw the era; None if unknown.
    :ivar held: the writes that override those of the restored store.
    :ivar followed_seconds: the time since the entry has known any values; None if
        unknown.
    :ivar unbroken: whether the changes include those that others among them supersede.
    """

    after: int | None
    revision: int
    changes: tuple[Change, ...]
    lapsed: dict[str, float]
    era: int = NO_ERA
    after_era: int = NO_ERA
    era_seconds: float | None = None
    held: tuple[Held, ...] = ()
    followed_seconds: float | None = None
    unbroken: bool = False


def answer_status(
    answer: Snapshot | Changes, known: Position | None, asked: Position | None = None
) -> AnswerStatus:
    """Return whether a table can apply an answer of the store.

    :param known: the position of the table; an answer without an era is of its era.
    :param asked: the position from which changes were requested; None for ``known``.
    """
    if known is None:
        return AnswerStatus.USABLE
    era = known.era if answer.era == NO_ERA else answer.era
    if era < known.era:
        return AnswerStatus.OUTDATED
    if isinstance(answer, Snapshot):
        outdated = Position(era, answer.revision) < known
        return AnswerStatus.OUTDATED if outdated else AnswerStatus.USABLE
    if era > known.era:
        return AnswerStatus.UNCONNECTED
    # A request made in the previous era can reach the store after its restore.
    connected = asked is None or asked.era == era
    return AnswerStatus.USABLE if connected else AnswerStatus.OUTDATED
