"""Servers that turned a call away and told this entry when to come back.

Load pattern: a server is full for a moment and tells each caller to stay away for some
seconds; each call in that time is turned away too, and delays the work that it has. The
word binds the entry that was told alone: it says when the server wants to hear from
this one again, others are told for themselves.

Left out: when a server may be called again for other reasons (``policy.circuits``).
"""

import math
import threading
from collections.abc import Sequence

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["ServerBackoffs", "parse_backoff"]

# A server that asks for more is most likely wrong, and must not be lost for good.
LONGEST_SECONDS = 3600.0


def parse_backoff(text: str | None) -> float | None:
    """Return the seconds after which to come back; None where no time is told."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


class ServerBackoffs:
    """Until when servers want no calls of this entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the server's identity: one that starts again has asked for nothing.
        self._until: dict[tuple[str, str, str], float] = {}
        self._lock = threading.Lock()

    def note(self, server: Server, seconds: float) -> None:
        """Take that a server wants no calls for some seconds; the latest end holds."""
        now = self._clock.now()
        until = now + min(seconds, LONGEST_SECONDS)
        with self._lock:
            self._until = {key: at for key, at in self._until.items() if at > now}
            known = self._until.get(server.identity, now)
            self._until[server.identity] = max(known, until)

    def takes_calls(self, server: Server) -> bool:
        """Tell whether a server may be called now."""
        return self._until.get(server.identity, -math.inf) <= self._clock.now()

    def usable(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the servers that may be called now."""
        if not self._until:
            return servers
        return [server for server in servers if self.takes_calls(server)]

    def seconds_left(self, servers: Sequence[Server]) -> float | None:
        """Return when the first server may be called; None where one may now."""
        if not servers or self.usable(servers):
            return None
        earliest = min(self._until.get(s.identity, 0.0) for s in servers)
        return max(0.0, earliest - self._clock.now())
