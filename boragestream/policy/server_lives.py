"""Which of two lives of a backend server under one name is listed in earnest.

A server that starts again keeps its name; the moment of its start tells its lives
apart. A state of the earlier life can be published after the later one has begun, for
example a write that the platform carried out late. It is not taken for a while: the
server would lose its calls, its measured times and its connections, and be called as if
it still held the results of before. Where it stays published the server's clock was set
back between the two starts, and it is taken.

Left out: the platform publishes in one order, so that lists never overtake each other.
"""

import threading
from collections.abc import Iterable

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ServerLives"]

# Writes carried out late arrive up to six seconds after they were sent, and a running
# server publishes itself again about a second later.
EARLIER_LIFE_SECONDS = 8.0


class ServerLives:
    """The latest life of each listed server.

    :param clock: times for how long an earlier life has been published.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._latest: dict[str, Server] = {}
        self._earlier_since: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def settling(self) -> bool:
        """Whether an earlier life is published now and not taken yet."""
        return bool(self._earlier_since)

    def take_list(self, listed: Iterable[Server]) -> tuple[Server, ...]:
        """Return the list with the latest life of each server."""
        now = self._clock.now()
        with self._lock:
            taken = [self._life(server, now) for server in listed]
            self._latest = {server.name: server for server in taken}
            for name in self._earlier_since.keys() - self._latest.keys():
                del self._earlier_since[name]
        return tuple(taken)

    def _life(self, server: Server, now: float) -> Server:
        known = self._latest.get(server.name)
        if known is None or server.started_ms >= known.started_ms:
            self._earlier_since.pop(server.name, None)
            return server
        since = self._earlier_since.setdefault(server.name, now)
        if now - since < EARLIER_LIFE_SECONDS:
            return known
        del self._earlier_since[server.name]
        return server
