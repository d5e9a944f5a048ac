"""Books the later stages of a chain before its first stage begins.

The bottleneck is often the queue of the last stage. If a chain is refused only there,
the servers of the earlier stages have worked for nothing and the caller has waited for
nothing. So the owner of each later queue is asked at the start whether it can meet the
future order, and counts that order from then on. If the owner does not answer, the
chain begins without a booking, and the order is accepted or refused when it arrives.
"""

from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.failures import AccountOverShare
from boragestream.entry.messages import Envelope
from boragestream.entry.piece_messages import PiecesAnswer, PiecesBook, PiecesCancel
from boragestream.policy.piece_queue import PieceBooking
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

__all__ = ["BookedOrder", "PieceBookings"]


@dataclass(frozen=True, slots=True)
class BookedOrder:
    """A booking that its owner accepted.

    :ivar owner: the entry that accepted it.
    :ivar waited_seconds: the time since the caller's first attempt, as its owner knows.
    :ivar surplus: whether it is beyond the share of its account, so that its chain may
        not run in another region.
    """

    booking: PieceBooking
    owner: str
    waited_seconds: float = 0.0
    surplus: bool = False


class PieceBookings:
    """The bookings of this entry's requests, and those of others in its own queues."""

    def __init__(self, owners: OwnerLinks, batches: PieceBatches, clock: Clock) -> None:
        self._owners = owners
        self._batches = batches
        self._clock = clock

    def book(
        self, booking: PieceBooking, start_by: float, deadline: float
    ) -> BookedOrder | StageSaturated | AccountOverShare | OfferUnanswered | None:
        """Book a future order.

        :param start_by: its latest start, in seconds of the clock.
        :param deadline: when its caller stops waiting, in seconds of the clock.
        :returns: the booking, why it was refused, or None if the owner did not answer.
            A borrowed booking that is not answered is cancelled at the owner.
        """
        owner = self._owner(booking)
        if not owner and booking.borrowed:
            return OfferUnanswered(booking.service)
        if not owner:
            return StageSaturated(booking.service, 0)
        now = self._clock.now()
        start, left = start_by - now, deadline - now
        if owner == self._owners.own:
            wait = self._batches.book(booking, start, left)
            waited = self._batches.waited(booking, left)
            surplus = self._batches.is_surplus(booking)
            refusal = wait_refusal(booking.service, wait, waited)
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
                milliseconds(booking.lead_seconds),
                milliseconds(booking.waited_seconds),
                booking.region,
                booking.borrowed,
                booking.account,
            )
            reply = self._owners.ask(owner, message)
            if reply is None and booking.borrowed:
                self._owners.send(owner, _cancel_message(booking))
                return OfferUnanswered(booking.service)
            if reply is None:
                return None
            refusal = answer_refusal(booking.service, booking.account, reply)
            waited, surplus = reply.waited_ms / 1000, reply.over_share
        return refusal or BookedOrder(booking, owner, waited, surplus)

    def _owner(self, booking: PieceBooking) -> str:
        """Return the owner to ask; empty if the region has none that answers."""
        if booking.borrowed:
            return self._owners.lender(booking.queue)
        return next(iter(self._owners.owners(booking.queue)), "")

    def cancel(self, booked: BookedOrder) -> None:
        """Tell the owner that a booked order will not be sent."""
        booking = booked.booking
        if booked.owner == self._owners.own:
            self._batches.cancel(booking.queue, booking.order_id)
        else:
            self._owners.send(booked.owner, _cancel_message(booking))

    def answer_booking(self, envelope: Envelope, message: PiecesBook) -> PiecesAnswer:
        """Accept or refuse a booking of another entry."""
        booking = PieceBooking(
            message.order_id,
            message.service,
            message.request_id,
            message.key,
            message.count,
            message.priority,
            regions=frozenset(message.regions),
            lead_seconds=seconds_or_unknown(message.lead_ms),
            waited_seconds=message.waited_ms / 1000,
            region=message.region,
            borrowed=message.borrowed,
            account=message.account,
        )
        left = message.left_ms / 1000
        wait = self._batches.book(booking, message.start_ms / 1000, left)
        waited_ms = milliseconds(self._batches.waited(booking, left))
        return wait_answer(wait, waited_ms, self._batches.is_surplus(booking))


def _cancel_message(booking: PieceBooking) -> PiecesCancel:
    return PiecesCancel(booking.service, booking.order_id, booking.region)
