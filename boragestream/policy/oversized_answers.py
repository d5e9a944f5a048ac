"""Servers whose answers went beyond a bound, kept from calls that may run only once.

Load pattern: a server in trouble sends bytes without end. Its answers fail fast, so
that it has few open calls and would be chosen first. A call that may be repeated finds
out whether the server is sound again, and is answered by another one if it isn't; a
call that may run only once would be lost.

Ejection of servers after failures of any kind is left to ``policy.circuits``.
"""

from collections.abc import Sequence

from boragestream.base.clock import Clock
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.servers import Server

__all__ = ["OversizedAnswers"]

# Longer than the longest ejection, so that calls that may be repeated come first.
AVOID_SECONDS = 10.0
# With fewer servers the rest would be overloaded.
MIN_SHARE_LEFT = 0.5


class OversizedAnswers:
    """The servers that sent this entry more than any sound server does."""

    def __init__(self, clock: Clock) -> None:
        self._avoided = ServerBackoffs(clock)

    def note(self, server: Server) -> None:
        """Record that an answer of a server went beyond a bound."""
        self._avoided.note(server, AVOID_SECONDS)

    def without_suspects(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Leave out servers that were noted lately, unless too few would be left."""
        left = self._avoided.usable(servers)
        return left if len(left) >= MIN_SHARE_LEFT * len(servers) else servers
