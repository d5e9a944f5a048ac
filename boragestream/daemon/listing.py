"""The entries of the published list, each with what is believed of it."""

from boragestream.daemon.demand import Demand, live_entries
from boragestream.daemon.peers import Peers, listed_states
from boragestream.daemon.tasks import to_listed
from boragestream.platform.instances import Instance

__all__ = ["EntryListing"]


class EntryListing:
    """The entries as listed.

    :param peers: told of each list, and asked what is believed of its entries.
    :param demand: told of the entries that are listed as live.
    """

    def __init__(self, peers: Peers, demand: Demand) -> None:
        self._members = peers.members
        self._demand = demand
        self._listed: tuple[Instance, ...] = ()

    @property
    def entries(self) -> tuple[Instance, ...]:
        """The listed entries."""
        return listed_states(self._listed, self._members.entries)

    @property
    def live_count(self) -> int:
        """How many of them are believed to be live."""
        return len(live_entries(self.entries))

    def take(self, entries: tuple[Instance, ...]) -> None:
        """Take the entries of a new list."""
        self._listed = entries
        self._demand.table.expect(live_entries(entries))
        self._members.take_entries(map(to_listed, entries))

    def peer_address(self, name: str) -> str | None:
        """Return where an entry listens to other entries; None where not known."""
        named = (e for e in self.entries if e.name == name and e.peer_port)
        entry = next(named, None)
        return f"{entry.address}:{entry.peer_port}" if entry else None
