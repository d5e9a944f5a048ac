"""Chooses the region in which the chain of a request runs.

Load pattern: a burst of callers of one region asks for more than the stage servers of
that region do, while those of another region are partly idle; or a region has lost its
stage servers. All traffic between the regions shares one slow link.

The chain is the stages of a request, their results and its engine. It runs in the
region of the entry that received the request if it may and can be served there. It is
offered to one other region if the own region refuses it before any of its pieces was
ordered. The owners of that region's queues accept it only with capacity that their own
chains don't need (``policy.piece_queue``).
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions

__all__ = ["ChainRegion", "StageRegions"]


@dataclass(frozen=True, slots=True)
class ChainRegion:
    """A region that a chain can run in.

    :ivar region: empty for the queues over all regions.
    :ivar borrowed: whether the chain runs there only because its own region can't take
        it.
    :ivar round_trip_seconds: the time that a message there and its answer take.
    """

    region: str = ""
    borrowed: bool = False
    round_trip_seconds: float = 0.0


def _has_servers(service: str, region: str) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class StageRegions:
    """The regions as an entry can use them for chains.

    :ivar links: the links to the other regions; None if there is only one region.
    :ivar has_servers: returns whether a service has live servers in a region.
    """

    regions: Regions = field(default_factory=lambda: Regions(""))
    links: RegionLinks | None = None
    has_servers: Callable[[str, str], bool] = _has_servers

    def candidates(
        self, services: Sequence[str], homes: frozenset[str] | None
    ) -> Iterator[ChainRegion]:
        """Yield the regions to try for a chain, each only if the last one refused it.

        The links are looked at when the next region is requested, so that an offer is
        made only if it may be sent at that time.

        :param services: the services of its stages and of its engine.
        :param homes: the only regions where the request may be served; None for any.
        """
        if not self.regions.several:
            yield ChainRegion()
            return
        own = self.regions.own
        allowed = [
            name for name in self.regions.names if homes is None or name in homes
        ]
        if own not in allowed and allowed:
            yield self._first_home(services, allowed)
            return
        if self._serves(services, own):
            yield ChainRegion(own)
            yield from self._lenders(services, allowed, optional=True)
            return
        lenders = list(self._lenders(services, allowed, optional=False))
        yield from lenders
        if not lenders or self._serves(services[:-1], own):
            yield ChainRegion(own)

    def for_later_stage(
        self, place: ChainRegion, service: str, homes: frozenset[str] | None
    ) -> ChainRegion:
        """Return where a later stage of a chain runs.

        It is the region of the chain, unless this has lost all servers of the service.
        The results of the earlier stages then cross to another region, since nothing
        else can serve the request.

        :param place: where the chain has run so far.
        :param homes: see ``candidates``.
        """
        if not place.region or self.has_servers(service, place.region):
            return place
        own = self.regions.own
        for name in sorted(self.regions.names, key=lambda name: name != own):
            allowed = homes is None or name in homes
            if allowed and self._serves([service], name) and self.links.may_use(name):
                return self._at(name, borrowed=name != own)
        return place

    def _first_home(self, services: Sequence[str], allowed: list[str]) -> ChainRegion:
        """Return the first region with servers among those the request must run in."""
        serving = [name for name in allowed if self._serves(services, name)] or allowed
        reachable = [name for name in serving if self.links.reachable(name)]
        return self._at(next(iter(reachable or serving)), borrowed=False)

    def _lenders(
        self, services: Sequence[str], allowed: list[str], optional: bool
    ) -> Iterator[ChainRegion]:
        """Yield the region that the chain may be offered to, if there is one.

        A second offer would take another round trip of the time until the objective.

        :param optional: whether the own region could serve the chain later.
        """
        for name in allowed:
            usable = name != self.regions.own and self._serves(services, name)
            if usable and self._may_offer(name, optional):
                yield self._at(name, borrowed=True)
                return

    def _may_offer(self, region: str, optional: bool) -> bool:
        if optional:
            return self.links.reachable(region) and self.links.admits(region)
        return self.links.may_use(region)

    def _at(self, region: str, borrowed: bool) -> ChainRegion:
        return ChainRegion(region, borrowed, self.links.round_trip_seconds(region))

    def _serves(self, services: Sequence[str], region: str) -> bool:
        return all(self.has_servers(service, region) for service in services)
