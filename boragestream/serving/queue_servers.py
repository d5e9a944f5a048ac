"""Selects the servers that the batches of a queue may be sent to.

A queue of one region has the servers of that region. ``policy.service_queue`` assigns
batches to them, ``serving.piece_batches`` sends these.
"""

from collections.abc import Callable, Sequence

from boragestream.policy.candidates import RoutingNeed, usable_servers
from boragestream.policy.queue_owners import StageQueue
from boragestream.policy.server_choice import DISABLED_MECHANISMS
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import CallRoom
from boragestream.serving.piece_calls import BatchParts

__all__ = ["PERMIT_WAIT_SECONDS", "QueueServers"]

# A server with a limit may be called only with a permit, which is valid from a certain
# time. It is sent a batch if that time is at most this far away. Queues are checked at
# this interval, so no permit is missed between two checks.
PERMIT_WAIT_SECONDS = 0.25


class QueueServers:
    """The servers of the queues that this entry owns."""

    def __init__(self, parts: BatchParts) -> None:
        self._parts = parts
        # Shares divide what cold servers may do, also while none may be called.
        self._plans_cold = parts.shares() is not None

    def live(self, queue_id: StageQueue) -> Sequence[Server]:
        """Return the live servers of a queue."""
        live = self._parts.servers.live(queue_id.service)
        return [server for server in live if queue_id.has_server_in(server.region)]

    def usable(self, queue_id: StageQueue) -> list[Server]:
        """Return the live servers that are neither backed off nor ejected.

        Cold servers are included only as far as ``policy.cold_servers`` permits.
        """
        return self._usable(queue_id, self._parts.cold.usable)

    def planned(self, queue_id: StageQueue) -> list[Server]:
        """Return the servers whose capacity decides whether an order is accepted."""
        cold = self._parts.cold
        return self._usable(
            queue_id, cold.within_bound if self._plans_cold else cold.usable
        )

    def sendable(self, queue_id: StageQueue) -> list[Server]:
        """Return the servers that may be sent a batch, those without a limit first.

        Servers with a limit are included if a permit begins soon.
        """
        limits = self._parts.limited.limits
        without_limit, with_limit = limits.split(self.usable(queue_id))
        soon = [s for s in with_limit if limits.seconds_left(s) <= PERMIT_WAIT_SECONDS]
        return [*without_limit, *soon]

    def backed_off_seconds(self, queue_id: StageQueue) -> float | None:
        """Return the seconds until a server may be called; None if one may be now."""
        return self._parts.backoffs.seconds_left(self.live(queue_id))

    def call_room(self, server: Server) -> CallRoom:
        """Return how many calls the bounds of a server leave, and when."""
        limits = self._parts.limited.limits
        per_second, wait = limits.rate(server), limits.seconds_left(server)
        if self._plans_cold:
            cold_rate, cold_wait = self._parts.cold.room(server)
            per_second, wait = min(per_second, cold_rate), max(wait, cold_wait)
        return CallRoom(per_second, wait)

    def _usable(
        self,
        queue_id: StageQueue,
        select: Callable[[Sequence[Server]], Sequence[Server]],
    ) -> list[Server]:
        parts = self._parts
        live = select(parts.backoffs.usable(self.live(queue_id)))
        need = RoutingNeed(without=DISABLED_MECHANISMS)
        return usable_servers(live, parts.loads, need, parts.clock.now())
