"""Measures requests to entries of other regions: their time, bytes and missing answers.

The entry that sends a request counts the bytes of both the request and the answer; the
one that answers counts nothing. The sum over all entries is thus what the link carried,
without the headers below the messages.
"""

from collections.abc import Callable

from boragestream.entry.knowledge_messages import PublishedAsk
from boragestream.entry.messages import DocumentAsk, Exchange, Message, ProbeFor
from boragestream.entry.permit_messages import PermitAsk, PermitReturn
from boragestream.entry.piece_messages import (
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.entry.stream_messages import OriginAsk
from boragestream.policy.region_links import RegionLinks, TrafficKind

__all__ = ["RegionMeter"]

ORDER_MESSAGES = (
    OriginAsk,
    PermitAsk,
    PermitReturn,
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
STORE_MESSAGES = (DocumentAsk, PublishedAsk)


class RegionMeter:
    """Records the requests of this entry to entries of other regions.

    :param region_at: returns the region of the entry at a peer address; empty if it is
        unknown.
    """

    def __init__(self, links: RegionLinks, region_at: Callable[[str], str]) -> None:
        self._links = links
        self._region_at = region_at

    def allowance_seconds(self, address: str, message: Message) -> float:
        """Return the seconds by which the time-out of a request is longer.

        Requests on behalf of a caller keep their time-out: the caller's deadline bounds
        it. So do all requests to an unreachable region except the exchanges, which
        detect its return: where the link is cut in one direction only, messages from
        there still cause requests, and these would occupy every thread of the exchange.
        """
        region = self._region_at(address)
        cut = region in self._links.unreachable_regions
        if _kind(message) is TrafficKind.ORDER:
            return 0.0
        if cut and not isinstance(message, Exchange):
            return 0.0
        return self._links.allowance_seconds(region)

    def note_answer(
        self, address: str, message: Message, size: int, seconds: float
    ) -> None:
        """Record an answer.

        :param size: the bytes of the request and the answer.
        :param seconds: the time from the sending of the request to the answer.
        """
        region = self._region_at(address)
        self._links.count(region, _kind(message), size)
        # An entry answers ``ProbeFor`` only after a request to a third entry.
        measured = None if isinstance(message, ProbeFor) else seconds
        self._links.note_answer(region, measured)

    def note_missed(
        self, address: str, message: Message, size: int, seconds: float
    ) -> None:
        """Record that an answer was missing.

        :param size: the bytes of the request.
        :param seconds: the time since the request began.
        """
        region, kind = self._region_at(address), _kind(message)
        self._links.count(region, kind, size)
        # A short time-out for the sake of a caller says little of the link.
        if kind is not TrafficKind.ORDER:
            self._links.note_missed(region, seconds)


def _kind(message: Message) -> TrafficKind:
    if isinstance(message, ORDER_MESSAGES):
        return TrafficKind.ORDER
    if isinstance(message, STORE_MESSAGES):
        return TrafficKind.STORE
    return TrafficKind.EXCHANGE
