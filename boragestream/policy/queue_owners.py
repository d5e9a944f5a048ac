"""Which entry owns the queue of a stage service, without asking anybody.

All live entries rank each other alike for a service, and the first owns its queue. What
an owner does is left to ``serving.piece_batches``, what others do while it is silent to
``serving.piece_orders``.
"""

from collections.abc import Sequence

import xxhash

from boragestream.policy.peers import ListedEntry

__all__ = ["able_entries", "owner_order"]

# Among equal instances all can own; among unequal ones a queue on a small instance
# holds up the stages of all entries.
ABLE_SHARE = 0.5


def able_entries(entries: Sequence[ListedEntry]) -> list[str]:
    """Return the names of the entries that can own queues.

    Instances differ: a queue on one with a slow link or a small part of a core holds up
    the stages of all entries. Those with half of the largest capacity or more can own.
    """
    most = max((entry.capacity for entry in entries), default=0.0)
    return [e.name for e in entries if e.capacity >= ABLE_SHARE * most]


def owner_order(service: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in their rank for a service; the first owns its queue."""

    def rank(entry: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{service}\0{entry}".encode())

    return sorted(entries, key=rank)
