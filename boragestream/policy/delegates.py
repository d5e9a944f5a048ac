"""Chooses the entry to which an entry without servers delegates a request.

The nearest entries come first: those of the own data centre, then of the own region.
Among these the entry with the most free capacity is chosen. Entries that are cut off
themselves, that failed a moment ago, or that are outside the home regions of the
request are left out.
"""

import threading
from collections import Counter
from collections.abc import Callable, Collection, Sequence

import xxhash

from boragestream.base.clock import Clock
from boragestream.policy.cut_entries import CutEntries
from boragestream.policy.peers import ListedEntry

__all__ = ["Delegates"]

# An entry that was not reached is left out this long.
SKIP_SECONDS = 2.0
MIN_CAPACITY = 0.01
# A request in progress at a farther entry weighs as much as this many at a near one.
NEAR_WEIGHT = 1.0
REGION_WEIGHT = 1.5


class Delegates:
    """The entries to which requests can be delegated; safe to use from any thread.

    :param own: this entry's name.
    :param entries: returns the live entries that serve callers.
    :param data_centre: this entry's data centre.
    :param region_of: returns the region of a data centre; empty if unknown.
    """

    def __init__(
        self,
        own: str,
        entries: Callable[[], Sequence[ListedEntry]],
        cut_entries: CutEntries,
        data_centre: str,
        region_of: Callable[[str], str],
        clock: Clock,
    ) -> None:
        self._own = own
        self._entries = entries
        self._cut_entries = cut_entries
        self._data_centre = data_centre
        self._region_of = region_of
        self._clock = clock
        self._in_progress: Counter[str] = Counter()
        self._skipped_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def choose(
        self, service: str, tried: Collection[str], homes: Collection[str] | None
    ) -> ListedEntry | None:
        """Return the entry to which to delegate a request; None if there is none.

        :param service: the service whose servers the request needs.
        :param tried: the names of the entries that have been asked already.
        :param homes: the only regions to which the request may be sent; None for any.
        """
        now = self._clock.now()
        usable = [
            entry
            for entry in self._entries()
            if entry.name != self._own
            and entry.name not in tried
            and (homes is None or self._region_of(entry.data_centre) in homes)
            and self._skipped_until.get(entry.name, 0.0) <= now
            and not self._cut_entries.is_cut_off(entry.name, service)
        ]
        region = self._region_of(self._data_centre)
        near = [e for e in usable if self._region_of(e.data_centre) == region]
        return min(near or usable, key=self._load, default=None)

    def begin(self, entry: str) -> None:
        """Record that a request is delegated to an entry."""
        with self._lock:
            self._in_progress[entry] += 1

    def end(self, entry: str, reached: bool) -> None:
        """Record that a delegated request has ended.

        :param reached: whether the entry took the request.
        """
        with self._lock:
            self._in_progress[entry] -= 1
            if not self._in_progress[entry]:
                del self._in_progress[entry]
            if not reached:
                self._skipped_until[entry] = self._clock.now() + SKIP_SECONDS

    def _load(self, entry: ListedEntry) -> tuple[float, int]:
        near = entry.data_centre == self._data_centre
        weight = NEAR_WEIGHT if near else REGION_WEIGHT
        capacity = max(MIN_CAPACITY, entry.capacity)
        load = (self._in_progress[entry.name] + 1) * weight / capacity
        # Entries that are cut off together don't all choose the same one first.
        tie = xxhash.xxh3_64_intdigest(f"{self._own}\0{entry.name}".encode())
        return load, tie
