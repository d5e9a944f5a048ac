"""The load of one stage service in simulated time, on the queue's real decisions.

It has no network and no threads: requests of several kinds come at random moments,
their orders wait in a ``ServiceQueue``, and servers take the batches that it forms.
"""

import heapq
import itertools
import random
from dataclasses import dataclass

from boragestream.document.calls import Piece, PieceResult
from boragestream.policy.piece_queue import PieceOrder, QueuedOrder
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import ServiceQueue

RESULT_BYTES = 1000.0
WAIT_SECONDS = 6.0
LOOK_AGAIN_SECONDS = 0.25


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    :ivar urgency: as the queue is told it; 0 is the most urgent.
    :ivar pieces: of each request.
    :ivar per_second: how many come.
    :ivar slack: seconds from a request's coming to its latest start.
    """

    name: str
    urgency: int
    pieces: int
    per_second: float
    slack: float


def play(kinds, limits, servers, seconds, seed):
    """Play a load; return by kind the shares that began in time, late and never."""
    rng = random.Random(seed)
    queue, usable = (
        ServiceQueue(),
        [
            Server(f"s-{n}", "service", f"10.0.0.{n}:80", "hall", f"s-{n}")
            for n in range(servers)
        ],
    )
    numbers, moments = itertools.count(), []

    def at(when, what, *more):
        heapq.heappush(moments, (when, next(numbers), what, more))

    for kind in kinds:
        now = rng.expovariate(kind.per_second)
        while now < seconds:
            at(now, "come", kind, f"{kind.name}-{next(numbers)}")
            now += rng.expovariate(kind.per_second)
    for turn in range(int((seconds + WAIT_SECONDS) / LOOK_AGAIN_SECONDS)):
        at(turn * LOOK_AGAIN_SECONDS, "look")
    begun = {kind.name: [0, 0, 0] for kind in kinds}
    waiting = {}
    while moments:
        now, _, what, more = heapq.heappop(moments)
        if what == "come":
            kind, name = more
            begun[kind.name][2] += 1
            pieces = tuple(Piece(name, 0, n, "key", ()) for n in range(kind.pieces))
            order = PieceOrder(
                name, "service", pieces, RESULT_BYTES, kind.urgency, invested=False
            )
            start_by = now + kind.slack
            queued = QueuedOrder(order, start_by, now + WAIT_SECONDS, list(pieces))
            if queue.submit(queued, limits, usable, now) is None:
                waiting[name] = (kind.name, start_by)
        elif what == "end":
            batch = more[0]
            results = [
                PieceResult(f"h-{next(numbers)}", None, "") for _ in batch.pieces
            ]
            queue.end(batch, results, True, now)
            for (held, piece), result in zip(batch.pieces, results, strict=True):
                queue.release(batch.server, result.handle)
                queue.note_told(held.order.order_id, {piece.number})
        else:
            queue.drop_late(now)
        for batch in queue.next_batches(limits, usable, now):
            at(now + batch.seconds, "end", batch)
            for held, _ in batch.pieces:
                known = waiting.pop(held.order.order_id, None)
                if known is not None:
                    begun[known[0]][0 if now <= known[1] else 1] += 1
    return {
        name: (in_time / come, late / come, 1 - (in_time + late) / come)
        for name, (in_time, late, come) in begun.items()
    }
