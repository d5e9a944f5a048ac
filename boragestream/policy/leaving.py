"""The table of leaving backend servers that entries exchange.

A server's statement that it is leaving applies to one incarnation and is final, so that
tables are merged by union. The effect on the choice of servers is left to
``policy.servers``.
"""

from dataclasses import dataclass

from boragestream.policy.gossip import GossipTable

__all__ = ["LeavingServer", "new_leaving_table"]


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """One backend server that is leaving.

    :ivar host: ``address:port``.
    """

    name: str
    host: str
    incarnation: str

    @property
    def key(self) -> str:
        """The key of this incarnation; it changes when an instance is replaced."""
        return f"{self.name} {self.host} {self.incarnation}"


def new_leaving_table() -> GossipTable[LeavingServer]:
    """Return an empty table of leaving servers."""
    return GossipTable(lambda server: server.key, lambda known, _: known)
