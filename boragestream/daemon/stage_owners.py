"""Determines which entries own the queues of stage services, and what else they own.

Only the owner of a queue calls its servers. It therefore also grants the permits for
those that state a limit, and is first among the senders to those that are cold.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from boragestream.policy.cold_servers import senders
from boragestream.policy.cut_entries import ALL_SERVICES
from boragestream.policy.peers import ListedEntry
from boragestream.policy.queue_owners import (
    StageQueue,
    eligible_entries,
    owner_ranking,
    queue_entries,
)
from boragestream.policy.regions import Regions
from boragestream.policy.servers import Server

__all__ = ["StageOwners"]


@dataclass(frozen=True, slots=True)
class StageOwners:
    """The owners of queues, as one entry sees the live entries.

    :ivar own: this entry.
    :ivar usable: returns the live entries that are listed, maybe with this one.
    :ivar is_staged: returns whether a service is a stage service.
    :ivar reaches: returns whether an entry, given by name, reaches a service. One that
        reaches no server has none of these roles, unless all entries are cut off.
    :ivar ranked: returns those of the live entries that are ranked for a server of any
        other service.
    """

    own: ListedEntry
    usable: Callable[[], Sequence[ListedEntry]]
    regions: Regions
    is_staged: Callable[[str], bool]
    ranked: Callable[[Server, Sequence[str]], Sequence[str]] = lambda server, live: live
    reaches: Callable[[str, str], bool] = lambda entry, service: True

    def eligible(self, region: str = "") -> list[str]:
        """Return the entries that are ranked for the queues of a region.

        :param region: empty for the queues over all regions.
        """
        return queue_entries(self._entries(), self.regions, region)

    def granting(self) -> list[str]:
        """Return all entries that may grant permits."""
        entries = self._entries()
        names = set(eligible_entries(entries))
        if self.regions.several:
            for region in self.regions.names:
                names.update(queue_entries(entries, self.regions, region))
        return sorted(names)

    def granted_by(self, server: Server) -> str:
        """Return the key by which entries are ranked for the permits of a server."""
        if not self.is_staged(server.service):
            return server.name
        return self._queue(server).ranking_key

    def granting_among(self, server: Server, entries: Sequence[str]) -> Sequence[str]:
        """Return those of the granting entries that are ranked for a server."""
        region, service = self._queue(server).region, server.service
        if not region or not self.is_staged(service):
            return self._reaching(entries, service)
        return self._reaching(self.eligible(region), service)

    def cold_senders(self, server: Server) -> list[str]:
        """Return the entries ranked as senders to a cold server."""
        if self.is_staged(server.service):
            queue = self._queue(server)
            eligible = self._reaching(self.eligible(queue.region), queue.service)
            return owner_ranking(queue.ranking_key, eligible)
        live = [entry.name for entry in self._entries()]
        names = set(self._reaching(live, server.service))
        return senders(server, self.ranked(server, [*names]))

    def region_of(self, entry: str) -> str:
        """Return the region of an entry; empty if it is not known."""
        for listed in self._entries():
            if listed.name == entry:
                return self.regions.of(listed.data_centre)
        return ""

    def _entries(self) -> list[ListedEntry]:
        others = [e for e in self.usable() if e.host and e.name != self.own.name]
        entries = [*others, self.own]
        return [e for e in entries if self.reaches(e.name, ALL_SERVICES)] or entries

    def _reaching(self, entries: Sequence[str], service: str) -> Sequence[str]:
        """Return the entries that reach a service; all of them if none does."""
        return [e for e in entries if self.reaches(e, service)] or entries

    def _queue(self, server: Server) -> StageQueue:
        # Requests for permits name the data centre of a server and not its region.
        region = self.regions.of(server.data_centre) if self.regions.several else ""
        return StageQueue(server.service, region)
