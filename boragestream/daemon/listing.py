"""The entries of the published list, each with the state that this entry assumes."""

from boragestream.daemon.demand import Demand, live_entries
from boragestream.daemon.peers import Peers, entries_with_states
from boragestream.daemon.tasks import to_listed_entry
from boragestream.platform.instances import Instance

__all__ = ["EntryListing"]


class EntryListing:
    """Holds the published list of entries.

    :param peers: receives each list and gives the assumed state of its entries.
    :param demand: receives the names of the entries that are listed as live.
    """

    def __init__(self, peers: Peers, demand: Demand) -> None:
        self._members = peers.members
        self._demand = demand
        self._listed: tuple[Instance, ...] = ()

    @property
    def entries(self) -> tuple[Instance, ...]:
        """The listed entries, each with its assumed state."""
        return entries_with_states(self._listed, self._members.entries)

    @property
    def live_count(self) -> int:
        """The number of listed entries that are assumed to be live."""
        return len(live_entries(self.entries))

    def take(self, entries: tuple[Instance, ...]) -> None:
        """Apply the entries of a new list."""
        self._listed = entries
        self._demand.table.set_listed(live_entries(entries))
        self._members.set_listed_entries(map(to_listed_entry, entries))

    def peer_address(self, name: str) -> str | None:
        """Return the address at which an entry accepts peers; None if unknown."""
        matching = (e for e in self.entries if e.name == name and e.peer_port)
        entry = next(matching, None)
        return f"{entry.address}:{entry.peer_port}" if entry else None
