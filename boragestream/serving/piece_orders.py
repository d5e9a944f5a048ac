"""Sends the piece orders of requests to the entry that owns their service's queue.

The owner acknowledges an order at once and sends its results in separate messages. If
an owner does not answer, the order goes to the next entry in rank, and finally to this
entry itself. If a queue briefly has two owners, some pieces are made twice; this has no
other effect. ``serving.owner_links`` determines the owner of a queue, and
``serving.piece_batches`` forms the batches.
"""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

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
from boragestream.policy.queue_owners import StageQueue
from boragestream.serving.owner_links import (
    OwnerLinks,
    milliseconds,
    seconds_or_unknown,
)
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_failures import OfferUnanswered, StageSaturated
from boragestream.serving.piece_refusals import (
    answer_refusal,
    wait_answer,
    wait_refusal,
)

__all__ = ["OpenOrder", "PieceOrders"]

# Interval at which the owner of an unfinished order is sent the order again, in case it
# has lost it.
ORDER_CHECK_SECONDS = 0.8


@dataclass(slots=True)
class OpenOrder:
    """An order whose results this entry is waiting for.

    :ivar owner: the entry that the order was last sent to.
    :ivar start_by: the latest start, in seconds of the clock.
    :ivar changed: set once all results have arrived or one is a fault.
    :ivar missing: the numbers of the pieces whose results have not arrived.
    :ivar began_at: when the order was opened, in seconds of the clock.
    :ivar checked_at: when the order was last sent to an owner, in seconds of the clock.
    :ivar received: the results that have arrived, by piece number.
    :ivar unanswered: the entries that were sent the order and gave no answer, and may
        have accepted it.
    """

    order: PieceOrder
    start_by: float
    changed: threading.Event
    missing: set[int]
    began_at: float
    owner: str = ""
    checked_at: float = 0.0
    received: dict[int, StageResult] = field(default_factory=dict)
    unanswered: set[str] = field(default_factory=set)
    fault: PieceFault | None = None

    @property
    def finished(self) -> bool:
        """Whether all results have arrived or one is a fault."""
        return self.fault is not None or not self.missing

    @property
    def missing_order(self) -> PieceOrder:
        """The order with the pieces that are still missing, for another owner."""
        if not self.received:
            return self.order
        left = tuple(p for p in self.order.pieces if p.number in self.missing)
        return replace(self.order, pieces=left or self.order.pieces)

    @property
    def results(self) -> tuple[StageResult, ...]:
        """The results in the order of the pieces, once all have arrived."""
        return tuple(self.received[piece.number] for piece in self.order.pieces)


class PieceOrders:
    """The orders of this entry's requests, and those sent to it by other entries."""

    def __init__(self, owners: OwnerLinks, clock: Clock) -> None:
        self._owners = owners
        self._own = owners.own
        self._clock = clock
        self._open: dict[str, OpenOrder] = {}
        # The entry that sent each order of another entry, by the id of the order.
        self._requesters: dict[str, str] = {}
        self._owner_of_handle: dict[str, str] = {}
        self._lock = threading.Lock()
        self._batches: PieceBatches | None = None

    def set_batches(self, batches: PieceBatches) -> None:
        """Set the queues that this entry owns; called once, before the first order."""
        self._batches = batches

    def begin(
        self,
        order: PieceOrder,
        start_by: float,
        scope: CancelScope,
        changed: threading.Event,
    ) -> OpenOrder | Failure:
        """Send an order to an owner; its results arrive later.

        :param start_by: the latest start of the pieces, in seconds of the clock.
        :param scope: cancels the search for an owner.
        :param changed: set once all results have arrived or one is a fault.
        :returns: the open order, or why no owner accepted it.
        """
        numbers = {piece.number for piece in order.pieces}
        began = self._clock.now()
        opened = OpenOrder(order, start_by, changed, numbers, began)
        with self._lock:
            self._open[order.order_id] = opened
        refusal = self._place(opened, scope)
        if refusal is not None:
            self._forget(opened)
            return refusal
        return opened

    def check_owner(self, opened: OpenOrder, scope: CancelScope) -> Failure | None:
        """Send an order again once it is due, so that an owner certainly has it.

        It is due at once if its owner no longer reaches the servers of the queue.

        :returns: why no owner accepted it; None if one did or it is not due.
        """
        can_own = self._owners.can_own(opened.owner, opened.order.queue)
        due = self._clock.now() - opened.checked_at >= ORDER_CHECK_SECONDS
        if can_own and not due:
            return None
        return self._place(opened, scope)

    def end(self, opened: OpenOrder) -> None:
        """Close an order; cancel it and release its results if it is not done."""
        self._forget(opened)
        if opened.finished and opened.fault is None:
            return
        if opened.owner == self._own:
            self._batches.cancel(opened.order.queue, opened.order.order_id)
        elif opened.owner and opened.owner not in opened.unanswered:
            self._owners.send(opened.owner, _cancel_message(opened.order))
        self.release([result.handle for result in opened.received.values()])

    def release(self, handles: Sequence[str]) -> None:
        """Release results that are no longer needed."""
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

    def receive_results(
        self, owner: str, order_id: str, results: Sequence[tuple[int, PieceResult]]
    ) -> None:
        """Record results of an order; release those that no open order needs."""
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
                    opened.received[number] = StageResult(
                        result.handle, result.data_centre, size
                    )
                else:
                    opened.fault = result.fault
        self.release([handle for handle in unwanted if handle])
        if opened is not None and opened.finished:
            opened.changed.set()

    def report_results(
        self, order_id: str, results: Sequence[tuple[int, PieceResult]]
    ) -> None:
        """Pass results from a queue of this entry to the entry that sent the order."""
        requester = self._requesters.get(order_id, self._own)
        if requester == self._own:
            self.receive_results(self._own, order_id, results)
            return
        packed = tuple(
            (number, r.handle, r.fault.name if r.fault else "", r.data_centre)
            for number, r in results
        )
        self._owners.send(requester, PiecesDone(order_id, packed))

    def answer_order(self, envelope: Envelope, message: PiecesOrder) -> PiecesAnswer:
        """Accept or refuse an order of another entry."""
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
            message.fingerprint,
            regions=frozenset(message.regions),
            lead_seconds=seconds_or_unknown(message.lead_ms),
            waited_seconds=message.waited_ms / 1000,
            region=message.region,
            borrowed=message.borrowed,
            account=message.account,
        )
        with self._lock:
            self._requesters[message.order_id] = envelope.sender
        wait = self._batches.submit(
            order, message.start_ms / 1000, message.left_ms / 1000
        )
        return wait_answer(wait)

    def answer_done(self, envelope: Envelope, message: PiecesDone) -> ProbeReply:
        """Record results that an owner sent."""
        results = [
            (
                number,
                PieceResult(handle, PieceFault[fault] if fault else None, data_centre),
            )
            for number, handle, fault, data_centre in message.results
        ]
        self.receive_results(envelope.sender, message.order_id, results)
        return ProbeReply(0)

    def answer_cancel(self, envelope: Envelope, message: PiecesCancel) -> ProbeReply:
        """Cancel an order of another entry."""
        queue_id = StageQueue(message.service, message.region)
        self._batches.cancel(queue_id, message.order_id)
        return ProbeReply(0)

    def answer_release(self, envelope: Envelope, message: PiecesRelease) -> ProbeReply:
        """Release results of another entry's orders."""
        self._batches.release(message.handles)
        return ProbeReply(0)

    def forget_ended_orders(self) -> None:
        """Forget which entry sent each order that is no longer in a queue."""
        with self._lock:
            ended = [
                order_id
                for order_id in self._requesters
                if not self._batches.has_order(order_id)
            ]
            for order_id in ended:
                del self._requesters[order_id]

    def _place(self, opened: OpenOrder, scope: CancelScope) -> Failure | None:
        """Send an order to the first owner that answers; return any refusal."""
        order = opened.missing_order
        if order.needs_spare_capacity and not opened.owner:
            return self._offer(opened, scope)
        for owner in self._owners.owners(order.queue, opened.owner):
            now = self._clock.now()
            start, left = opened.start_by - now, scope.deadline - now
            if left <= 0 or scope.reason is not None:
                return scope.reason or DeadlinePassed("stage")
            opened.owner, opened.checked_at = owner, now
            if owner == self._own:
                wait = self._batches.submit(order, start, left)
                return wait_refusal(order.service, wait)
            reply = self._owners.ask(owner, _order_message(order, start, left))
            if reply is not None:
                opened.unanswered.discard(owner)
                return answer_refusal(order.service, order.account, reply)
            opened.unanswered.add(owner)
        return StageSaturated(order.service, 0)

    def _offer(self, opened: OpenOrder, scope: CancelScope) -> Failure | None:
        """Offer the first order of a borrowed chain to one owner; return any refusal.

        If the owner gives no answer, the offer is cancelled there. No other entry is
        asked: it would make the same pieces if only the answer was lost.
        """
        order, now = opened.order, self._clock.now()
        start, left = opened.start_by - now, scope.deadline - now
        if left <= 0 or scope.reason is not None:
            return scope.reason or DeadlinePassed("stage")
        owner = self._owners.lender(order.queue)
        if not owner:
            return OfferUnanswered(order.service)
        opened.owner, opened.checked_at = owner, now
        if owner == self._own:
            wait = self._batches.submit(order, start, left)
            return wait_refusal(order.service, wait)
        reply = self._owners.ask(owner, _order_message(order, start, left))
        if reply is None:
            self._owners.send(owner, _cancel_message(order))
            return OfferUnanswered(order.service)
        return answer_refusal(order.service, order.account, reply)

    def _forget(self, opened: OpenOrder) -> None:
        """Drop an order, and cancel it where it may have been accepted unheard."""
        with self._lock:
            self._open.pop(opened.order.order_id, None)
        for entry in opened.unanswered:
            self._owners.send(entry, _cancel_message(opened.order))


def _order_message(order: PieceOrder, start: float, left: float) -> PiecesOrder:
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
        lead_ms=milliseconds(order.lead_seconds),
        waited_ms=milliseconds(order.waited_seconds),
        region=order.region,
        borrowed=order.borrowed,
        account=order.account,
    )


def _cancel_message(order: PieceOrder) -> PiecesCancel:
    return PiecesCancel(order.service, order.order_id, order.region)
