"""Brings the backend servers that this entry owns to what the document wants.

One server at a time: read what it holds, compare, and order where it differs, all
while this entry owns the server. What fails is tried again by the next round. Reading
the instance list, and when rounds are made, is left to the caller.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from boragestream.backend.orders import OrderWithdrawn, give_order, read_held
from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.document import Document
from boragestream.policy.orders import HeldModel, needs_weights, wanted_models
from boragestream.policy.ownership import Ownership, Standing
from boragestream.policy.servers import Server
from boragestream.policy.weight_store import WeightStoreShare

__all__ = ["OrderGiver", "Progress"]


class Progress(Enum):
    """How far a server is."""

    HOLDS = "it holds what is wanted"
    ORDERED = "it took an order"
    NOT_MINE = "this entry may not order it now"
    STORE_BUSY = "the share of the weight store is used up"


@dataclass(frozen=True, slots=True)
class OrderGiver:
    """What giving orders needs."""

    ownership: Ownership
    store: WeightStoreShare
    clock: Clock

    def round(
        self, document: Document, servers: Iterable[Server]
    ) -> dict[str, Progress | Failure]:
        """Bring each owned server one step on; return how far each is."""
        reports: dict[str, Progress | Failure] = {}
        for server in servers:
            wanted = wanted_models(document, server.service)
            if wanted is not None and self._may_order(server):
                reports[server.name] = self._bring(server, wanted)
        return reports

    def _bring(
        self, server: Server, wanted: tuple[HeldModel, ...]
    ) -> Progress | Failure:
        held = read_held(server.name, server.host)
        if isinstance(held, Failure):
            return held
        if held == wanted:
            return Progress.HOLDS
        loads = needs_weights(held, wanted)
        if loads and not self.store.take():
            return Progress.STORE_BUSY
        # The number is read before the right is checked: whatever list comes in
        # between, the order is never given under a number newer than the right.
        number = self.ownership.fencing_number
        failure = give_order(
            server.name, server.host, wanted, number, lambda: self._may_order(server)
        )
        if not isinstance(failure, OrderWithdrawn):
            return failure or Progress.ORDERED
        if loads:
            self.store.put_back()
        return Progress.NOT_MINE

    def _may_order(self, server: Server) -> bool:
        standing = self.ownership.standing(server.name, self.clock.now())
        return standing is Standing.OWNER
