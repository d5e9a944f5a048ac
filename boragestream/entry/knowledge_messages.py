"""The messages by which entries tell each other what they know.

Who the entries are, what the platform publishes of the servers, and which requests
crash servers. The envelope, and the rule for fields that are added, are those of
``entry.messages``.
"""

import msgspec

from boragestream.policy.publication import NO_ERA

__all__ = [
    "AddressesAsk",
    "AddressesReply",
    "PackedCrashes",
    "PackedHeld",
    "PublishedAsk",
    "PublishedReply",
    "QuarantineAsk",
    "QuarantineReply",
]

# A request's fingerprint, how many of its quarantines and of its shorter rows of
# crashes an answer has ended, its crashes in a row since, and the milliseconds since
# the last one.
PackedCrashes = tuple[bytes, int, int, int, int]
# The revision and the value of a key's last write.
PackedWrite = tuple[int, bytes]
# A key, for how many milliseconds more, the write that is used and the one that the
# store has; None for none.
PackedHeld = tuple[str, int, PackedWrite | None, PackedWrite | None]


class AddressesAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks which entries a peer knows, and tells it of the sender.

    :ivar digest: of the names that the sender knows.
    :ivar record: the address book's own encoding of the sender's record.
    """

    digest: int
    record: bytes = b""


class AddressesReply(msgspec.Struct, frozen=True, tag=True):
    """The entries that a peer knows.

    :ivar book: the address book's own encoding of them, compressed; empty where both
        know the same.
    """

    book: bytes = b""


class PublishedAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks what is published of the servers.

    :ivar after: the revision that the sender knows; None for none.
    :ivar era: of that revision; ``NO_ERA`` where the store, or an earlier release,
        names none.
    """

    after: int | None = None
    era: int = NO_ERA


class PublishedReply(msgspec.Struct, frozen=True, tag=True):
    """What is published of the servers.

    :ivar after: the revision from which the changes lead on; None where they are all
        values.
    :ivar revision: up to which they are complete; 0 where nothing is known.
    :ivar changes: of each its key, its revision and its value, None for a removal.
    :ivar lapsed: for how many milliseconds keys that lapsed are still kept.
    :ivar era: of the revision; ``NO_ERA`` where the store, or an earlier release,
        names none.
    :ivar after_era: of the revision from which the changes lead on.
    :ivar era_ms: how long ago the era was first seen; None where that is unknown.
    :ivar held: what is used against what a returned store says.
    """

    after: int | None = None
    revision: int = 0
    changes: tuple[tuple[str, int, bytes | None], ...] = ()
    lapsed: dict[str, int] = {}
    era: int = NO_ERA
    after_era: int = NO_ERA
    era_ms: int | None = None
    held: tuple[PackedHeld, ...] = ()


class QuarantineAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks which requests are quarantined."""


class QuarantineReply(msgspec.Struct, frozen=True, tag=True):
    """The requests that are quarantined."""

    records: tuple[PackedCrashes, ...] = ()
