"""Chains of two stages in the queue of one limited server, in simulated time.

The queue's decisions are the real ones. Both stages of a chain run in the same queue,
so that the second one needs a call after that of the first.
"""

from dataclasses import dataclass

from boragestream.document.calls import Piece, PieceResult
from boragestream.document.routes import PieceLimits
from boragestream.policy.permit_schedule import Pace, PermitSchedule
from boragestream.policy.piece_queue import PieceBooking, PieceOrder, QueuedOrder
from boragestream.policy.servers import Server
from boragestream.policy.service_queue import CallRoom, ServiceQueue

# The server and the times of the route site's stage service.
SERVER = Server("s", "service", "10.0.0.1:80", "hall", "s")
LIMITS = PieceLimits(1, 8, 0.05, 0.001, 40.0, 4.0)
RESULT_BYTES = 8000.0
PIECES = (2, 1)
PRIORITY = 1
# Seconds from a chain's arrival to the latest start of its last stage, and to that of
# its first: entries differ in the delays that they have recently measured.
LAST_START = 2.69
FIRST_STARTS = (2.64, 2.4, 2.2, 1.8)
DEADLINE_SECONDS = 5.0
STEP_SECONDS = 0.01
BURST = 3.0


@dataclass(slots=True)
class Chain:
    """One accepted chain.

    :ivar latest: the latest start of each stage.
    :ivar began: when its last stage began; None if it was given up.
    """

    name: str
    latest: tuple[float, float]
    expires: float
    began: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether its last stage began by its latest start."""
        return self.began is not None and self.began <= self.latest[1]


class LimitedStage:
    """A play of chains that come evenly to a server with a limit of calls a second."""

    def __init__(self, calls_per_second: float):
        """Begin with an idle server."""
        self.now, self.calls = 0.0, 0
        self.per_second = calls_per_second
        self.permits = PermitSchedule(Pace(calls_per_second, BURST))
        self.queue = ServiceQueue(self.room)
        self.chains: dict[str, Chain] = {}
        self.refused = 0
        self.in_progress = None

    def room(self, server: Server) -> CallRoom:
        """Return when the server may be called again."""
        return CallRoom(self.per_second, self.permits.next_free(self.now) - self.now)

    def play(self, chains_per_second: float, seconds: float) -> None:
        """Play chains that come for some seconds, and those that wait then."""
        arrivals = [
            n / chains_per_second for n in range(int(chains_per_second * seconds))
        ]
        while self.now < seconds + DEADLINE_SECONDS:
            self.end_call()
            while arrivals and arrivals[0] <= self.now:
                arrivals.pop(0)
                self.arrive()
            self.queue.drop_expired(self.now)
            self.queue.drop_late(self.now)
            self.send()
            self.now += STEP_SECONDS

    def arrive(self) -> None:
        """Book the second stage of a chain and order its first."""
        number = len(self.chains) + self.refused
        first = FIRST_STARTS[number % len(FIRST_STARTS)]
        latest = self.now + first, self.now + LAST_START
        chain = Chain(f"c-{number}", latest, self.now + DEADLINE_SECONDS)
        booking = PieceBooking(
            f"{chain.name}/1", "service", chain.name, chain.name, PIECES[1], PRIORITY
        )
        wait = self.queue.book(
            booking, latest[1], chain.expires, LIMITS, [SERVER], self.now
        )
        if wait is None:
            wait = self.order(chain, 0)
        if wait is None:
            self.chains[chain.name] = chain
        else:
            self.queue.drop(f"{chain.name}/1")
            self.refused += 1

    def order(self, chain: Chain, stage: int) -> float | None:
        """Order a stage of a chain; return the expected wait if it is refused."""
        name = chain.name
        pieces = tuple(Piece(name, stage, n, name, ()) for n in range(PIECES[stage]))
        order = PieceOrder(
            f"{name}/{stage}", "service", pieces, RESULT_BYTES, PRIORITY, stage > 0
        )
        queued = QueuedOrder(order, chain.latest[stage], chain.expires, list(pieces))
        return self.queue.submit(queued, LIMITS, [SERVER], self.now)

    def send(self) -> None:
        """Send the next batch once the server may be called."""
        if self.in_progress is not None or self.room(SERVER).wait_seconds > 0:
            return
        for batch in self.queue.next_batches(LIMITS, [SERVER], self.now):
            self.permits.reserve(self.now, self.now)
            self.calls += 1
            self.in_progress = (self.now + batch.seconds, batch)
            for _, piece in batch.pieces:
                if piece.stage == 1:
                    self.chains[piece.request_id].began = self.now

    def end_call(self) -> None:
        """End the call in progress once it is due, and order the stages that follow."""
        if self.in_progress is None or self.now < self.in_progress[0]:
            return
        _, batch = self.in_progress
        self.in_progress = None
        results = [
            PieceResult(f"{piece.request_id}/{piece.stage}/{piece.number}", None)
            for _, piece in batch.pieces
        ]
        self.queue.end(batch, results, True, self.now)
        for (queued, piece), result in zip(batch.pieces, results, strict=True):
            self.queue.release(SERVER, result.handle)
            order_id = queued.order.order_id
            self.queue.record_reported(order_id, {piece.number})
            if piece.stage == 0 and order_id not in self.queue.orders:
                self.order(self.chains[piece.request_id], 1)
