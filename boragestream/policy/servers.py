"""The backend servers that an entry knows, and which may take new work.

Sources are the instance list and the servers' own words. Leaving is sticky within
one incarnation: a list that still says "live" does not undo it. Choosing among the
servers is left to ``policy.routing``.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Server", "ServerState", "ServerTable"]


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
    """

    name: str
    service: str
    host: str
    data_centre: str
    incarnation: str = ""
    state: ServerState = ServerState.LIVE

    @property
    def identity(self) -> tuple[str, str, str]:
        """What changes when an instance is replaced."""
        return (self.name, self.host, self.incarnation)


class ServerTable:
    """The servers by service; readers take a snapshot without a lock.

    :param told: called with each server that said to this entry that it is leaving.
    """

    def __init__(self, told: Callable[[Server], None] = lambda server: None) -> None:
        self._told = told
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._leaving: set[tuple[str, str, str]] = set()
        self._listed: tuple[Server, ...] = ()
        self._lock = threading.Lock()

    @property
    def all(self) -> tuple[Server, ...]:
        """Every listed server, whatever its state."""
        return self._listed

    def live(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that may take new work."""
        return self._by_service.get(service, ())

    def take_list(self, listed: Iterable[Server]) -> None:
        """Take a published instance list."""
        with self._lock:
            self._listed = tuple(listed)
            leaving = (s for s in self._listed if s.state is ServerState.LEAVING)
            self._leaving.update(server.identity for server in leaving)
            # What the list does not name any more need not be remembered.
            self._leaving &= {server.identity for server in self._listed}
            self._rebuild()

    def note_leaving(self, server: Server) -> None:
        """Take a server's own word that it is leaving."""
        with self._lock:
            self._leaving.add(server.identity)
            self._rebuild()
        self._told(server)

    def take_word(self, identity: tuple[str, str, str]) -> None:
        """Take another entry's word that a server said that it is leaving."""
        with self._lock:
            if identity not in self._leaving:
                self._leaving.add(identity)
                self._rebuild()

    def _rebuild(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._listed:
            if server.identity not in self._leaving:
                by_service.setdefault(server.service, []).append(server)
        self._by_service = {name: tuple(s) for name, s in by_service.items()}
