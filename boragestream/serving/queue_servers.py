"""Selects the servers that the batches of a queue may be sent to.

A queue of one region has the servers of that region. ``policy.service_queue`` assigns
batches to them, ``serving.piece_batches`` sends these.
"""

from collections.abc import Sequence

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

    def live(self, queue_id: StageQueue) -> Sequence[Server]:
        """Return the live servers of a queue."""
        live = self._parts.servers.live(queue_id.service)
        return [server for server in live if queue_id.has_server_in(server.region)]

    def usable(self, queue_id: StageQueue) -> list[Server]:
        """Return the live servers that are neither backed off nor ejected.

        Cold servers are included only as far as ``policy.cold_servers`` permits.
        """
        parts = self._parts
        accepting = parts.backoffs.usable(self.live(queue_id))
        live = parts.cold.usable(accepting)
        need = RoutingNeed(without=DISABLED_MECHANISMS)
        return usable_servers(live, self._parts.loads, need, self._parts.clock.now())

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
        """Return how many calls the limit of a server leaves, and when."""
        limits = self._parts.limited.limits
        return CallRoom(limits.rate(server), limits.seconds_left(server))
