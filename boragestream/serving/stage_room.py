"""Determines which servers of a stage service's queue may be used, and at what rate.

``serving.piece_batches`` plans the queue with them and sends them batches.
"""

from collections.abc import Sequence

from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.queue_owners import StageQueue
from boragestream.policy.server_choice import DISABLED_MECHANISMS
from boragestream.policy.servers import Server
from boragestream.policy.stage_servers import CallRoom
from boragestream.serving.piece_calls import BatchParts

__all__ = ["StageRoom"]


class StageRoom:
    """The servers of the queues that this entry owns."""

    def __init__(self, parts: BatchParts) -> None:
        self._parts = parts
        # Shares divide what cold servers may do, also while none may be called.
        self._plans_cold = parts.shares() is not None

    def live(self, queue_id: StageQueue) -> Sequence[Server]:
        """Return the live servers of a queue."""
        live = self._parts.servers.live(queue_id.service)
        return [server for server in live if queue_id.has_server_in(server.region)]

    def planned(self, queue_id: StageQueue) -> list[Server]:
        """Return the servers whose capacity decides whether an order is accepted."""
        return self.usable(queue_id, self._plans_cold)

    def usable(self, queue_id: StageQueue, plans_cold: bool = False) -> list[Server]:
        """Return the servers of a queue that may be called.

        :param plans_cold: whether to include cold ones that may be called later.
        """
        parts = self._parts
        accepting = parts.backoffs.usable(self.live(queue_id))
        cold = parts.cold
        live = cold.within_bound(accepting) if plans_cold else cold.usable(accepting)
        need = RoutingNeed(without=DISABLED_MECHANISMS)
        return usable_servers(live, self._parts.loads, need, self._parts.clock.now())

    def calls(self, server: Server) -> CallRoom:
        """Return the rate at which a server may be called."""
        limits = self._parts.limited.limits
        per_second, wait = limits.rate(server), limits.seconds_left(server)
        if self._plans_cold:
            cold_rate, cold_wait = self._parts.cold.room(server)
            per_second, wait = min(per_second, cold_rate), max(wait, cold_wait)
        return CallRoom(per_second, wait)
