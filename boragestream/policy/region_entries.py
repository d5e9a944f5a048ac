"""Selects the entries that are ranked for a server of a region.

Both sides of a cut link between regions must rank the same entries, or a bound would
hold once for each side. The entries of the server's region are therefore ranked by
their records, which a cut does not change, and not by whether this entry reaches them.

Load patterns: a link between regions that is cut for minutes while servers announce
limits; the simultaneous loss of all entries of a region whose servers still answer.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.servers import Server

__all__ = ["RegionEntries"]


@dataclass(frozen=True, slots=True)
class RegionEntries:
    """The entries by region, as one entry ranks them.

    :ivar recorded: returns the entries that are recorded as live, also those of regions
        that this entry can't reach.
    :ivar staged: returns whether a service is a stage service. Only the owner of a
        stage's queue calls its servers, and its ranking is not decided here.
    """

    links: RegionLinks
    recorded: Callable[[], Iterable[ListedEntry]]
    staged: Callable[[str], bool]

    def region_of(self, server: Server) -> str:
        """Return the region whose entries are ranked; empty if all entries are."""
        regions = self.links.regions
        if not regions.several or self.staged(server.service):
            return ""
        return regions.of(server.data_centre)

    def in_charge(self, region: str) -> list[ListedEntry]:
        """Return the entries that are ranked for a region's servers.

        :returns: nothing if the region has no entry, so that all others are ranked.
        """
        if self.links.entries_lost(region):
            return []
        return [e for e in self.of_region(region, self.recorded()) if e.host]

    def ranked(self, server: Server, live: Sequence[str]) -> Sequence[str]:
        """Return the names of the entries that are ranked for a server.

        :param live: the names of the live entries of all regions.
        """
        region = self.region_of(server)
        return [e.name for e in self.in_charge(region)] or live if region else live

    def of_region(
        self, region: str, entries: Iterable[ListedEntry]
    ) -> list[ListedEntry]:
        """Return the entries in a region."""
        return self.links.regions.entries_in(entries, region)
