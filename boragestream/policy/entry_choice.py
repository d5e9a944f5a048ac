"""The choice and order of the entries that a caller is told to use.

Rendezvous hashing confines a client account to a pool of entries, so that only a few
entries enforce its limits and only a few are affected by an overload from it. The pool
grows with the account's weight. The order within the pool is random, weighted by free
capacity, so that simultaneous callers spread. A few entries outside the pool follow for
a caller that can't reach the pool. The caller of ``entry_order`` determines which
entries are usable.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["ChoosableEntry", "entry_order"]

MIN_POOL = 3
FALLBACKS = 2
NEAR_FACTOR = 1.5
MIN_FREE_CAPACITY = 0.05
UNKNOWN_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class ChoosableEntry:
    """A live entry that callers may use."""

    name: str
    data_centre: str


def entry_order(
    account: str,
    share: float,
    entries: Sequence[ChoosableEntry],
    loads: Mapping[str, float],
    data_centre: str,
    rng: random.Random,
) -> list[str]:
    """Return the names of the entries to use, in order of preference.

    :param share: the account's share of the weights of all accounts, 0 to 1.
    :param entries: the live entries, without leaving or gone ones.
    :param loads: the load by entry, from 0 (idle) to 1 (refusing requests).
    :param data_centre: the data centre of the entry that answers the caller, which is
        one near the caller.
    """
    ranked = sorted(entries, key=lambda entry: _rendezvous_weight(account, entry.name))
    size = max(MIN_POOL, round(share * len(entries) * 2))
    pool = ranked[:size]
    fallbacks = ranked[size : size + FALLBACKS]
    sampled = sorted(
        pool,
        key=lambda entry: -_sampling_key(entry, loads, data_centre, rng),
    )
    return [entry.name for entry in (*sampled, *fallbacks)]


def _rendezvous_weight(account: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{account}\n{entry}".encode())


def _sampling_key(
    entry: ChoosableEntry,
    loads: Mapping[str, float],
    data_centre: str,
    rng: random.Random,
) -> float:
    """Return a random sort key for sampling entries in proportion to free capacity."""
    free_capacity = max(MIN_FREE_CAPACITY, 1 - loads.get(entry.name, UNKNOWN_LOAD))
    if entry.data_centre == data_centre:
        free_capacity *= NEAR_FACTOR
    return rng.random() ** (1 / free_capacity)
