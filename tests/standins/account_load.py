"""The load of one stage service by client accounts, in simulated time.

It has no network and no threads. One account may send a multiple of its typical demand
between two points in time, and the queue's owner may be replaced by one without state.
"""

import heapq
from dataclasses import dataclass, replace

from boragestream.document.calls import Piece, PieceResult
from boragestream.policy.account_shares import Surplus
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.service_queue import ServiceQueue
from tests.standins.stage_load import (
    LEAST_RETURN_SECONDS,
    LOOK_AGAIN_SECONDS,
    RESULT_BYTES,
    WAIT_SECONDS,
    Caller,
    Kind,
    StageLoad,
)


@dataclass(frozen=True)
class AccountKind(Kind):
    """A kind of request of one account.

    :ivar account: its client account.
    :ivar surge: the multiple of ``per_second`` during the surge.
    """

    account: str = ""
    surge: float = 1.0


class AccountLoad(StageLoad):
    """One run of a load of several accounts.

    :param shares: whether the queue divides a shortage between accounts.
    :param surge: the points in time between which accounts send their multiple.
    :param new_owner_at: when a new owner begins without state; None for never.
    """

    def __init__(self, limits, servers, seed, shares, surge, new_owner_at=None):
        """Begin with nothing waiting."""
        super().__init__(limits, servers, seed, returning=True, recognized=True)
        self.shares, self.surge, self.new_owner_at = shares, surge, new_owner_at
        self.queue = self.new_queue()
        # Refused surplus by account.
        self.surplus = {}
        self.waits = []

    def new_queue(self):
        """Return a queue without state."""
        return ServiceQueue(shares=QueueShares() if self.shares else None)

    def run(self, kinds, seconds):
        """Run to the end; return the share in time by kind, of those in the surge."""
        start, end = self.surge
        for kind in kinds:
            self.begun[kind.name] = [0, 0, 0]
            now = 0.0
            while True:
                surging = start <= now < end
                factor = kind.surge if surging else 1.0
                rate = kind.per_second * factor
                # Each random gap ends with the phase, since the rate then changes.
                until = start if now < start else end if surging else seconds
                following = now + self.rng.expovariate(rate)
                if following >= until:
                    if until >= seconds:
                        break
                    now = until
                    continue
                now = following
                name = f"{kind.name}-{next(self.numbers)}"
                caller = Caller(kind, name, now + kind.slack, now + WAIT_SECONDS)
                self.at(now, self.come, caller)
        if self.new_owner_at is not None:
            self.at(self.new_owner_at, self.replace_owner)
        for turn in range(int((seconds + 2 * WAIT_SECONDS) / LOOK_AGAIN_SECONDS)):
            self.at(turn * LOOK_AGAIN_SECONDS, self.look_again)
        while self.moments:
            now, _, what, more = heapq.heappop(self.moments)
            what(now, *more)
            self.send(now)
        return {n: b[0] / b[2] for n, b in self.begun.items() if b[2]}

    def come(self, now, caller):
        """Have a caller come; only those that come in the surge are counted."""
        counted = self.begun[caller.kind.name]
        if not self.surge[0] <= now < self.surge[1]:
            # Its kind is counted elsewhere.
            caller = replace(caller, kind=replace(caller.kind, name=""))
            counted = self.begun.setdefault("", [0, 0, 0])
        counted[2] += 1
        self.order(now, caller, self.returning)

    def order(self, now, caller, may_return):
        """Submit a caller's order, as if it were its first."""
        kind, number = caller.kind, next(self.numbers)
        request_id = f"{caller.name}/{number}"
        pieces = tuple(
            Piece(request_id, 0, n, caller.name, ()) for n in range(kind.pieces)
        )
        order = PieceOrder(
            request_id,
            "service",
            pieces,
            RESULT_BYTES,
            kind.urgency,
            invested=False,
            account=kind.account,
        )
        queued = QueuedOrder(order, now + kind.slack, caller.deadline, list(pieces))
        wait = self.queue.submit(queued, self.limits, self.usable, now)
        if wait is None:
            self.waiting[request_id] = (caller, may_return)
            return
        if isinstance(wait, Surplus):
            self.surplus.setdefault(kind.account, []).append(wait)
            wait = wait.wait_seconds
        # A caller returns only within a third of the time that it has left.
        back = max(LEAST_RETURN_SECONDS, wait)
        if may_return and back <= (caller.deadline - now) / 3:
            self.at(now + back, self.order, caller, False)

    def replace_owner(self, now):
        """Begin with a new queue, to which the entries send their open orders again."""
        before, self.queue = self.queue, self.new_queue()
        for queued in list(before.orders.values()):
            if queued.left:
                self.queue.submit(queued, self.limits, self.usable, now)

    def send(self, now):
        """Send a batch to each server that is free."""
        queue = self.queue
        for batch in queue.next_batches(self.limits, self.usable, now):
            self.at(now + batch.seconds, self.end_call, queue, batch)
            for held, _ in batch.pieces:
                known = self.waiting.pop(held.order.order_id, None)
                if known is not None:
                    caller = known[0]
                    late = now > caller.start_by
                    self.begun[caller.kind.name][late] += 1

    def end_call(self, now, queue, batch):
        """End a call at the owner that made it."""
        results = [
            PieceResult(f"h-{next(self.numbers)}", None, "") for _ in batch.pieces
        ]
        queue.end(batch, results, True, now)
        for (held, piece), result in zip(batch.pieces, results, strict=True):
            queue.release(batch.server, result.handle)
            queue.record_reported(held.order.order_id, {piece.number})
