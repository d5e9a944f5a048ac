"""What rides on the exchange between entries: parts that offer and take bytes.

A part owns its own encoding and merging. Whatever it takes may come late, twice, out
of order or not at all, so that merging must be idempotent and independent of order.
When and with whom to exchange is left to ``entry.exchange``.
"""

from collections.abc import Sequence
from typing import Protocol

__all__ = ["EXCHANGE_BYTES", "ExchangePart", "collect", "hand_out"]

# Two exchanges a second begun and two answered are eight messages a second. With
# envelope and headers, 600 bytes of parts in each stay below 7 KB a second.
EXCHANGE_BYTES = 600
# The key and length of a part in the message.
PART_OVERHEAD = 4


class ExchangePart(Protocol):
    """One subject of the exchange, for example membership or account demand."""

    @property
    def name(self) -> str:
        """A short name, the same on every entry and in every version."""

    def offer(self, budget: int) -> bytes:
        """Return what a peer should hear now.

        :param budget: the most bytes; an offer beyond it is left out.
        :returns: empty where there is nothing to say or no room to say it.
        """

    def take(self, sender: str, data: bytes) -> None:
        """Merge what a peer offered.

        :param sender: the name of the entry that offered it.
        :param data: what ``offer`` returned there; not yet checked.
        """


def collect(parts: Sequence[ExchangePart], turn: int) -> dict[str, bytes]:
    """Return one message's parts within the byte budget.

    :param parts: in the order of their importance; the first always has first call.
    :param turn: rises with each message; the parts after the first take turns, so
        that none starves.
    """
    if not parts:
        return {}
    first, rest = parts[0], list(parts[1:])
    shift = turn % len(rest) if rest else 0
    left = EXCHANGE_BYTES
    collected = {}
    for part in [first, *rest[shift:], *rest[:shift]]:
        room = left - len(part.name) - PART_OVERHEAD
        data = part.offer(room) if room > 0 else b""
        if data and len(data) <= room:
            collected[part.name] = data
            left = room - len(data)
    return collected


def hand_out(
    parts: Sequence[ExchangePart], sender: str, collected: dict[str, bytes]
) -> None:
    """Give each known part what a peer offered; unknown ones are left alone."""
    for part in parts:
        data = collected.get(part.name)
        if data:
            part.take(sender, data)
