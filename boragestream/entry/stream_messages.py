"""The messages by which entries share which software version began each stream.

The envelope and the rule for added fields are described in ``entry.messages``.
"""

import msgspec

__all__ = ["OriginAsk", "OriginReply", "OriginsNote", "PackedOrigin"]

# The key of a stream, the service and the software version that began it.
PackedOrigin = tuple[bytes, str, str]


class OriginsNote(msgspec.Struct, frozen=True, tag=True):
    """Sends records to an entry that holds them for others; a probe's reply answers."""

    records: tuple[PackedOrigin, ...]


class OriginAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests what the receiver has recorded that concerns a stream.

    :ivar key: the key of the stream.
    :ivar services: the services at which it may go on.
    :ivar confirm: whether the receiver is to confirm its server list by a read of the
        store, if it has no record.
    """

    key: bytes
    services: tuple[str, ...]
    confirm: bool = False


class OriginReply(msgspec.Struct, frozen=True, tag=True):
    """Reports what an entry has recorded that concerns a stream.

    :ivar origins: service and version of each stream with this key.
    :ivar versions: the recently listed versions, in the order of the services.
    :ivar complete: whether these versions are all that have served recently.
    :ivar followed_seconds: for how long the entry has followed the server list.
    :ivar confirmed: whether the store has confirmed the list since the request came.
    """

    origins: tuple[tuple[str, str], ...]
    versions: tuple[tuple[str, ...], ...]
    complete: bool
    followed_seconds: float = 0.0
    confirmed: bool = False
