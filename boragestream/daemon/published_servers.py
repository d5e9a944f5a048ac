"""Takes what is published of backend servers into the tables of an entry.

An entry of another writer, or one that was overwritten by one, names no server to use;
the others hold. Each is logged once, and a count of those that stand now is a metric.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from boragestream.base.events import Event, emit
from boragestream.daemon.tasks import to_leaving
from boragestream.entry.peers import EntryPeers
from boragestream.platform.published import PublishedMalformed, read_server
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.load import LoadTable
from boragestream.policy.publication import NO_ERA, Position
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.server_lives import ServerLives
from boragestream.policy.servers import Server, ServerState, ServerTable

__all__ = ["PublishedServers"]

# A writer that has gone wrong can spoil every entry; the log names the first few of
# each change and says how many there are.
LOGGED_FAULTS = 5
# The text of a fault can quote what was published.
FAULT_CHARACTERS = 160


class PublishedServers:
    """The published servers, decoded.

    :param lives: returns the latest life of each.
    :param cold: takes each entry that is new, since a server says there that it is
        cold.
    :param limits: which servers have a limit on their requests.
    :param regions: by data centre the region that it is part of.
    :param changed: called after each change of the list.
    :param position: returns where the store's answers stand that the list goes by.
    """

    def __init__(
        self,
        lives: ServerLives,
        members: EntryPeers,
        servers: ServerTable,
        loads: LoadTable,
        cold: ColdServers,
        limits: ServerLimits,
        regions: Mapping[str, str],
        changed: Callable[[], None],
        position: Callable[[], Position | None] = lambda: None,
    ) -> None:
        self._lives = lives
        self._members = members
        self._servers = servers
        self._loads = loads
        self._cold = cold
        self._limits = limits
        self._regions = regions
        self._changed = changed
        self._position = position
        self._values: dict[str, bytes] = {}
        self._decoded: dict[str, tuple[bytes, Server | PublishedMalformed]] = {}
        self._malformed: dict[str, bytes] = {}
        # Those that said so in the list that is being taken.
        self._listed_cold: list[str] = []
        self._lock = threading.Lock()

    @property
    def malformed(self) -> int:
        """How many entries stand now that name no server to use."""
        return len(self._malformed)

    def take(self, values: dict[str, bytes]) -> None:
        """Take all entries by key."""
        with self._lock:
            self._values = values
            self._take()

    def look_again(self) -> None:
        """Take the entries once more where an earlier life of a server may prevail."""
        if not self._lives.settling:
            return
        with self._lock:
            self._take()

    def _take(self) -> None:
        before = {server.identity: server.name for server in self._servers.all}
        left_before = _leaving(self._servers.all)
        self._listed_cold = []
        listed = self._lives.take_list(self._decode())
        self._members.take_servers(tuple(to_leaving(server) for server in listed))
        self._limits.take_list(listed)
        self._servers.take_list(listed)
        self._loads.take_list(listed)
        now = {server.identity: server.name for server in listed}
        position = self._position()
        added = sorted(now[key] for key in now.keys() - before.keys())
        removed = sorted(before[key] for key in before.keys() - now.keys())
        emit(
            Event.INSTANCES_CHANGED,
            instances=len(listed),
            added=added,
            removed=removed,
            leaving=sorted(_leaving(listed) - left_before),
            cold=sorted(self._listed_cold),
            era=position.era if position else NO_ERA,
            revision=position.revision if position else 0,
        )
        self._changed()

    def _decode(self) -> list[Server]:
        decoded = {}
        for key, value in self._values.items():
            known = self._decoded.get(key)
            same = known is not None and known[0] == value
            decoded[key] = known if same else (value, self._read(key, value))
        self._decoded = decoded
        self._note_malformed()
        return [s for _, s in decoded.values() if isinstance(s, Server)]

    def _read(self, key: str, value: bytes) -> Server | PublishedMalformed:
        server = read_server(key, value)
        if isinstance(server, PublishedMalformed):
            return server
        server = replace(server, region=self._regions.get(server.data_centre, ""))
        if server.cold_seconds > 0:
            self._cold.take(server)
            self._listed_cold.append(server.name)
        return server

    def _note_malformed(self) -> None:
        malformed = {
            key: (value, read)
            for key, (value, read) in self._decoded.items()
            if isinstance(read, PublishedMalformed)
        }
        news = [
            f"{key}: {read.describe()}"[:FAULT_CHARACTERS]
            for key, (value, read) in malformed.items()
            if self._malformed.get(key) != value
        ]
        self._malformed = {key: value for key, (value, _) in malformed.items()}
        if news:
            emit(
                Event.INSTANCES_INVALID,
                faults=news[:LOGGED_FAULTS],
                malformed=len(malformed),
            )


def _leaving(servers: Iterable[Server]) -> set[str]:
    return {s.name for s in servers if s.state is ServerState.LEAVING}
