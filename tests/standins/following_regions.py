"""Entries of two regions that follow one store, in simulated time.

The store is in "valley". The rounds stay within a region, and a few a second cross.
While the link is cut, neither rounds nor calls of the store cross.
"""

from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_watching import confirms_watches, watches_store
from boragestream.policy.regions import Regions
from tests.standins.following import PREFIXES, SimulatedEntry, SimulatedSite

CENTRES = ("hall-a", "hall-b", "hall-c", "pier-a", "pier-b", "pier-c")
REGION_BY_CENTRE = {c: "valley" if c[0] == "h" else "coast" for c in CENTRES}
CROSSINGS_PER_SECOND = 4


class RegionEntry(SimulatedEntry):
    """One entry that selects watchers by region."""

    def starts(self):
        """Begin without any knowledge."""
        super().starts()
        self.regions = Regions(CENTRES[self.centre], REGION_BY_CENTRE)
        self.confirming = ConfirmationSchedule(
            self.site.clock,
            self.site.rng,
            PREFIXES,
            self.site.bound,
            lambda: self.name in self.site.selected()[1],
        )

    def designated(self):
        """Return whether this entry is a watcher."""
        return self.name in self.site.selected()[0]


class RegionSite(SimulatedSite):
    """Entries in six data centres of two regions before one store."""

    def __init__(self, count, bound, seed=1):
        """Start all entries within a moment."""
        super().__init__(0, len(CENTRES), bound, seed)
        self.cut = False
        self._selected = ((), (frozenset(), frozenset()))
        self.entries = [
            RegionEntry(f"entry-{n}", n % len(CENTRES), self) for n in range(count)
        ]

    def listed(self):
        """Return the running entries as others list them."""
        return [
            ListedEntry(e.name, "", e.name, CENTRES[e.centre]) for e in self.running()
        ]

    def selected(self):
        """Return the names of those that watch and of those that confirm.

        They are selected again only when other entries run, which saves most of the
        time of a run with hundreds of entries.
        """
        running = self.running()
        names = tuple(entry.name for entry in running)
        if names != self._selected[0]:
            listed = self.listed()
            select = [
                frozenset(e.name for e in running if choose(e.name, e.regions, listed))
                for choose in (watches_store, confirms_watches)
            ]
            self._selected = (names, tuple(select))
        return self._selected[1]

    def of_region(self, region):
        """Return the running entries of a region."""
        return [e for e in self.running() if e.regions.own == region]

    def peers(self, entry, count):
        """Return entries to exchange with, most of them of the same region."""
        same = [e for e in self.of_region(entry.regions.own) if e is not entry]
        near = [e for e in same if e.centre == entry.centre]
        far = [e for e in same if e.centre != entry.centre]
        chosen = self.rng.sample(far, min(1, len(far)))
        chosen += self.rng.sample(near, min(count - len(chosen), len(near)))
        other = [e for e in self.running() if e.regions.own != entry.regions.own]
        share = CROSSINGS_PER_SECOND / (len(same) + 1)
        if other and not self.cut and self.rng.random() < share:
            chosen.append(self.rng.choice(other))
        return chosen

    def cut_link(self):
        """Cut the link: the store answers no entry of the other region."""
        self.cut = True
        self.store.turned_away = {e.name for e in self.of_region("coast")}

    def heal_link(self):
        """End the cut."""
        self.cut = False
        self.store.turned_away = set()
