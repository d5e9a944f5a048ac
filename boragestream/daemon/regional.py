"""Builds the objects of an entry that concern the other regions."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.route_metrics import RouteMetrics
from boragestream.base.route_settings import RouteSettings
from boragestream.entry.link_meter import RegionMeter
from boragestream.entry.links import PeerMeter
from boragestream.entry.peers import EntryPeers
from boragestream.entry.region_part import log_link_change
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_entries import RegionEntries
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions
from boragestream.policy.servers import Server

__all__ = ["Regional", "make_regional"]


@dataclass(frozen=True, slots=True)
class Regional:
    """The objects of one entry that concern the other regions.

    :ivar meter: measures the requests to other entries; None if there is one region.
    :ivar entries: selects the entries that are ranked for a server.
    """

    regions: Regions
    links: RegionLinks
    meter: PeerMeter | None
    entries: RegionEntries

    def note_server_answer(self, server: Server) -> None:
        """Record that a backend server answered a call."""
        self.links.note_server_answer(server.region)


def make_regional(
    settings: RouteSettings,
    members: Callable[[], EntryPeers],
    staged: Callable[[str], bool],
    clock: Clock,
    rng: random.Random,
    metrics: RouteMetrics,
    reaches: Callable[[str], bool] = lambda entry: True,
) -> Regional:
    """Build the objects without starting any.

    :param members: returns the state of the other entries, which is built later.
    :param staged: returns whether a service is a stage service.
    :param reaches: returns whether an entry, given by name, reaches any server.
    """

    def recorded() -> list[ListedEntry]:
        live = members().entries.recorded_live()
        return [entry for entry in live if reaches(entry.name)] or list(live)

    regions = Regions(settings.entry.data_centre, settings.regions)
    links = RegionLinks(regions, clock, rng, log_link_change)
    meter = RegionMeter(links, lambda address: members().region_at(address))
    entries = RegionEntries(links, recorded, staged)
    if regions.several:
        metrics.region_figures(links.figures)
    return Regional(regions, links, meter if regions.several else None, entries)
