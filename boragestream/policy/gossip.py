"""A table of records that spreads by gossip: news for a while, then digests.

A record that is new is offered a bounded number of times. What that misses is found
by comparing digests of buckets, so that two tables which agree exchange a few bytes.
Which record prevails is told by the user; what the records mean does not matter here.
"""

import math
import threading
from collections.abc import Callable, Collection, Iterable
from typing import Generic, TypeVar

import msgspec
import xxhash

__all__ = ["BUCKETS", "GossipTable"]

BUCKETS = 16
# Each entry offers news about this many times the logarithm of the table's size,
# which reaches all but a vanishing share of the entries.
SENDS_FACTOR = 3

Record = TypeVar("Record")


class GossipTable(Generic[Record]):
    """Records by key.

    :param key_of: returns a record's key.
    :param prevails: returns the one of two records of the same key that prevails.
    """

    def __init__(
        self,
        key_of: Callable[[Record], str],
        prevails: Callable[[Record, Record], Record],
    ) -> None:
        self._key_of = key_of
        self._prevails = prevails
        self._records: dict[str, Record] = {}
        self._digests = [0] * BUCKETS
        self._sends_left: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def records(self) -> dict[str, Record]:
        """A copy of every record by key."""
        with self._lock:
            return dict(self._records)

    @property
    def digests(self) -> tuple[int, ...]:
        """One 32-bit digest for each bucket; equal tables have equal ones."""
        return tuple(self._digests)

    def get(self, key: str) -> Record | None:
        """Return one record."""
        return self._records.get(key)

    def take(self, record: Record, spread: bool = True) -> bool:
        """Merge a record; True where it changed the table.

        :param spread: whether to offer it on as news.
        """
        key = self._key_of(record)
        with self._lock:
            known = self._records.get(key)
            if known is not None and self._prevails(known, record) == known:
                return False
            self._replace(key, known, record)
            if spread:
                sends = SENDS_FACTOR * math.log2(len(self._records) + 1)
                self._sends_left[key] = math.ceil(sends)
            return True

    def drop(self, keys: Iterable[str]) -> None:
        """Forget records."""
        with self._lock:
            for key in keys:
                known = self._records.pop(key, None)
                self._sends_left.pop(key, None)
                if known is not None:
                    self._digests[_bucket(key)] ^= _digest(known)

    def news(self, count: int) -> list[Record]:
        """Return the news that was offered least often, and count the offer.

        :param count: the most records.
        """
        with self._lock:
            keys = sorted(self._sends_left, key=self._sends_left.get, reverse=True)
            for key in keys[:count]:
                self._sends_left[key] -= 1
                if not self._sends_left[key]:
                    del self._sends_left[key]
            return [self._records[key] for key in keys[:count]]

    def in_buckets(self, buckets: Collection[int]) -> list[Record]:
        """Return every record of some buckets."""
        with self._lock:
            return [r for k, r in self._records.items() if _bucket(k) in buckets]

    def differing(self, digests: Collection[int]) -> list[int]:
        """Return the buckets in which another table differs from this one."""
        pairs = zip(self._digests, digests, strict=False)
        return [i for i, (mine, theirs) in enumerate(pairs) if mine != theirs]

    def _replace(self, key: str, known: Record | None, record: Record) -> None:
        bucket = _bucket(key)
        if known is not None:
            self._digests[bucket] ^= _digest(known)
        self._digests[bucket] ^= _digest(record)
        self._records[key] = record


def _bucket(key: str) -> int:
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


def _digest(record: object) -> int:
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(record))
