"""Servers whose answers went beyond a bound, kept from calls that may run only once.

Load pattern: a server in trouble sends bytes without end. Its answers fail fast, so
that it has few open calls and would be chosen first. A call that may be repeated finds
out whether the server is sound again, and is answered by another one if it isn't; a
call that may run only once would be lost.

Ejection of servers after failures of any kind is left to ``policy.circuits``.
"""

import threading
from collections.abc import Sequence

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["OversizedAnswers"]

# Longer than the longest ejection, so that calls that may be repeated come first.
AVOID_SECONDS = 10.0
# With fewer servers the rest would be overloaded.
MIN_SHARE_LEFT = 0.5


class OversizedAnswers:
    """The servers that sent this entry more than any sound server does."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the server's identity, since a restart may have mended it.
        self._until: dict[tuple[str, str, str], float] = {}
        self._lock = threading.Lock()

    def note(self, server: Server) -> None:
        """Record that an answer of a server went beyond a bound."""
        now = self._clock.now()
        with self._lock:
            self._until = {key: at for key, at in self._until.items() if at > now}
            self._until[server.identity] = now + AVOID_SECONDS

    def without_suspects(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Leave out servers that were noted lately, unless too few would be left."""
        if not self._until:
            return servers
        now = self._clock.now()
        left = [s for s in servers if self._until.get(s.identity, now) <= now]
        return left if len(left) >= MIN_SHARE_LEFT * len(servers) else servers
