"""Has the pieces of requests made by whichever entry owns the queue of their service.

An order is acknowledged at once and its results come in messages of their own. While an
owner is silent the next in rank is asked; at the last the entry does it itself. Two
owners for a moment make some pieces twice, and nothing worse. Who owns a queue is told
by ``serving.owner_links``, the batches are formed in ``serving.piece_batches``.
"""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from boragestream.backend.cancellation import CancelScope
from boragestream.base.clock import Clock
from boragestream.base.failures import DeadlinePassed
from boragestream.base.outcomes import Failure
from boragestream.document.calls import Piece, PieceFault, PieceResult, StageResult
from boragestream.entry.messages import Envelope, ProbeReply
from boragestream.entry.piece_messages import (
    PiecesAnswer,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.policy.piece_queue import PieceOrder
from boragestream.serving.owner_links import OwnerLinks, milliseconds
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_failures import StageSaturated

__all__ = ["OpenOrder", "PieceOrders"]

# How often the owner of an order is asked whether it still has it.
ASK_AGAIN_SECONDS = 0.8


@dataclass(slots=True)
class OpenOrder:
    """An order whose results are awaited here.

    :ivar owner: the entry that took it.
    :ivar start_by: the clock's seconds at which it must start at the latest.
    :ivar changed: set once all results are there or one is a fault.
    :ivar began_at: when it was first asked for.
    :ivar asked_at: when the owner was last known to have it.
    """

    order: PieceOrder
    start_by: float
    changed: threading.Event
    missing: set[int]
    began_at: float
    owner: str = ""
    asked_at: float = 0.0
    made: dict[int, StageResult] = field(default_factory=dict)
    fault: PieceFault | None = None

    @property
    def finished(self) -> bool:
        """Whether all results are there or one is a fault."""
        return self.fault is not None or not self.missing

    @property
    def results(self) -> tuple[StageResult, ...]:
        """The results in the order of the pieces, once all are there."""
        return tuple(self.made[piece.number] for piece in self.order.pieces)


class PieceOrders:
    """The orders of this entry's requests, and those of others that it owns."""

    def __init__(self, owners: OwnerLinks, clock: Clock) -> None:
        self._owners = owners
        self._own = owners.own
        self._clock = clock
        self._open: dict[str, OpenOrder] = {}
        # Who awaits the orders that this entry owns for others.
        self._askers: dict[str, str] = {}
        self._owner_of_handle: dict[str, str] = {}
        self._lock = threading.Lock()
        self._batches: PieceBatches | None = None

    def join(self, batches: PieceBatches) -> None:
        """Take the batches that this entry forms as an owner."""
        self._batches = batches

    def begin(
        self,
        order: PieceOrder,
        start_by: float,
        scope: CancelScope,
        changed: threading.Event,
    ) -> OpenOrder | Failure:
        """Have pieces made; the results come later.

        :param start_by: the clock's seconds at which they must start at the latest.
        :param scope: ends the asking.
        :param changed: set once all results are there or one is a fault.
        """
        numbers = {piece.number for piece in order.pieces}
        began = self._clock.now()
        opened = OpenOrder(order, start_by, changed, numbers, began)
        with self._lock:
            self._open[order.order_id] = opened
        refused = self._place(opened, scope)
        if refused is not None:
            self._forget(opened)
            return refused
        return opened

    def ask_again(self, opened: OpenOrder, scope: CancelScope) -> Failure | None:
        """Make sure now and then that an owner still has an order."""
        if self._clock.now() - opened.asked_at < ASK_AGAIN_SECONDS:
            return None
        return self._place(opened, scope)

    def end(self, opened: OpenOrder) -> None:
        """Await an order no longer; what was made of an unfinished one is given up."""
        self._forget(opened)
        if opened.finished and opened.fault is None:
            return
        if opened.owner == self._own:
            self._batches.cancel(opened.order.service, opened.order.order_id)
        elif opened.owner:
            order = opened.order
            self._owners.send(opened.owner, PiecesCancel(order.service, order.order_id))
        self.release([made.handle for made in opened.made.values()])

    def release(self, handles: Sequence[str]) -> None:
        """Give results up that are not needed any more."""
        by_owner: dict[str, list[str]] = {}
        with self._lock:
            for handle in handles:
                owner = self._owner_of_handle.pop(handle, None)
                if owner is not None:
                    by_owner.setdefault(owner, []).append(handle)
        for owner, owned in by_owner.items():
            if owner == self._own:
                self._batches.release(owned)
            else:
                self._owners.send(owner, PiecesRelease(tuple(owned)))

    def take_results(
        self, owner: str, order_id: str, results: Sequence[tuple[int, PieceResult]]
    ) -> None:
        """Take results of an order; what nobody awaits here is given up."""
        with self._lock:
            opened = self._open.get(order_id)
            unwanted = []
            for number, result in results:
                if result.handle:
                    self._owner_of_handle[result.handle] = owner
                if opened is None or number not in opened.missing:
                    unwanted.append(result.handle)
                elif result.handle:
                    opened.missing.discard(number)
                    size = opened.order.result_bytes
                    opened.made[number] = StageResult(
                        result.handle, result.data_centre, size
                    )
                else:
                    opened.fault = result.fault
        self.release([handle for handle in unwanted if handle])
        if opened is not None and opened.finished:
            opened.changed.set()

    def done(self, order_id: str, results: Sequence[tuple[int, PieceResult]]) -> None:
        """Pass results of an order that this entry owns on to whoever awaits it."""
        asker = self._askers.get(order_id, self._own)
        if asker == self._own:
            self.take_results(self._own, order_id, results)
            return
        packed = tuple(
            (number, r.handle, r.fault.name if r.fault else "", r.data_centre)
            for number, r in results
        )
        self._owners.send(asker, PiecesDone(order_id, packed))

    def answer_order(self, envelope: Envelope, message: PiecesOrder) -> PiecesAnswer:
        """Take an order of another entry."""
        order = PieceOrder(
            message.order_id,
            message.service,
            tuple(
                Piece(message.request_id, message.stage, n, message.key, message.inputs)
                for n in message.numbers
            ),
            message.result_bytes,
            message.priority,
            message.invested,
            message.near,
            frozenset(message.regions),
            message.fingerprint,
        )
        with self._lock:
            self._askers[message.order_id] = envelope.sender
        refused = self._batches.submit(
            order, message.start_ms / 1000, message.left_ms / 1000
        )
        if refused is None:
            return PiecesAnswer(taken=True)
        return PiecesAnswer(taken=False, wait_ms=milliseconds(refused))

    def answer_done(self, envelope: Envelope, message: PiecesDone) -> ProbeReply:
        """Take results from an owner."""
        results = [
            (number, PieceResult(handle, PieceFault[fault] if fault else None, place))
            for number, handle, fault, place in message.results
        ]
        self.take_results(envelope.sender, message.order_id, results)
        return ProbeReply(0)

    def answer_cancel(self, envelope: Envelope, message: PiecesCancel) -> ProbeReply:
        """Drop an order of another entry."""
        self._batches.cancel(message.service, message.order_id)
        return ProbeReply(0)

    def answer_release(self, envelope: Envelope, message: PiecesRelease) -> ProbeReply:
        """Give up results of another entry's orders."""
        self._batches.release(message.handles)
        return ProbeReply(0)

    def look_again(self) -> None:
        """Forget what nobody awaits any more."""
        with self._lock:
            known = [
                order_id
                for order_id in self._askers
                if not self._batches.knows_order(order_id)
            ]
            for order_id in known:
                del self._askers[order_id]

    def _place(self, opened: OpenOrder, scope: CancelScope) -> Failure | None:
        """Give an order to the first owner that takes it, or return its refusal."""
        order = opened.order
        for owner in self._owners.owners(order.service, opened.owner):
            now = self._clock.now()
            start, left = opened.start_by - now, scope.deadline - now
            if left <= 0 or scope.reason is not None:
                return scope.reason or DeadlinePassed("stage")
            opened.owner, opened.asked_at = owner, now
            if owner == self._own:
                return _refusal(order, self._batches.submit(order, start, left))
            reply = self._owners.ask(owner, _message(order, start, left))
            if reply is not None:
                wait = None if reply.taken else reply.wait_ms / 1000
                return _refusal(order, wait)
        return StageSaturated(order.service, 0)

    def _forget(self, opened: OpenOrder) -> None:
        with self._lock:
            self._open.pop(opened.order.order_id, None)


def _message(order: PieceOrder, start: float, left: float) -> PiecesOrder:
    first = order.pieces[0]
    return PiecesOrder(
        order_id=order.order_id,
        service=order.service,
        request_id=first.request_id,
        stage=first.stage,
        numbers=tuple(piece.number for piece in order.pieces),
        key=first.key,
        inputs=first.inputs,
        result_bytes=order.result_bytes,
        priority=order.priority,
        invested=order.invested,
        start_ms=milliseconds(start),
        left_ms=milliseconds(left),
        near=order.near,
        regions=tuple(order.regions),
        fingerprint=order.fingerprint,
    )


def _refusal(order: PieceOrder, wait: float | None) -> StageSaturated | None:
    return None if wait is None else StageSaturated(order.service, milliseconds(wait))
