"""The messages for requesting permits and comparing the limits of servers.

The envelope and the rule for added fields are described in ``entry.messages``.
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

# The server's key, the record's revision, the limit in hundredths of a request per
# second (-1 if the limit has ended), and the milliseconds since a server's answer
# showed it.
PackedLimit = tuple[bytes, int, int, int]


class PermitAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests a permit to call a server that has a limit.

    :ivar limit: the sender's record of the limit.
    :ivar wait_ms: the longest acceptable wait until the permit is valid.
    :ivar data_centre: the server's data centre; earlier releases do not send it.
    """

    server: str
    host: str
    incarnation: str
    service: str
    limit: PackedLimit
    wait_ms: int
    data_centre: str = ""


class PermitReply(msgspec.Struct, frozen=True, tag=True):
    """Grants or refuses a permit.

    :ivar number: identifies the permit at the granting entry; 0 if refused.
    :ivar wait_ms: the time until the permit is valid or, if refused, until the next one
        would be.
    """

    number: int
    wait_ms: int


class PermitReturn(msgspec.Struct, frozen=True, tag=True):
    """Returns an unused permit.

    :ivar number: identifies the permit at the granting entry.
    """

    number: int


class LimitsAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the limit records in which two tables differ.

    :ivar digests: the digests of the buckets of the sender's table.
    """

    digests: tuple[int, ...]


class LimitsReply(msgspec.Struct, frozen=True, tag=True):
    """Returns the records of the buckets whose digests differ."""

    records: tuple[PackedLimit, ...]
