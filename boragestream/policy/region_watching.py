"""Selection of the entries of a region that watch the platform's store.

Load patterns: a link between regions that is priced by the byte, while each published
change is sent to each watcher; the loss of a watcher, or of a whole data centre with
its entries. ``policy.watching`` schedules the watchers' calls.
"""

from collections.abc import Iterable

from boragestream.policy.peers import ListedEntry
from boragestream.policy.regions import Regions
from boragestream.policy.watchers import is_first_watcher, is_watcher, watcher_ranking

__all__ = ["confirms_watches", "select_region_watchers", "watches_store"]

# The loss of one of the two has no noticeable effect.
WATCHERS_PER_REGION = 2


def select_region_watchers(entries: Iterable[ListedEntry]) -> frozenset[str]:
    """Return the watchers among a region's live entries.

    They are in different data centres if possible, so that the loss of a data centre
    leaves one of them.
    """
    centres = {entry.name: entry.data_centre for entry in entries}
    ranked = watcher_ranking(centres)
    elsewhere = [name for name in ranked if centres[name] != centres[ranked[0]]]
    ordered = dict.fromkeys([*ranked[:1], *elsewhere, *ranked])
    return frozenset(list(ordered)[:WATCHERS_PER_REGION])


def watches_store(name: str, regions: Regions, usable: Iterable[ListedEntry]) -> bool:
    """Return whether an entry watches the store.

    Two entries of each data centre watch, or two of each region if there are several.

    :param regions: the regions as this entry sees them.
    :param usable: the live entries; the entry itself is added if they lack it.
    """
    if not regions.several:
        return is_watcher(name, regions.data_centre, usable)
    others = [e for e in regions.entries_in(usable, regions.own) if e.name != name]
    own = ListedEntry(name, "", name, regions.data_centre)
    return name in select_region_watchers([own, *others])


def confirms_watches(
    name: str, regions: Regions, usable: Iterable[ListedEntry]
) -> bool:
    """Return whether an entry confirms the watches before the others do.

    One entry does so, or one of each region if there are several.
    """
    if regions.several:
        usable = regions.entries_in(usable, regions.own)
    return is_first_watcher(name, usable)
