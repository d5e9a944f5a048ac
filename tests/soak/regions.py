"""Loses what is sent between two regions of a soak's site, in one direction or both."""

import contextlib
import os
import threading
from collections import Counter
from pathlib import Path

from tests.soak.plan import REGION_WAYS
from tests.standins.route_site import REGIONS

SOCKETS = Path("/proc/net/tcp")
# The store is in this region, as are two of the three data centres.
STORE_REGION = "valley"
OTHER_REGION = "hills"
LOST_WAYS = {
    REGION_WAYS[0]: ((STORE_REGION, OTHER_REGION), (OTHER_REGION, STORE_REGION)),
    REGION_WAYS[1]: ((STORE_REGION, OTHER_REGION),),
    REGION_WAYS[2]: ((OTHER_REGION, STORE_REGION),),
}


class RegionWays:
    """Which ways between regions carry nothing; strikes may overlap.

    The relays of the store and of the servers, and the network between entries, ask
    it for each piece of data. As on a real line, a way that is lost takes questions
    along in the one direction and answers in the other.
    """

    def __init__(self, site):
        """Begin with all ways open."""
        self._site = site
        self._lost = Counter()
        self._owners = {}
        # The connections whose owners have to be found.
        self._unknown = set()
        self._lock = threading.Lock()
        self._search = threading.Lock()

    def part(self, how):
        """Lose the ways of a variant; return what opens them again."""
        with self._lock:
            self._lost.update(LOST_WAYS[how])
        return lambda: self._open(LOST_WAYS[how])

    def heal(self):
        """Open all ways."""
        self._open(list(self._lost.elements()))

    def region(self, entry):
        """Return the region of an entry."""
        return REGIONS[self._site.fields[entry]["zone"]]

    def between_entries(self, sender, receiver):
        """Tell whether bytes of one entry to another are lost."""
        return bool(self._lost) and self._loses(
            self.region(sender), self.region(receiver)
        )

    def to_store(self, entry, _port, there):
        """Tell whether bytes between an entry and the store are lost."""
        return self._between(entry, STORE_REGION, there)

    def to_server(self, server, port, there):
        """Tell whether bytes on a connection to a server are lost."""
        if not self._lost:
            return False
        server_port = int(server.address.rpartition(":")[2])
        entry = self._owner(port, server_port)
        # What an entry sent on a connection that it has closed is of no use to anyone.
        return entry is None or self._between(entry, REGIONS[server.zone], there)

    def _between(self, entry, other, there):
        own = self.region(entry)
        return self._loses(own, other) if there else self._loses(other, own)

    def _loses(self, sender, receiver):
        return self._lost[sender, receiver] > 0

    def _open(self, ways):
        with self._lock:
            self._lost.subtract(ways)
            self._lost = +self._lost
            if not self._lost:
                self._owners = {}
        self._site.network.close_stuck()
        relays = [*self._site.store_relays.values(), *self._site.server_relays.values()]
        for relay in relays:
            relay.reset_lost()

    def _owner(self, port, server_port):
        """Return the entry whose process has a connection, None if it has ended."""
        key = (port, server_port)
        owners = self._owners
        if key not in owners:
            self._unknown.add(key)
            # Hundreds of connections may begin at once. One search takes 50 ms on a
            # machine with thousands of sockets, and settles all of them, also those
            # that have been closed.
            with self._search:
                if key in self._unknown:
                    settled = set(self._unknown)
                    found = dict.fromkeys(settled) | self.find_owners()
                    self._owners = self._owners | found
                    self._unknown -= settled
                owners = self._owners
        return owners.get(key)

    def find_owners(self):
        """Return the entry of each connection, by its port and the server's."""
        by_inode = {}
        for line in SOCKETS.read_text().splitlines()[1:]:
            row = line.split()
            ends = tuple(int(row[n].rpartition(":")[2], 16) for n in (1, 2))
            by_inode[f"socket:[{row[9]}]"] = ends
        owners = {}
        for name, process in self._site.entries.items():
            # A process may end meanwhile, and close its sockets.
            with contextlib.suppress(OSError):
                for link in Path(f"/proc/{process.popen.pid}/fd").iterdir():
                    with contextlib.suppress(OSError):
                        owners[by_inode.get(os.readlink(link))] = name
        return owners
