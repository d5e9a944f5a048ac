"""The messages by which entries ask for permits, and compare limits of servers.

The envelope, and the rule for fields that are added, are those of ``entry.messages``.
"""

import msgspec

__all__ = [
    "LimitsAsk",
    "LimitsReply",
    "PackedLimit",
    "PermitAsk",
    "PermitReply",
    "PermitReturn",
]

# A server's short form, the record's revision, the limit in hundredths of a request a
# second, -1 where it has ended, and the milliseconds since an answer showed it.
PackedLimit = tuple[bytes, int, int, int]


class PermitAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks for a permit to call a server with a limit.

    :ivar limit: what the sender knows of it.
    :ivar wait_ms: the longest wait for the permit's beginning.
    """

    server: str
    host: str
    incarnation: str
    service: str
    limit: PackedLimit
    wait_ms: int


class PermitReply(msgspec.Struct, frozen=True, tag=True):
    """Grants or refuses a permit.

    :ivar number: names the permit at the entry that granted it; 0 for none.
    :ivar wait_ms: until it begins, or until the next one would.
    """

    number: int
    wait_ms: int


class PermitReturn(msgspec.Struct, frozen=True, tag=True):
    """Gives a permit back that was not used.

    :ivar number: names it at the entry that granted it.
    """

    number: int


class LimitsAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks for the records of limits in which two tables differ.

    :ivar digests: the sender's digests of its buckets.
    """

    digests: tuple[int, ...]


class LimitsReply(msgspec.Struct, frozen=True, tag=True):
    """The records of the buckets that differ."""

    records: tuple[PackedLimit, ...]
