"""Backend servers that said themselves that they are leaving, as entries tell it on.

The word holds for one incarnation and is final, so that merging is a union. What an
entry makes of it is left to ``policy.servers``.
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
        """What changes when an instance is replaced."""
        return f"{self.name} {self.host} {self.incarnation}"


def new_leaving_table() -> GossipTable[LeavingServer]:
    """Return an empty table of leaving servers."""
    return GossipTable(lambda server: server.key, lambda known, _: known)
