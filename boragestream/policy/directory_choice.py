"""Chooses the entries that one answer of the directory lists.

Load pattern: thousands of callers fetch addresses every few seconds, more entries serve
than one answer holds, and the largest entry has many times the capacity of the
smallest. With a new random sample in each answer, callers connect to other entries all
the time, and the smallest entry gets as many connections as the largest.

Weighted rendezvous hashing gives each caller address its own ranking of the entries.
An entry that joins or leaves changes one place of it, and an entry is ranked first for
a share of the caller addresses that is proportional to its capacity.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

from boragestream.policy.peers import ListedEntry

__all__ = ["MAX_LISTED", "DirectoryChoice", "RandomEntries", "RankedEntries"]

# Callers use at most this many addresses of one answer.
MAX_LISTED = 64
# Capacities come from other entries. One that is zero, negative or not a number counts
# as the capacity of an entry behind a link of some hundred kilobits a second.
MIN_CAPACITY = 0.01
HASH_BITS = 64


class DirectoryChoice(Protocol):
    """Chooses which entries an answer lists, and in which order."""

    def choose(
        self, entries: Sequence[ListedEntry], caller: str
    ) -> Sequence[ListedEntry]:
        """Return at most ``MAX_LISTED`` of the entries.

        :param caller: the address of the caller, without a port.
        """


@dataclass(frozen=True, slots=True)
class RandomEntries:
    """Lists a new random sample in each answer, regardless of capacity."""

    rng: random.Random

    def choose(
        self, entries: Sequence[ListedEntry], caller: str
    ) -> Sequence[ListedEntry]:
        """Return a random sample."""
        return self.rng.sample(entries, min(len(entries), MAX_LISTED))


@dataclass(frozen=True, slots=True)
class RankedEntries:
    """Lists the entries that rank first for the caller, weighted by their capacity."""

    def choose(
        self, entries: Sequence[ListedEntry], caller: str
    ) -> Sequence[ListedEntry]:
        """Return the first entries of the caller's ranking."""
        ranked = sorted(entries, key=lambda e: (_rank(caller, e), e.name))
        return ranked[:MAX_LISTED]


def _rank(caller: str, entry: ListedEntry) -> float:
    """Return the entry's place in the caller's ranking; the lowest is the first.

    It is exponentially distributed with the capacity as its rate. The lowest of several
    such values belongs to each with a probability proportional to its rate.
    """
    digest = xxhash.xxh3_64_intdigest(f"{caller}\0{entry.name}".encode())
    # Between 0 and 1, both excluded.
    uniform = (digest + 0.5) / 2**HASH_BITS
    capacity = entry.capacity
    # The comparison is also False for a capacity that is not a number.
    weight = capacity if capacity >= MIN_CAPACITY else MIN_CAPACITY
    # ``uniform`` can round to 1.
    return -math.log(min(uniform, 1 - 2**-53)) / weight
