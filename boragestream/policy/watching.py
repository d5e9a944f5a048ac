"""Which entries watch the configuration service, and how often the others read it.

The service counts each call, a waiting watch as one, so that the number of watches
must not grow with the number of entries. Every entry works out the same choice from
what it believes of the others; where beliefs differ for a moment, one entry too many
or too few watches, which does no harm.
"""

import random
from collections.abc import Iterable

import xxhash

__all__ = ["direct_read_seconds", "watchers"]

WATCHERS_PER_DATA_CENTRE = 2
# All the entries that do not watch read directly this often together, to get round a
# relay that is silent without anybody noticing.
DIRECT_READS_PER_SECOND = 2.0
MIN_DIRECT_READ_SECONDS = 5.0


def watchers(names: Iterable[str]) -> frozenset[str]:
    """Return which of a data centre's live entries watch, by rendezvous hashing."""
    ranked = sorted(names, key=_weight, reverse=True)
    return frozenset(ranked[:WATCHERS_PER_DATA_CENTRE])


def direct_read_seconds(entries: int, rng: random.Random) -> float:
    """Return how long an entry that does not watch waits until it reads directly.

    :param entries: how many entries are live.
    :param rng: spreads the reads.
    """
    mean = max(MIN_DIRECT_READ_SECONDS, entries / DIRECT_READS_PER_SECOND)
    return mean * (0.5 + rng.random())


def _weight(name: str) -> int:
    return xxhash.xxh64_intdigest(f"configuration {name}".encode())
