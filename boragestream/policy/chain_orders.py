"""The orders and bookings of chains, as the queues of stage services receive them.

A chain orders the pieces of each stage when the stages before it are done, and books
its later stages when it begins. ``policy.service_queue`` accepts or refuses both.
"""

import math
from dataclasses import dataclass

from boragestream.document.calls import Piece
from boragestream.policy.queue_owners import StageQueue

__all__ = ["ChainTerms", "PieceBooking", "PieceOrder"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainTerms:
    """What orders and bookings of a chain have in common.

    :ivar regions: the only regions where its pieces may run; empty for any.
    :ivar lead_seconds: the time from its start to the answer of its request; infinite
        if unknown.
    :ivar waited_seconds: the time from its caller's first attempt to this one, as far
        as its latest start already includes it.
    :ivar region: the region of its queue; empty for a queue over all regions.
    :ivar borrowed: whether its chain runs in that region only because its own region
        could not take it.
    :ivar account: the client account that it counts for; empty for none.
    """

    regions: frozenset[str] = frozenset()
    lead_seconds: float = math.inf
    waited_seconds: float = 0.0
    region: str = ""
    borrowed: bool = False
    account: str = ""


@dataclass(frozen=True, slots=True)
class PieceOrder(ChainTerms):
    """The pieces of one stage that a request needs.

    :ivar order_id: identifies the order on all entries.
    :ivar result_bytes: the approximate size of one result.
    :ivar priority: 0 is the most urgent.
    :ivar invested: whether results of earlier stages are lost if it is dropped.
    :ivar near: the data centre that holds much of its input; empty for none.
    :ivar fingerprint: identifies the request over all its retries; empty if unknown.
    """

    order_id: str
    service: str
    pieces: tuple[Piece, ...]
    result_bytes: float
    priority: int
    invested: bool
    near: str = ""
    fingerprint: bytes = b""

    @property
    def queue(self) -> StageQueue:
        """The queue that the order is for."""
        return StageQueue(self.service, self.region)

    @property
    def needs_spare_capacity(self) -> bool:
        """Whether it is accepted only with capacity that the own region doesn't need.

        A borrowed chain that has begun is treated as one of the region, since its
        results are there.
        """
        return self.borrowed and not self.invested


@dataclass(frozen=True, slots=True)
class PieceBooking(ChainTerms):
    """The pieces of a later stage that a chain orders when its earlier stages are done.

    :ivar order_id: the id of the later order.
    :ivar key: the request's piece key, the same in each attempt of its caller.
    """

    order_id: str
    service: str
    request_id: str
    key: str
    count: int
    priority: int

    @property
    def queue(self) -> StageQueue:
        """The queue of the later order."""
        return StageQueue(self.service, self.region)
