"""The parts of the messages that entries exchange.

Each part encodes its own data and merges that of peers. The data may arrive late,
twice, out of order or not at all, so merging must be idempotent and independent of
order. ``entry.exchange`` decides when and with which peers to exchange.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

__all__ = [
    "EXCHANGE_BYTES",
    "ExchangePart",
    "collect_offers",
    "distribute_offers",
    "encode_fitting",
]

# An entry starts two exchanges per second and answers two, which makes eight messages
# per second. With envelopes and headers, 600 bytes of parts in each message stay below
# 7 KB per second.
EXCHANGE_BYTES = 600
# The bytes that the encoding of a part's key and length adds.
PART_OVERHEAD = 4

_encoder = msgspec.msgpack.Encoder()


class ExchangePart(Protocol):
    """One kind of data in the exchange, such as membership or account demand."""

    @property
    def name(self) -> str:
        """The short name of the part, the same on every entry and in every version."""

    def offer(self, budget: int) -> bytes:
        """Return the encoded data to send to a peer now.

        :param budget: the maximum size in bytes; a larger offer is not sent.
        :returns: the data; empty if there is none or it does not fit.
        """

    def take(self, sender: str, data: bytes) -> None:
        """Merge the data that a peer offered.

        :param sender: the name of the entry that offered the data.
        :param data: the result of ``offer`` at the sender, not yet validated.
        """


def collect_offers(
    parts: Sequence[ExchangePart], turn: int, last: Sequence[ExchangePart] = ()
) -> dict[str, bytes]:
    """Return the offers of one message, within the limit of ``EXCHANGE_BYTES``.

    :param parts: the parts; the first always gets space before all others.
    :param turn: a number that rises with each message; it rotates the order of the
        parts after the first, so that none of them starves.
    :param last: the parts that get the space that all others leave.
    """
    first, rest = parts[:1], list(parts[1:])
    shift = turn % len(rest) if rest else 0
    left = EXCHANGE_BYTES
    collected = {}
    for part in [*first, *rest[shift:], *rest[:shift], *last]:
        room = left - len(part.name) - PART_OVERHEAD
        data = part.offer(room) if room > 0 else b""
        if data and len(data) <= room:
            collected[part.name] = data
            left = room - len(data)
    return collected


def encode_fitting(records: Sequence[object], budget: int) -> bytes:
    """Return the first records that fit into an offer; empty if none does.

    :param budget: the maximum size in bytes.
    """
    for count in range(len(records), 0, -1):
        data = _encoder.encode(records[:count])
        if len(data) <= budget:
            return data
    return b""


def distribute_offers(
    parts: Sequence[ExchangePart], sender: str, collected: dict[str, bytes]
) -> None:
    """Pass a peer's offers to the parts of the same name; ignore unknown names."""
    for part in parts:
        data = collected.get(part.name)
        if data:
            part.take(sender, data)
