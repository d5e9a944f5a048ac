"""Servers that rejected a call and stated when this entry may retry.

Load pattern: a server is full for a short time and answers each call with a number of
seconds to wait. It rejects each call in that time too, and the rejections delay its
other work. The back-off applies only to the entry that received it, because the server
states a separate one to each entry.

Ejection of servers after failures is left to ``policy.circuits``.
"""

import math
import threading
from collections.abc import Sequence

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ServerBackoffs", "parse_backoff"]

# A longer back-off is most likely an error, and must not exclude a server for good.
MAX_BACKOFF_SECONDS = 3600.0


def parse_backoff(text: str | None) -> float | None:
    """Parse a back-off in seconds; return None if there is no valid one."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


class ServerBackoffs:
    """The ends of the back-offs that servers stated to this entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the server's identity, since a back-off does not apply after a restart.
        self._until: dict[tuple[str, str, str], float] = {}
        self._lock = threading.Lock()

    def note(self, server: Server, seconds: float) -> None:
        """Record a server's back-off; of several, the one that ends last applies."""
        now = self._clock.now()
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        with self._lock:
            self._until = {key: at for key, at in self._until.items() if at > now}
            known = self._until.get(server.identity, now)
            self._until[server.identity] = max(known, until)

    def takes_calls(self, server: Server) -> bool:
        """Return whether a server may be called now."""
        return self._until.get(server.identity, -math.inf) <= self._clock.now()

    def usable(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the servers that may be called now."""
        if not self._until:
            return servers
        return [server for server in servers if self.takes_calls(server)]

    def seconds_left(self, servers: Sequence[Server]) -> float | None:
        """Return the seconds until the first back-off ends.

        :returns: None if a server may be called now, or if there are no servers.
        """
        if not servers or self.usable(servers):
            return None
        earliest = min(self._until.get(s.identity, 0.0) for s in servers)
        return max(0.0, earliest - self._clock.now())
