"""Assigns the queue of each stage service to an entry, without communication.

All live entries compute the same ranking of entries for a service, and the first entry
owns its queue. ``serving.piece_batches`` implements the owner, ``serving.piece_orders``
how the other entries act while the owner does not answer.
"""

from collections.abc import Sequence

import xxhash

from boragestream.policy.peers import ListedEntry

__all__ = ["eligible_entries", "owner_ranking"]

# The minimum capacity of an owner, relative to the largest entry. Entries on equal
# instances are all eligible. A queue on a small instance delays all entries' stages.
MIN_CAPACITY_SHARE = 0.5


def eligible_entries(entries: Sequence[ListedEntry]) -> list[str]:
    """Return the names of the entries that are eligible to own queues.

    These are the entries with at least half of the largest capacity. A queue on an
    instance with a slow link or a small share of a core delays the stages of all
    entries.
    """
    largest = max((entry.capacity for entry in entries), default=0.0)
    return [e.name for e in entries if e.capacity >= MIN_CAPACITY_SHARE * largest]


def owner_ranking(service: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in ranked order for a service; the first owns its queue."""

    def rank(entry: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{service}\0{entry}".encode())

    return sorted(entries, key=rank)
