"""Messages by which entries share their state.

They cover the known entries, the platform's published servers, and the requests that
crash servers. ``entry.messages`` defines the envelope and the rule for added fields.
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

# A request's fingerprint; the number of its quarantines, and of its shorter runs of
# crashes, that an answer has ended; its consecutive crashes since then; and the
# milliseconds since the last crash.
PackedCrashes = tuple[bytes, int, int, int, int]
# The revision and the value of a key's last write.
PackedWrite = tuple[int, bytes]
# A key, the milliseconds for which it is still held, the write that is used, and the
# write that the store has. A write is None if there is none.
PackedHeld = tuple[str, int, PackedWrite | None, PackedWrite | None]


class AddressesAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the address book of a peer and sends the sender's own record.

    :ivar digest: the digest of the names that the sender knows.
    :ivar record: the sender's record, in the encoding of the address book.
    """

    digest: int
    record: bytes = b""


class AddressesReply(msgspec.Struct, frozen=True, tag=True):
    """The address book of a peer.

    :ivar book: the records, compressed, in the encoding of the address book; empty if
        both books have the same names.
    """

    book: bytes = b""


class PublishedAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the published servers.

    :ivar after: the revision that the sender has; None if it has none.
    :ivar era: the era of that revision; ``NO_ERA`` if the store, or an earlier release,
        sends none.
    """

    after: int | None = None
    era: int = NO_ERA


class PublishedReply(msgspec.Struct, frozen=True, tag=True):
    """The published servers.

    :ivar after: the revision to which the changes apply; None if they are the complete
        set of values.
    :ivar revision: the revision up to which they are complete; 0 if nothing is known.
    :ivar changes: the key, revision and value of each change; the value is None for a
        removal.
    :ivar lapsed: the milliseconds for which each lapsed key is still kept.
    :ivar era: the era of the revision; ``NO_ERA`` if the store, or an earlier release,
        sends none.
    :ivar after_era: the era of the revision to which the changes apply.
    :ivar era_ms: the time since the era was first seen; None if unknown.
    :ivar held: the values that are used instead of those of a returned store.
    :ivar followed_ms: the time since the sender has known any values; None if it is
        long or unknown, also from an earlier release.
    :ivar unbroken: whether the changes include those that others among them supersede;
        earlier releases do not send it.
    """

    after: int | None = None
    revision: int = 0
    changes: tuple[tuple[str, int, bytes | None], ...] = ()
    lapsed: dict[str, int] = {}
    era: int = NO_ERA
    after_era: int = NO_ERA
    era_ms: int | None = None
    held: tuple[PackedHeld, ...] = ()
    followed_ms: int | None = None
    unbroken: bool = False


class QuarantineAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the quarantined requests.

    :ivar parts: whether the blocked parts of prompts are requested instead.
    """

    parts: bool = False


class QuarantineReply(msgspec.Struct, frozen=True, tag=True):
    """The quarantined requests, or the blocked parts of prompts."""

    records: tuple[PackedCrashes, ...] = ()
