"""A table of records replicated by gossip, with digests for anti-entropy.

A new record is sent a bounded number of times. Tables that missed it detect this by
comparing digests of buckets, so two equal tables exchange only a few bytes. The table's
user supplies the rule that decides which of two records prevails.
"""

import math
import threading
from collections.abc import Callable, Collection, Iterable
from typing import Generic, TypeVar

import msgspec
import xxhash

__all__ = ["BUCKETS", "GossipTable"]

BUCKETS = 16
# Each entry sends a new record about this many times the binary logarithm of the
# table's size, which reaches all but a negligible share of the entries.
SENDS_PER_LOG_SIZE = 3

Record = TypeVar("Record")


class GossipTable(Generic[Record]):
    """Records by key.

    :param key_of: returns a record's key.
    :param prevails: returns which of two records with the same key prevails.
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
        """The 32-bit digest of each bucket; equal tables have equal digests."""
        return tuple(self._digests)

    def get(self, key: str) -> Record | None:
        """Return a record; None if the table lacks it."""
        return self._records.get(key)

    def merge(self, record: Record, spread: bool = True) -> bool:
        """Merge a record; return whether it changed the table.

        :param spread: whether to send it on to other entries.
        """
        key = self._key_of(record)
        with self._lock:
            known = self._records.get(key)
            if known is not None and self._prevails(known, record) == known:
                return False
            self._replace(key, known, record)
            if spread:
                sends = SENDS_PER_LOG_SIZE * math.log2(len(self._records) + 1)
                self._sends_left[key] = math.ceil(sends)
            return True

    def remove(self, keys: Iterable[str]) -> None:
        """Remove records."""
        with self._lock:
            for key in keys:
                known = self._records.pop(key, None)
                self._sends_left.pop(key, None)
                if known is not None:
                    self._digests[_bucket(key)] ^= _digest(known)

    def pending_records(self, count: int) -> list[Record]:
        """Return the new records with the most sends left, and count this send.

        :param count: the maximum number of records.
        """
        with self._lock:
            keys = sorted(self._sends_left, key=self._sends_left.get, reverse=True)
            for key in keys[:count]:
                self._sends_left[key] -= 1
                if not self._sends_left[key]:
                    del self._sends_left[key]
            return [self._records[key] for key in keys[:count]]

    def records_in_buckets(self, buckets: Collection[int]) -> list[Record]:
        """Return all records of some buckets."""
        with self._lock:
            return [r for k, r in self._records.items() if _bucket(k) in buckets]

    def differing_buckets(self, digests: Collection[int]) -> list[int]:
        """Return the buckets whose digests differ from another table's."""
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
