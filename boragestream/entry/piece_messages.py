"""The messages between entries about the pieces of stages.

``entry.messages`` describes how they are sent. ``serving.piece_orders`` and
``serving.piece_bookings`` send and handle them. Orders, bookings and cancels omit the
fields that have their defaults, so that a deployment of one region sends none about
regions.
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


class PiecesOrder(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Orders pieces from the owner of a queue, which accepts or refuses at once.

    :ivar order_id: identifies the order; accepting it twice changes nothing.
    :ivar key: the request's piece key.
    :ivar inputs: the handles of the results that each piece needs.
    :ivar start_ms: the time until the latest start that meets the objective.
    :ivar left_ms: the time until no caller waits for the pieces any more.
    :ivar near: the data centre that holds much of the input; empty for none.
    :ivar regions: the only regions where the pieces may be made; empty for any.
    :ivar fingerprint: identifies the request, also when its caller returns.
    :ivar lead_ms: the time from the pieces' start to the request's answer; 0 if it is
        unknown.
    :ivar waited_ms: the time since the caller's first attempt, as far as ``start_ms``
        includes it.
    :ivar region: the region of the queue; empty for the queue over all regions.
    :ivar borrowed: whether the sender's own region could not take the chain.
    :ivar account: the client account; empty for none, and from entries that do not
        divide shortages between accounts.
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
    lead_ms: int = 0
    waited_ms: int = 0
    region: str = ""
    borrowed: bool = False
    account: str = ""


class PiecesBook(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Asks the owner of a queue whether it can meet a future order.

    :ivar order_id: identifies the future order.
    :ivar key: the request's piece key.
    :ivar start_ms: the time until its latest start.
    :ivar left_ms: the time until no caller waits for the pieces any more.
    :ivar regions: the only regions where the pieces may be made; empty for any.
    :ivar lead_ms: see ``PiecesOrder``.
    :ivar waited_ms: see ``PiecesOrder``.
    :ivar region: see ``PiecesOrder``.
    :ivar borrowed: see ``PiecesOrder``.
    :ivar account: see ``PiecesOrder``.
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
    lead_ms: int = 0
    waited_ms: int = 0
    region: str = ""
    borrowed: bool = False
    account: str = ""


class PiecesAnswer(msgspec.Struct, frozen=True, tag=True):
    """Accepts or refuses an order or a booking.

    :ivar taken: whether it was accepted.
    :ivar wait_ms: the expected wait if it was refused.
    :ivar waited_ms: the time since the caller's first attempt, as its owner knows it.
    :ivar over_share: whether it was refused as surplus of its client account, or
        accepted as such behind all others.
    :ivar planned: whether ``wait_ms`` is when the caller should return.
    """

    taken: bool
    wait_ms: int = 0
    waited_ms: int = 0
    over_share: bool = False
    planned: bool = False


class PiecesDone(msgspec.Struct, frozen=True, tag=True):
    """Reports results of an order.

    :ivar results: for each piece its number, its handle, the fault's name if any, and
        the data centre that holds the result.
    """

    order_id: str
    results: tuple[tuple[int, str, str, str], ...]


class PiecesCancel(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Cancels an order or a booking that is no longer needed.

    :ivar region: see ``PiecesOrder``.
    """

    service: str
    order_id: str
    region: str = ""


class PiecesRelease(msgspec.Struct, frozen=True, tag=True):
    """Releases results that are no longer needed."""

    handles: tuple[str, ...]
