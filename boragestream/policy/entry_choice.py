"""Which entries a caller is told to use, and in which order.

A client account is confined to a pool of entries by rendezvous hashing, so that its
limits concern few entries and its flood reaches few; the pool grows with the account's
weight. Within the pool the order is drawn by room, so that callers who ask at the same
time spread. The rest of the entries follow for a caller that finds the pool out of
reach. Which entries are usable is told by the caller of this function.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["ChoosableEntry", "entry_order"]

MIN_POOL = 3
FALLBACKS = 2
NEAR_FACTOR = 1.5
MIN_ROOM = 0.05
UNKNOWN_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class ChoosableEntry:
    """A live entry that callers may be sent to."""

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
    """Return the names of the entries to use, the first one first.

    :param share: the account's part of the weights of all accounts, 0 to 1.
    :param entries: the live entries; neither leaving nor gone ones.
    :param loads: by entry, 0 for idle to 1 for one that refuses.
    :param data_centre: where the asked entry is; callers ask one nearby.
    """
    ranked = sorted(entries, key=lambda entry: _rendezvous(account, entry.name))
    size = max(MIN_POOL, round(share * len(entries) * 2))
    pool = ranked[:size]
    spare = ranked[size : size + FALLBACKS]
    drawn = sorted(
        pool,
        key=lambda entry: -_drawn(entry, loads, data_centre, rng),
    )
    return [entry.name for entry in (*drawn, *spare)]


def _rendezvous(account: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{account}\n{entry}".encode())


def _drawn(
    entry: ChoosableEntry,
    loads: Mapping[str, float],
    data_centre: str,
    rng: random.Random,
) -> float:
    """Return a number that is highest for an entry with a chance like its room."""
    room = max(MIN_ROOM, 1 - loads.get(entry.name, UNKNOWN_LOAD))
    if entry.data_centre == data_centre:
        room *= NEAR_FACTOR
    return rng.random() ** (1 / room)
