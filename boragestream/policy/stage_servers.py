"""The servers of a stage service as the owner of its queue records them.

``policy.service_queue`` forms a batch for each free server and records its end.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from boragestream.document.calls import Piece, PieceFault, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.piece_queue import QueuedOrder
from boragestream.policy.servers import Server

__all__ = ["UNLIMITED_CALLS", "Batch", "CallRoom", "StageServerState", "StageServers"]

# A server that did not take a call or had no room for a result is full or unreachable.
# Without a pause it would be called again at once, a thousand times a second if it is
# the only server left.
REFUSED_PAUSE_SECONDS = 0.1
# After a NO_ROOM fault, results that are not recorded here are assumed to occupy the
# server's memory for this time. Most results are read and released sooner.
NO_ROOM_HOLD_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Batch:
    """The pieces of one call.

    :ivar pieces: each piece with its order.
    """

    server: Server
    limits: PieceLimits
    pieces: tuple[tuple[QueuedOrder, Piece], ...]

    @property
    def result_bytes(self) -> float:
        """The approximate size of all results in bytes."""
        return sum(queued.order.result_bytes for queued, _ in self.pieces)

    @property
    def seconds(self) -> float:
        """The usual duration of the call in seconds."""
        return self.limits.call_seconds + len(self.pieces) * self.limits.piece_seconds


@dataclass(frozen=True, slots=True)
class CallRoom:
    """The rate at which a server may be called, apart from its own capacity.

    :ivar per_second: calls per second; infinite if not limited.
    :ivar wait_seconds: seconds until the next call may be sent.
    """

    per_second: float = math.inf
    wait_seconds: float = 0.0


UNLIMITED_CALLS = CallRoom()


@dataclass(slots=True)
class StageServerState:
    """The calls and results of one server.

    :ivar calls: the number of calls in progress.
    :ivar free_at: when the call that was sent last is expected to end; 0 after any call
        has ended.
    :ivar paused_until: no call is sent before this time.
    :ivar pending_bytes: the expected bytes of the results of calls in progress.
    :ivar held: stored results by handle: size in bytes, and the time until which the
        server keeps them. Assumed results, recorded after a NO_ROOM fault, have a label
        of their piece instead of a handle.
    """

    calls: int = 0
    free_at: float = 0.0
    paused_until: float = 0.0
    pending_bytes: float = 0.0
    held: dict[str, tuple[float, float]] = field(default_factory=dict)

    def used_bytes(self, now: float) -> float:
        """Return the bytes in use, and drop results that have expired."""
        expired = [handle for handle, (_, until) in self.held.items() if now >= until]
        for handle in expired:
            del self.held[handle]
        return self.pending_bytes + sum(size for size, _ in self.held.values())

    def end(
        self,
        batch: Batch,
        results: Sequence[PieceResult] | None,
        taken: bool,
        now: float,
    ) -> None:
        """Record that a call has ended and that the server holds its results."""
        self.calls -= 1
        self.free_at = 0.0
        if not taken:
            self.paused_until = now + REFUSED_PAUSE_SECONDS
        self.pending_bytes = max(0.0, self.pending_bytes - batch.result_bytes)
        until = now + batch.limits.result_seconds
        for (queued, piece), result in zip(batch.pieces, results or (), strict=False):
            size = queued.order.result_bytes
            if result.handle:
                self.held[result.handle] = (size, until)
            elif result.fault is PieceFault.NO_ROOM:
                # Results that are not recorded here, such as those of an earlier
                # owner, occupy the server's memory.
                label = f"{piece.request_id}/{piece.stage}/{piece.number}"
                self.held[label] = (size, now + NO_ROOM_HOLD_SECONDS)
                self.paused_until = now + REFUSED_PAUSE_SECONDS


class StageServers:
    """The servers of one queue; the owner must hold a lock.

    :param room: returns the rate at which a server may be called.
    """

    def __init__(self, room: Callable[[Server], CallRoom]) -> None:
        self._room = room
        # By identity, since a server that has restarted has lost its earlier results.
        self._states: dict[tuple[str, str, str], StageServerState] = {}

    def state(self, server: Server) -> StageServerState:
        """Return the calls and results of a server."""
        return self._states.setdefault(server.identity, StageServerState())

    def free_at(self, usable: Sequence[Server], now: float) -> dict[str, float]:
        """Return by data centre when one of its servers is expected to be free.

        :returns: the clock's seconds.
        """
        free_at: dict[str, float] = {}
        for server in usable:
            earliest = free_at.get(server.data_centre, math.inf)
            free = max(now, self.state(server).free_at)
            free_at[server.data_centre] = min(earliest, free)
        return free_at

    def idle_count(self, limits: PieceLimits, usable: Sequence[Server]) -> int:
        """Return the number of servers that may be called now."""
        return sum(
            self.state(server).calls < limits.concurrent_calls
            and self._room(server).wait_seconds <= 0
            for server in usable
        )

    def count(self, limits: PieceLimits, usable: Sequence[Server]) -> float:
        """Return the number of servers; one whose calls are limited is a fraction."""
        seconds = limits.full_call_seconds
        return sum(min(1.0, self._room(s).per_second * seconds) for s in usable)

    def capacity(self, limits: PieceLimits, usable: Sequence[Server]) -> float:
        """Return the pieces a second that servers do with one full call each."""
        return self.count(limits, usable) * limits.batch / limits.full_call_seconds

    def drop_stale(self, listed: Iterable[Server], now: float) -> None:
        """Drop the state of servers that have left or restarted.

        A server that has left may still serve its stored results, so its state is kept
        until they expire. A server that has restarted under the same name has lost
        them, so its earlier state is dropped without that delay. State with calls in
        progress is kept until they end.
        """
        latest = {server.name: server.identity for server in listed}
        for identity, state in list(self._states.items()):
            replaced = latest.get(identity[0], identity) != identity
            gone = identity[0] not in latest and not state.used_bytes(now)
            if not state.calls and (replaced or gone):
                del self._states[identity]
