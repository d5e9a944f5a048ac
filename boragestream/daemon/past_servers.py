"""Reads which servers were listed before an entry began to follow their list.

An entry that has started lately has no memory of its own of the time before. What the
store retains of its changes is read when a stream is taken up whose version depends on
that time, once in the life of an entry.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.daemon.publication import Publication
from boragestream.platform.published import read_server
from boragestream.platform.store import SERVERS_PREFIX
from boragestream.policy.publication import Changes, HistoryGone
from boragestream.policy.retained_changes import Retained, read_retained
from boragestream.policy.servers import Server

__all__ = ["OtherEra", "PastServers"]

ANSWER_SECONDS = 0.5
# A store that gives no answer is not asked again by each stream that is taken up.
PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class OtherEra(Failure):
    """The store has come back from a copy; its revisions stand for other changes."""


class PastServers:
    """Reads the past once; thread-safe.

    :param publication: returns the publication of the servers.
    :param take: applies the servers that were listed; it is given whether they are all
        that the store retains.
    """

    def __init__(
        self,
        publication: Callable[[], Publication],
        take: Callable[[list[Server], bool], None],
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
            position = publication.table.position
            if position is None:
                return

            def watch(revision: int) -> Changes | HistoryGone | Failure:
                found = publication.store.watch(
                    SERVERS_PREFIX, revision, 0.0, ANSWER_SECONDS
                )
                if isinstance(found, Changes) and found.era != position.era:
                    return OtherEra()
                return found

            retained = read_retained(watch, position.revision)
            if isinstance(retained, Failure):
                self._not_before = self._clock.now() + PAUSE_SECONDS
                emit(Event.PAST_UNKNOWN, failure=retained.describe())
                return
            self._known = True
            self._apply(retained)

    def _apply(self, retained: Retained) -> None:
        """Apply the servers of all changes.

        A server that was removed without another change is of any service and version.
        """
        named = {c.key for c in retained.changes if c.value is not None}
        removed = {c.key for c in retained.changes if c.value is None}
        read = [
            read_server(change.key, change.value)
            for change in retained.changes
            if change.value is not None
        ]
        servers = [server for server in read if isinstance(server, Server)]
        complete = removed <= named
        emit(
            Event.PAST_READ,
            start=retained.start,
            revision=retained.revision,
            servers=len(named),
            unnamed=len(removed - named),
        )
        self._take(servers, complete)
