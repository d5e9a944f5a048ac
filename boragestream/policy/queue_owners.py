"""Assigns the queue of each stage service to an entry, without communication.

All live entries compute the same ranking of entries for a queue, and the first entry
owns it. Where there are several regions, a service has one queue in each of them: half
of all orders would otherwise cross between regions. ``serving.piece_batches``
implements the owner, ``serving.piece_orders`` how the other entries act while the owner
does not answer.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from boragestream.policy.peers import ListedEntry
from boragestream.policy.regions import Regions

__all__ = ["StageQueue", "eligible_entries", "owner_ranking", "queue_entries"]

# The minimum capacity of an owner, relative to the largest entry. Entries on equal
# instances are all eligible. A queue on a small instance delays all entries' stages.
MIN_CAPACITY_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class StageQueue:
    """The queue of a stage service in one region.

    :ivar region: empty for the queue over all regions.
    """

    service: str
    region: str = ""

    @property
    def ranking_key(self) -> str:
        """The key by which the entries are ranked for the queue."""
        return f"{self.service}\0{self.region}" if self.region else self.service

    def has_server_in(self, region: str) -> bool:
        """Return whether the queue sends calls to the servers of a region."""
        return not self.region or self.region == region


def eligible_entries(entries: Sequence[ListedEntry]) -> list[str]:
    """Return the names of the entries that are eligible to own queues.

    These are the entries with at least half of the largest capacity. A queue on an
    instance with a slow link or a small share of a core delays the stages of all
    entries.
    """
    largest = max((entry.capacity for entry in entries), default=0.0)
    return [e.name for e in entries if e.capacity >= MIN_CAPACITY_SHARE * largest]


def queue_entries(
    entries: Sequence[ListedEntry], regions: Regions, region: str
) -> list[str]:
    """Return the names of the entries that are ranked for the queues of a region.

    These are the eligible entries of that region. If it has no entry, the eligible
    entries of the other regions are ranked.

    :param region: empty for the queues over all regions.
    """
    local = regions.entries_in(entries, region) if region else []
    return eligible_entries(local or entries)


def owner_ranking(key: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in ranked order for a key; the first owns its queue.

    :param key: the ``StageQueue.ranking_key`` of a queue, or the name of a server whose
        permits are granted.
    """

    def rank(entry: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{entry}".encode())

    return sorted(entries, key=rank)
