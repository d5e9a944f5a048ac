"""The messages by which entries tell each other what they know.

Who the entries are, what the platform publishes of the servers, and which requests
crash servers. The envelope, and the rule for fields that are added, are those of
``entry.messages``.
"""

import msgspec

__all__ = [
    "AddressesAsk",
    "AddressesReply",
    "PackedCrashes",
    "PublishedAsk",
    "PublishedReply",
    "QuarantineAsk",
    "QuarantineReply",
]

# A request's fingerprint, how many of its quarantines and of its shorter rows of
# crashes an answer has ended, its crashes in a row since, and the milliseconds since
# the last one.
PackedCrashes = tuple[bytes, int, int, int, int]


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
    """

    after: int | None = None


class PublishedReply(msgspec.Struct, frozen=True, tag=True):
    """What is published of the servers.

    :ivar after: the revision from which the changes lead on; None where they are all
        values.
    :ivar revision: up to which they are complete; 0 where nothing is known.
    :ivar changes: of each its key, its revision and its value, None for a removal.
    :ivar lapsed: for how many milliseconds keys that lapsed are still kept.
    """

    after: int | None = None
    revision: int = 0
    changes: tuple[tuple[str, int, bytes | None], ...] = ()
    lapsed: dict[str, int] = {}


class QuarantineAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks which requests are quarantined."""


class QuarantineReply(msgspec.Struct, frozen=True, tag=True):
    """The requests that are quarantined."""

    records: tuple[PackedCrashes, ...] = ()
