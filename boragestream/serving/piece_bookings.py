"""Books the later stages of a chain before its first one begins.

The queue that binds is often that of the last stage. A chain that learns of it there
has used up the servers of the stages before it, and its caller has waited for nothing.
The owner of each later queue is asked at the beginning whether the order to come can
be met, and counts it from then on. An owner that is silent is not waited for: the chain
begins, and its order is taken or refused when it comes.
"""

from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.entry.messages import Envelope
from boragestream.entry.piece_messages import PiecesAnswer, PiecesBook, PiecesCancel
from boragestream.policy.piece_queue import PieceBooking
from boragestream.serving.owner_links import OwnerLinks, milliseconds
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_failures import StageSaturated

__all__ = ["BookedOrder", "PieceBookings"]


@dataclass(frozen=True, slots=True)
class BookedOrder:
    """A booking that was granted.

    :ivar owner: the entry that granted it.
    """

    booking: PieceBooking
    owner: str


class PieceBookings:
    """The bookings of this entry's requests, and of others at the queues it owns."""

    def __init__(self, owners: OwnerLinks, batches: PieceBatches, clock: Clock) -> None:
        self._owners = owners
        self._batches = batches
        self._clock = clock

    def book(
        self, booking: PieceBooking, start_by: float, deadline: float
    ) -> BookedOrder | StageSaturated | None:
        """Book an order to come.

        :param start_by: the clock's seconds at which it must start at the latest.
        :param deadline: the clock's seconds at which its caller stops waiting.
        :returns: the booking, why it was refused, or None where no owner answered.
        """
        owner = self._owners.owners(booking.service)[0]
        now = self._clock.now()
        start, left = start_by - now, deadline - now
        if owner == self._owners.own:
            wait = self._batches.book(booking, start, left)
        else:
            message = PiecesBook(
                booking.order_id,
                booking.service,
                booking.request_id,
                booking.key,
                booking.count,
                booking.priority,
                milliseconds(start),
                milliseconds(left),
                tuple(booking.regions),
            )
            reply = self._owners.ask(owner, message)
            if reply is None:
                return None
            wait = None if reply.taken else reply.wait_ms / 1000
        if wait is None:
            return BookedOrder(booking, owner)
        return StageSaturated(booking.service, milliseconds(wait))

    def cancel(self, booked: BookedOrder) -> None:
        """Say that a booked order will not come."""
        service, order_id = booked.booking.service, booked.booking.order_id
        if booked.owner == self._owners.own:
            self._batches.cancel(service, order_id)
        else:
            self._owners.send(booked.owner, PiecesCancel(service, order_id))

    def answer_booking(self, envelope: Envelope, message: PiecesBook) -> PiecesAnswer:
        """Take or refuse a booking of another entry."""
        booking = PieceBooking(
            message.order_id,
            message.service,
            message.request_id,
            message.key,
            message.count,
            message.priority,
            frozenset(message.regions),
        )
        refused = self._batches.book(
            booking, message.start_ms / 1000, message.left_ms / 1000
        )
        if refused is None:
            return PiecesAnswer(taken=True)
        return PiecesAnswer(taken=False, wait_ms=milliseconds(refused))
