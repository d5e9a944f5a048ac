"""The regions of the data centres, as the settings name them.

Several regions make distance matter: a call between two of them takes longer and
crosses a link that all traffic shares. Where the settings name a single region or none,
``several`` is False and every decision is made as if there were no regions.
``policy.region_choice`` chooses servers by region, ``policy.region_links`` records what
is known of the links.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from boragestream.policy.peers import ListedEntry

__all__ = ["Regions"]


@dataclass(frozen=True, slots=True)
class Regions:
    """The regions as one entry sees them.

    :ivar data_centre: this entry's data centre.
    :ivar by_data_centre: the region of each data centre that is in one.
    """

    data_centre: str
    by_data_centre: Mapping[str, str] = field(default_factory=dict)

    @property
    def own(self) -> str:
        """This entry's region; empty if its data centre is in none."""
        return self.of(self.data_centre)

    @property
    def names(self) -> tuple[str, ...]:
        """All regions, in alphabetical order."""
        return tuple(sorted(set(self.by_data_centre.values())))

    @property
    def several(self) -> bool:
        """Whether this entry's region is one of several."""
        return bool(self.own) and len(set(self.by_data_centre.values())) > 1

    def of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is in none."""
        return self.by_data_centre.get(data_centre, "")

    def entries_in(
        self, entries: Iterable[ListedEntry], region: str
    ) -> list[ListedEntry]:
        """Return the entries in a region."""
        return [entry for entry in entries if self.of(entry.data_centre) == region]
