"""The load of one stage service in simulated time, on the queue's real decisions.

It has no network and no threads: requests of several kinds come at random moments,
their orders wait in a ``ServiceQueue``, and servers take the batches that it forms.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from boragestream.document.calls import Piece, PieceResult
from boragestream.policy.late_service import refuse_late
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.return_times import ReturnTime, ReturnTimes
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import ServiceQueue

RESULT_BYTES = 1000.0
WAIT_SECONDS = 6.0
LOOK_AGAIN_SECONDS = 0.25
LEAST_RETURN_SECONDS = 0.25
LEAD_SECONDS = 1.0


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    :ivar urgency: as the queue is told it; 0 is the most urgent.
    :ivar pieces: of each request.
    :ivar per_second: how many come.
    :ivar slack: seconds from a request's coming to its latest start.
    :ivar wait: seconds after which its caller gives up.
    :ivar until: when the last one comes; infinite for the whole play.
    :ivar begins: when the first one comes.
    """

    name: str
    urgency: int
    pieces: int
    per_second: float
    slack: float
    wait: float = WAIT_SECONDS
    until: float = math.inf
    begins: float = 0.0


@dataclass(frozen=True)
class Caller:
    """A caller and its request.

    :ivar start_by: the latest start that meets its objective, counted from the first
        try.
    :ivar deadline: when it stops waiting.
    """

    kind: Kind
    name: str
    start_by: float
    deadline: float


class StageLoad:
    """One play of a load.

    :param returning: whether callers come back once after a refusal.
    :param recognized: whether each names the same key again.
    :param late: decides which orders the queue keeps although they are late.
    :param planned: whether the queue plans when refused callers return.
    """

    def __init__(
        self,
        limits,
        servers,
        seed,
        returning,
        recognized,
        late=refuse_late,
        planned=False,
    ):
        """Begin with nothing waiting."""
        self.limits = limits
        self.returning, self.recognized = returning, recognized
        self.rng = random.Random(seed)
        returns = ReturnTimes() if planned else None
        self.queue = ServiceQueue(late=late, returns=returns)
        self.usable = [
            Server(f"s-{n}", "service", f"10.0.0.{n}:80", "hall", f"s-{n}")
            for n in range(servers)
        ]
        self.numbers, self.moments = itertools.count(), []
        self.waiting = {}
        # By kind: begun in time, begun late, come.
        self.begun = {}

    def at(self, when, what, *more):
        """Have something happen at a time."""
        heapq.heappush(self.moments, (when, next(self.numbers), what, more))

    def run(self, kinds, seconds):
        """Play to the end; return by kind the shares in time, late and never."""
        for kind in kinds:
            self.begun[kind.name] = [0, 0, 0]
            now = kind.begins + self.rng.expovariate(kind.per_second)
            while now < min(seconds, kind.until):
                name = f"{kind.name}-{next(self.numbers)}"
                caller = Caller(kind, name, now + kind.slack, now + kind.wait)
                self.at(now, self.come, caller)
                now += self.rng.expovariate(kind.per_second)
        longest = max(kind.wait for kind in kinds)
        for turn in range(int((seconds + 2 * longest) / LOOK_AGAIN_SECONDS)):
            self.at(turn * LOOK_AGAIN_SECONDS, self.look_again)
        while self.moments:
            now, _, what, more = heapq.heappop(self.moments)
            what(now, *more)
            self.send(now)
        return {
            name: (in_time / come, late / come, 1 - (in_time + late) / come)
            for name, (in_time, late, come) in self.begun.items()
        }

    def come(self, now, caller):
        """Have a caller come for the first time."""
        self.begun[caller.kind.name][2] += 1
        self.order(now, caller, self.returning)

    def order(self, now, caller, may_return):
        """Submit a caller's order, as if it were its first."""
        kind, number = caller.kind, next(self.numbers)
        request_id = f"{caller.name}/{number}"
        key = caller.name if self.recognized else request_id
        pieces = tuple(Piece(request_id, 0, n, key, ()) for n in range(kind.pieces))
        order = PieceOrder(
            request_id,
            "service",
            pieces,
            RESULT_BYTES,
            kind.urgency,
            invested=False,
            lead_seconds=LEAD_SECONDS,
        )
        queued = QueuedOrder(order, now + kind.slack, caller.deadline, list(pieces))
        wait = self.queue.submit(queued, self.limits, self.usable, now)
        if wait is None:
            self.waiting[request_id] = (caller, may_return)
        elif may_return:
            wait = wait.wait_seconds if isinstance(wait, ReturnTime) else wait
            back = now + max(LEAST_RETURN_SECONDS, wait)
            self.at(back, self.order, caller, False)

    def look_again(self, now):
        """Give up what is late; its callers may come back."""
        for queued in self.queue.drop_late(now):
            caller, may_return = self.waiting.pop(queued.order.order_id)
            if may_return:
                self.at(now + LEAST_RETURN_SECONDS, self.order, caller, False)

    def send(self, now):
        """Send a batch to each server that is free."""
        for batch in self.queue.next_batches(self.limits, self.usable, now):
            self.at(now + batch.seconds, self.end, batch)
            for held, _ in batch.pieces:
                known = self.waiting.pop(held.order.order_id, None)
                if known is not None:
                    caller = known[0]
                    late = now > caller.start_by
                    self.begun[caller.kind.name][late] += 1

    def end(self, now, batch):
        """End a call, and have its results read at once."""
        results = [
            PieceResult(f"h-{next(self.numbers)}", None, "") for _ in batch.pieces
        ]
        self.queue.end(batch, results, True, now)
        for (held, piece), result in zip(batch.pieces, results, strict=True):
            self.queue.release(batch.server, result.handle)
            self.queue.record_reported(held.order.order_id, {piece.number})


def play(
    kinds,
    limits,
    servers,
    seconds,
    seed,
    returning=False,
    recognized=True,
    late=refuse_late,
    planned=False,
):
    """Play a load; return by kind the shares that began in time, late and never."""
    load = StageLoad(limits, servers, seed, returning, recognized, late, planned)
    return load.run(kinds, seconds)
