"""Reads which servers were listed before an entry began to follow their list.

An entry that has started lately has no memory of its own of the time before. While the
store still has its whole history, this is read when a stream is taken up whose version
depends on that time, once in the life of an entry.
"""

import threading
from collections.abc import Callable

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.daemon.publication import Publication
from boragestream.platform.published import read_server
from boragestream.platform.store import SERVERS_PREFIX
from boragestream.policy.publication import Changes
from boragestream.policy.servers import Server

__all__ = ["PastServers"]

ANSWER_SECONDS = 0.5
# Streams that are taken up one after the other do not each ask the store again.
PAUSE_SECONDS = 2.0


class PastServers:
    """Reads the past once; thread-safe.

    :param publication: returns the publication of the servers.
    :param take: applies all servers that were ever listed, and when they were
        requested.
    """

    def __init__(
        self,
        publication: Callable[[], Publication],
        take: Callable[[list[Server], float], None],
        clock: Clock,
    ) -> None:
        self._publication = publication
        self._take = take
        self._clock = clock
        self._known = False
        self._not_before = 0.0
        self._lock = threading.Lock()

    def read(self) -> None:
        """Read the past unless it is known; others wait meanwhile."""
        with self._lock:
            if self._known or self._clock.now() < self._not_before:
                return
            publication = self._publication()
            if publication.table.eras_changed:
                # The store has come back from a copy, which may lack changes.
                return
            requested_at = self._clock.now()
            found = publication.store.watch(SERVERS_PREFIX, 0, 0.0, ANSWER_SECONDS)
            if not isinstance(found, Changes):
                self._not_before = self._clock.now() + PAUSE_SECONDS
                emit(Event.PAST_UNKNOWN, failure=found.describe())
                return
            if found.era != publication.table.era:
                # The store has come back from a copy, which may lack changes.
                return
            self._known = True
            values = [c for c in found.changes if c.value is not None]
            read = [read_server(change.key, change.value) for change in values]
            servers = [server for server in read if isinstance(server, Server)]
            emit(Event.PAST_READ, revision=found.revision, servers=len(servers))
            self._take(servers, requested_at)
