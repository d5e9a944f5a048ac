"""The backend servers that an entry knows, and which of them may take new work.

The data comes from the instance list and from the servers' own answers. The leaving
state is permanent within one incarnation: a list that still has the server as live does
not undo it. Servers in a drained data centre get no work until the drain is lifted.
Choosing among the servers is left to ``policy.routing`` and ``policy.server_choice``.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["ListOrigin", "Server", "ServerState", "ServerTable"]

# Exceeds the number of servers replaced in a week in a large fleet.
MAX_REMEMBERED_LEAVING = 8192


class ServerState(Enum):
    """The state of a server as known to an entry."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """One backend server in one incarnation.

    :ivar host: ``address:port``.
    :ivar incarnation: distinguishes the runs of a server under one name.
    :ivar region: empty if it is not known.
    :ivar started_ms: when this incarnation started, in Unix milliseconds by the
        server's own clock; 0 if it is not known.
    :ivar slots: the calls that it works on at a time; 0 if it is not known.
    :ivar cold_seconds: for how much longer the server was cold when it was listed.
    :ivar version: the version of its software; empty if it is not known.
    """

    name: str
    service: str
    host: str
    data_centre: str
    incarnation: str = ""
    state: ServerState = ServerState.LIVE
    region: str = ""
    started_ms: int = 0
    cold_seconds: float = 0.0
    slots: int = 0
    version: str = ""

    @property
    def identity(self) -> tuple[str, str, str]:
        """The key of this incarnation; it changes when an instance is replaced."""
        return (self.name, self.host, self.incarnation)


@dataclass(frozen=True, slots=True)
class ListOrigin:
    """How the server list in use became known.

    :ivar revision: the store's revision up to which the list is complete; 0 if the
        list has none.
    :ivar source: what changed the list last: ``platform``, ``peer`` or ``time``; empty
        if it is not known.
    """

    revision: int = 0
    source: str = ""


class ServerTable:
    """The servers by service; readers use a snapshot without a lock.

    :param left: called with each server that stated in an answer to this entry that it
        is leaving.
    :param awaits_orders: whether no server is used until the drained data centres are
        known. A starting entry may receive the instance list before or after them.
    """

    def __init__(
        self,
        left: Callable[[Server], None] = lambda server: None,
        awaits_orders: bool = False,
    ) -> None:
        self._on_leaving = left
        self._awaits_orders = awaits_orders
        self._on_unused: Callable[[str], None] = lambda host: None
        self._by_service: dict[str, tuple[Server, ...]] = {}
        # A dictionary for its insertion order: the oldest is removed first.
        self._leaving: dict[tuple[str, str, str], None] = {}
        self._listed: tuple[Server, ...] = ()
        self._identities: set[tuple[str, str, str]] = set()
        self._usable: dict[tuple[str, str, str], str] = {}
        self._drained: frozenset[str] = frozenset()
        self._list_origin = ListOrigin()
        self._lock = threading.Lock()

    @property
    def drained(self) -> frozenset[str]:
        """The drained data centres, whose servers get no work."""
        return self._drained

    @property
    def list_origin(self) -> ListOrigin:
        """How the list in use became known."""
        return self._list_origin

    @property
    def all(self) -> tuple[Server, ...]:
        """Every listed server in any state."""
        return self._listed

    def live(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that may take new work."""
        return self._by_service.get(service, ())

    def takes_work(self, server: Server) -> bool:
        """Return whether a server that was chosen earlier may still take new work."""
        return server.identity in self._usable

    def has_drained_servers(self, service: str) -> bool:
        """Return whether a service has listed servers in a drained data centre."""
        drained = self._drained
        return any(
            server.service == service and server.data_centre in drained
            for server in self._listed
        )

    def on_unused(self, unused: Callable[[str], None]) -> None:
        """Set the callback for the host of each server that is no longer used."""
        self._on_unused = unused

    def take_list(
        self, listed: Iterable[Server], origin: ListOrigin = ListOrigin()
    ) -> None:
        """Replace the listed servers with a published instance list."""
        with self._lock:
            self._list_origin = origin
            self._listed = tuple(listed)
            self._identities = {server.identity for server in self._listed}
            self._forget_without_incarnation()
            for server in self._listed:
                if server.state is ServerState.LEAVING:
                    self._add_leaving(server.identity)
            unused = self._rebuild()
        self._report_unused(unused)

    def set_drained(self, data_centres: frozenset[str]) -> None:
        """Set the drained data centres: the whole set, not a difference."""
        with self._lock:
            self._drained = data_centres
            self._awaits_orders = False
            unused = self._rebuild()
        self._report_unused(unused)

    def note_leaving(self, server: Server) -> bool:
        """Record a server's own statement that it is leaving; False if known before."""
        if not self.note_leaving_identity(server.identity):
            return False
        self._on_leaving(server)
        return True

    def note_leaving_identity(self, identity: tuple[str, str, str]) -> bool:
        """Record another entry's notice that a server is leaving.

        :returns: whether it was not known yet.
        """
        with self._lock:
            if identity in self._leaving:
                return False
            self._add_leaving(identity)
            unused = self._rebuild()
        self._report_unused(unused)
        return True

    def _add_leaving(self, identity: tuple[str, str, str]) -> None:
        """Add a leaving server; if there are too many, remove the oldest unlisted one.

        The leaving state is kept for unlisted servers, because an outdated list can
        omit an instance and list it again later.
        """
        self._leaving[identity] = None
        if len(self._leaving) > MAX_REMEMBERED_LEAVING:
            unlisted = (i for i in self._leaving if i not in self._identities)
            self._leaving.pop(next(unlisted, identity))

    def _forget_without_incarnation(self) -> None:
        """Remove leaving servers that have no incarnation and are no longer listed.

        Such a server can't be distinguished from its replacement, so that its leaving
        state ends only when it is no longer listed.
        """
        for identity in self._leaving.keys() - self._identities:
            if not identity[2]:
                del self._leaving[identity]

    def _rebuild(self) -> set[str]:
        """Recompute the servers that may take new work; return hosts not used now."""
        usable = [
            server
            for server in self._listed
            if not self._awaits_orders
            and server.identity not in self._leaving
            and server.data_centre not in self._drained
        ]
        by_service: dict[str, list[Server]] = {}
        for server in usable:
            by_service.setdefault(server.service, []).append(server)
        self._by_service = {name: tuple(s) for name, s in by_service.items()}
        before = self._usable
        self._usable = {server.identity: server.host for server in usable}
        return {host for key, host in before.items() if key not in self._usable}

    def _report_unused(self, hosts: set[str]) -> None:
        for host in hosts:
            self._on_unused(host)
