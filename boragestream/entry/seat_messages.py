"""The messages for taking and returning seats at brittle servers.

The envelope and the rule for added fields are described in ``entry.messages``.
"""

import msgspec

__all__ = ["PackedBrittle", "SeatAsk", "SeatReply", "SeatReturn"]

# The service, the record's revision, and the places at each server (-1 if the service
# is no longer brittle).
PackedBrittle = tuple[str, int, int]


class SeatAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks for a seat at a brittle server.

    :ivar record: the sender's record of the service.
    :ivar slots: the calls that the server works on at a time; 0 if unknown.
    :ivar hold_ms: for how long the seat is held at the most.
    :ivar unseated: calls of the sender at the server that have no seat.
    :ivar held: the numbers of the sender's seats at the server, whichever entry granted
        them; earlier releases do not send them.
    """

    server: str
    host: str
    incarnation: str
    service: str
    data_centre: str
    record: PackedBrittle
    slots: int
    hold_ms: int
    unseated: int = 0
    held: tuple[int, ...] = ()


class SeatReply(msgspec.Struct, frozen=True, tag=True):
    """Grants or refuses a seat.

    :ivar number: identifies the seat at the granting entry; 0 if refused.
    :ivar wait_ms: if refused, the expected time until a seat is free.
    """

    number: int
    wait_ms: int = 0


class SeatReturn(msgspec.Struct, frozen=True, tag=True):
    """Returns a seat.

    :ivar linger_ms: for how long the call may still be at the server.
    :ivar rejected: whether the server rejected the call for want of room.
    """

    number: int
    linger_ms: int = 0
    rejected: bool = False
