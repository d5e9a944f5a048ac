"""The messages between entries about the pieces of stages.

How they travel is told by ``entry.messages``; who sends them, and what is made of them,
by ``serving.piece_orders`` and ``serving.piece_bookings``.
"""

import msgspec

__all__ = [
    "PiecesAnswer",
    "PiecesBook",
    "PiecesCancel",
    "PiecesDone",
    "PiecesOrder",
    "PiecesRelease",
]


class PiecesOrder(msgspec.Struct, frozen=True, tag=True):
    """Asks the owner of a queue to have pieces made; it takes or refuses at once.

    :ivar order_id: names the order; taking it twice changes nothing.
    :ivar key: the request's piece key.
    :ivar inputs: the handles of the results that each piece needs.
    :ivar start_ms: until the latest start that meets the objective.
    :ivar left_ms: until nobody waits any more.
    :ivar near: the data centre where much that it reads lies; empty for none.
    :ivar regions: where alone the pieces may be made; empty for anywhere.
    :ivar fingerprint: tells the request from others over all its returns.
    """

    order_id: str
    service: str
    request_id: str
    stage: int
    numbers: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    result_bytes: float
    priority: int
    invested: bool
    start_ms: int
    left_ms: int
    near: str = ""
    regions: tuple[str, ...] = ()
    fingerprint: bytes = b""


class PiecesBook(msgspec.Struct, frozen=True, tag=True):
    """Asks the owner of a queue whether an order that will come can be met.

    :ivar order_id: names the order to come.
    :ivar key: the request's piece key.
    :ivar start_ms: until its latest start.
    :ivar left_ms: until nobody waits any more.
    :ivar regions: where alone the pieces may be made; empty for anywhere.
    """

    order_id: str
    service: str
    request_id: str
    key: str
    count: int
    priority: int
    start_ms: int
    left_ms: int
    regions: tuple[str, ...] = ()


class PiecesAnswer(msgspec.Struct, frozen=True, tag=True):
    """Says whether an order or a booking was taken.

    :ivar wait_ms: the expected wait where it was not.
    """

    taken: bool
    wait_ms: int = 0


class PiecesDone(msgspec.Struct, frozen=True, tag=True):
    """Tells results of an order.

    :ivar results: of each piece its number, handle, the fault's name if any, and the
        data centre where the result lies.
    """

    order_id: str
    results: tuple[tuple[int, str, str, str], ...]


class PiecesCancel(msgspec.Struct, frozen=True, tag=True):
    """Says that an order is not waited for any more, or will not come."""

    service: str
    order_id: str


class PiecesRelease(msgspec.Struct, frozen=True, tag=True):
    """Says that results are not needed any more."""

    handles: tuple[str, ...]
