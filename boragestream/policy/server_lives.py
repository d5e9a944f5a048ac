"""Resolves which of two incarnations of a backend server is the current one.

A restarted server keeps its name; its start time distinguishes its incarnations. The
state of the earlier incarnation can be published after the later one has started, for
example by a write that the platform applied late. Such a state is ignored at first: if
it were accepted, the entry would drop the server's calls, measured times and
connections, and would call it as if it still held its earlier results. If the state
stays published, the server's clock was set back between the two starts, and the state
is accepted.

Instance lists that arrive out of order are not handled, because the platform publishes
them in order.
"""

import threading
from collections.abc import Iterable

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ServerIncarnations"]

# Late writes arrive up to six seconds after they were sent, and a running server
# publishes its state again about a second later.
EARLIER_INCARNATION_SECONDS = 8.0


class ServerIncarnations:
    """The latest incarnation of each listed server.

    :param clock: measures how long an earlier incarnation has been published.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._latest: dict[str, Server] = {}
        self._earlier_since: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def ignores_earlier(self) -> bool:
        """Whether an earlier incarnation is published now and still ignored."""
        return bool(self._earlier_since)

    def take_list(self, listed: Iterable[Server]) -> tuple[Server, ...]:
        """Return the list with the latest incarnation of each server."""
        now = self._clock.now()
        with self._lock:
            current = [self._resolve(server, now) for server in listed]
            self._latest = {server.name: server for server in current}
            for name in self._earlier_since.keys() - self._latest.keys():
                del self._earlier_since[name]
        return tuple(current)

    def _resolve(self, server: Server, now: float) -> Server:
        known = self._latest.get(server.name)
        if known is None or server.started_ms >= known.started_ms:
            self._earlier_since.pop(server.name, None)
            return server
        since = self._earlier_since.setdefault(server.name, now)
        if now - since < EARLIER_INCARNATION_SECONDS:
            return known
        del self._earlier_since[server.name]
        return server
