"""Applies the published list of backend servers to the tables of an entry.

A published value that another program wrote or overwrote can't be decoded and is left
out; the other values stay valid. Each malformed value is logged once, and a metric
gives the number of malformed values that are published now.
"""

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from boragestream.base.events import Event, emit
from boragestream.daemon.stream_parts import StreamParts
from boragestream.daemon.tasks import to_leaving_server
from boragestream.entry.peers import EntryPeers
from boragestream.platform.published import PublishedMalformed, read_server
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.load import LoadTable
from boragestream.policy.publication import NO_ERA, Change
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.server_lives import ServerIncarnations
from boragestream.policy.servers import ListOrigin, Server, ServerState, ServerTable

__all__ = ["PublishedServers"]

# A faulty writer can damage all values, so the log names only this many malformed
# values of each change and gives the number of all.
LOGGED_FAULTS = 5
# Limits the length of a logged fault, since its text can quote the published value.
FAULT_CHARACTERS = 160


class PublishedServers:
    """Decodes the published servers and applies them to the tables.

    :param lives: returns the latest incarnation of each server.
    :param cold: receives each new server whose published value says that it is cold.
    :param limits: the servers that have a limit on their requests.
    :param regions: the region of each data centre, by the name of the data centre.
    :param changed: called after each change of the list.
    :param streams: records which software versions of each service are listed.
    :param table: the table of the published values that the list is decoded from.
    """

    def __init__(
        self,
        lives: ServerIncarnations,
        members: EntryPeers,
        servers: ServerTable,
        loads: LoadTable,
        cold: ColdServers,
        limits: ServerLimits,
        regions: Mapping[str, str],
        changed: Callable[[], None],
        streams: StreamParts,
        table: Callable[[], PublishedTable | None] = lambda: None,
    ) -> None:
        self._lives = lives
        self._members = members
        self._servers = servers
        self._loads = loads
        self._cold = cold
        self._limits = limits
        self._regions = regions
        self._changed = changed
        self._streams = streams
        self._table = table
        self._values: dict[str, bytes] = {}
        self._decoded: dict[str, tuple[bytes, Server | PublishedMalformed]] = {}
        self._malformed: dict[str, bytes] = {}
        # Names of the servers that the list being applied publishes as cold.
        self._listed_cold: list[str] = []
        self._lock = threading.Lock()

    @property
    def malformed(self) -> int:
        """The number of published values that can't be decoded."""
        return len(self._malformed)

    def take(self, values: dict[str, bytes]) -> None:
        """Apply all published values, given by key."""
        with self._lock:
            self._values = values
            self._apply()

    def note_changes(self, changes: Sequence[Change]) -> None:
        """Record the versions of all servers that changes list, also of removed ones.

        ``take`` receives only the values that are left after the changes.
        """
        values = [(c.key, c.value) for c in changes if c.value is not None]
        read = [read_server(key, value) for key, value in values]
        servers = [server for server in read if isinstance(server, Server)]
        self._streams.history.note_listed(servers)

    def reapply(self) -> None:
        """Apply the list again if an earlier incarnation of a server is ignored."""
        if not self._lives.ignores_earlier:
            return
        with self._lock:
            self._apply()

    def _apply(self) -> None:
        before = {server.identity: server.name for server in self._servers.all}
        leaving_before = _leaving(self._servers.all)
        self._listed_cold = []
        listed = self._lives.take_list(self._decode())
        self._members.set_listed_servers(
            tuple(to_leaving_server(server) for server in listed)
        )
        self._limits.take_list(listed)
        table = self._table()
        position = None if table is None else table.position
        origin = ListOrigin()
        if position is not None and table.last_source is not None:
            origin = ListOrigin(position.revision, table.last_source.value)
        self._servers.take_list(listed, origin)
        self._loads.take_list(listed)
        several = self._streams.history.take_list(listed)
        if several:
            self._streams.records.note_several(several)
        now = {server.identity: server.name for server in listed}
        added = sorted(now[key] for key in now.keys() - before.keys())
        removed = sorted(before[key] for key in before.keys() - now.keys())
        emit(
            Event.INSTANCES_CHANGED,
            instances=len(listed),
            added=added,
            removed=removed,
            leaving=sorted(_leaving(listed) - leaving_before),
            cold=sorted(self._listed_cold),
            era=position.era if position else NO_ERA,
            revision=origin.revision,
            source=origin.source,
        )
        self._changed()

    def _decode(self) -> list[Server]:
        decoded = {}
        for key, value in self._values.items():
            cached = self._decoded.get(key)
            unchanged = cached is not None and cached[0] == value
            decoded[key] = cached if unchanged else (value, self._read(key, value))
        self._decoded = decoded
        self._log_malformed()
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

    def _log_malformed(self) -> None:
        malformed = {
            key: (value, read)
            for key, (value, read) in self._decoded.items()
            if isinstance(read, PublishedMalformed)
        }
        new_faults = [
            f"{key}: {read.describe()}"[:FAULT_CHARACTERS]
            for key, (value, read) in malformed.items()
            if self._malformed.get(key) != value
        ]
        self._malformed = {key: value for key, (value, _) in malformed.items()}
        if new_faults:
            emit(
                Event.INSTANCES_INVALID,
                faults=new_faults[:LOGGED_FAULTS],
                malformed=len(malformed),
            )


def _leaving(servers: Iterable[Server]) -> set[str]:
    return {s.name for s in servers if s.state is ServerState.LEAVING}
