"""Selection of the entries that watch the platform's store.

All entries select the watchers by the same rule from the entries that they consider
live. ``policy.watching`` schedules the calls of watchers and of all other entries;
``policy.region_watching`` selects the watchers where the settings name several regions.
"""

from collections.abc import Iterable

import xxhash

from boragestream.policy.peers import ListedEntry

__all__ = ["is_first_watcher", "is_watcher", "select_watchers", "watcher_ranking"]

WATCHERS_PER_DATA_CENTRE = 2


def watcher_ranking(names: Iterable[str]) -> list[str]:
    """Return the names of entries ranked for watching, by rendezvous hashing."""
    return sorted(names, key=_rendezvous_weight, reverse=True)


def select_watchers(names: Iterable[str]) -> frozenset[str]:
    """Return the watchers among a data centre's live entries."""
    return frozenset(watcher_ranking(names)[:WATCHERS_PER_DATA_CENTRE])


def is_watcher(name: str, data_centre: str, usable: Iterable[ListedEntry]) -> bool:
    """Return whether an entry is one of its data centre's watchers.

    :param usable: the live entries; the entry itself is added if they lack it.
    """
    names = {entry.name for entry in usable if entry.data_centre == data_centre}
    return name in select_watchers(names | {name})


def is_first_watcher(name: str, usable: Iterable[ListedEntry]) -> bool:
    """Return whether an entry ranks first among the watchers of all data centres.

    :param usable: the live entries; the entry itself is added if they lack it.
    """
    return (
        max({name, *(entry.name for entry in usable)}, key=_rendezvous_weight) == name
    )


def _rendezvous_weight(name: str) -> int:
    return xxhash.xxh64_intdigest(f"configuration {name}".encode())
