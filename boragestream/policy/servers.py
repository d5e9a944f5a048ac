"""The backend servers that an entry knows, and which may take new work.

Sources are the instance list and the servers' own words. Leaving is sticky within
one incarnation: a list that still says "live" does not undo it. A drained data centre
is passed over until the order is taken back. Choosing among the servers is left to
``policy.routing`` and ``policy.server_choice``.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Server", "ServerState", "ServerTable"]

# More than the replacements of a week in a large fleet.
MAX_REMEMBERED_LEAVING = 8192


class ServerState(Enum):
    """What an entry believes of a server."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """One backend server in one incarnation.

    :ivar host: ``address:port``.
    :ivar incarnation: tells two lives under one name apart.
    :ivar region: empty where it is not known.
    :ivar started_ms: when this life began, in Unix milliseconds by the server's own
        clock; 0 where it is not known.
    :ivar cold_seconds: for how much longer it was cold when it was listed.
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

    @property
    def identity(self) -> tuple[str, str, str]:
        """What changes when an instance is replaced."""
        return (self.name, self.host, self.incarnation)


class ServerTable:
    """The servers by service; readers take a snapshot without a lock.

    :param left: called with each server that said to this entry that it is leaving.
    :param awaits_orders: whether no server is used until it is known which data centres
        are drained: an entry that starts learns of the servers in whatever order.
    """

    def __init__(
        self,
        left: Callable[[Server], None] = lambda server: None,
        awaits_orders: bool = False,
    ) -> None:
        self._left = left
        self._awaits_orders = awaits_orders
        self._unused: Callable[[str], None] = lambda host: None
        self._by_service: dict[str, tuple[Server, ...]] = {}
        # A dictionary for its order: the oldest is forgotten first.
        self._leaving: dict[tuple[str, str, str], None] = {}
        self._listed: tuple[Server, ...] = ()
        self._identities: set[tuple[str, str, str]] = set()
        self._usable: dict[tuple[str, str, str], str] = {}
        self._drained: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    @property
    def drained(self) -> frozenset[str]:
        """The data centres whose servers get no work."""
        return self._drained

    @property
    def all(self) -> tuple[Server, ...]:
        """Every listed server, whatever its state."""
        return self._listed

    def live(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that may take new work."""
        return self._by_service.get(service, ())

    def takes_work(self, server: Server) -> bool:
        """Tell whether a server that was chosen a while ago may still take new work."""
        return server.identity in self._usable

    def awaits_centre(self, service: str) -> bool:
        """Tell whether servers of a service stand in a drained data centre."""
        drained = self._drained
        return any(
            server.service == service and server.data_centre in drained
            for server in self._listed
        )

    def when_unused(self, unused: Callable[[str], None]) -> None:
        """Have a function called with the host of each server that is used no more."""
        self._unused = unused

    def take_list(self, listed: Iterable[Server]) -> None:
        """Take a published instance list."""
        with self._lock:
            self._listed = tuple(listed)
            self._identities = {server.identity for server in self._listed}
            self._forget_nameless()
            for server in self._listed:
                if server.state is ServerState.LEAVING:
                    self._remember(server.identity)
            dropped = self._rebuild()
        self._drop(dropped)

    def take_drained(self, data_centres: frozenset[str]) -> None:
        """Take which data centres are drained: all of them, not what has changed."""
        with self._lock:
            self._drained = data_centres
            self._awaits_orders = False
            dropped = self._rebuild()
        self._drop(dropped)

    def note_leaving(self, server: Server) -> bool:
        """Take a server's own word that it is leaving; False where it was known."""
        if not self.take_notice(server.identity):
            return False
        self._left(server)
        return True

    def take_notice(self, identity: tuple[str, str, str]) -> bool:
        """Take another entry's notice that a server said that it is leaving.

        :returns: whether it was not known yet.
        """
        with self._lock:
            if identity in self._leaving:
                return False
            self._remember(identity)
            dropped = self._rebuild()
        self._drop(dropped)
        return True

    def _remember(self, identity: tuple[str, str, str]) -> None:
        """Remember a leaving server, and forget the oldest that is not listed.

        An instance that a lagging list drops and names again is still the same, so
        that its leaving outlives the list.
        """
        self._leaving[identity] = None
        if len(self._leaving) > MAX_REMEMBERED_LEAVING:
            unlisted = (i for i in self._leaving if i not in self._identities)
            self._leaving.pop(next(unlisted, identity))

    def _forget_nameless(self) -> None:
        """Forget servers without an incarnation that the list no longer names.

        One can't be told from its replacement, so that only this ends its leaving.
        """
        for identity in self._leaving.keys() - self._identities:
            if not identity[2]:
                del self._leaving[identity]

    def _rebuild(self) -> set[str]:
        """Work out which servers may take new work; return hosts that no longer do."""
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

    def _drop(self, hosts: set[str]) -> None:
        for host in hosts:
            self._unused(host)
