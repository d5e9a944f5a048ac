"""The records about links between regions: states, measurements, kinds of traffic."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["LinkChange", "LinkReport", "LinkStatus", "TrafficKind"]


class TrafficKind(Enum):
    """What bytes between regions are for; the values are labels of metrics."""

    CALL = "call"
    ANSWER = "answer"
    RESULT = "result"
    ORDER = "order"
    EXCHANGE = "exchange"
    STORE = "store"


class LinkStatus(Enum):
    """The state of a link, in the order of severity."""

    REACHABLE = "reachable"
    SLOW = "slow"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class LinkChange:
    """A link that has changed its status.

    :ivar seconds: the recent round trip; 0 if unknown.
    :ivar minimum_seconds: the shortest round trip of the last minutes; 0 if unknown.
    """

    region: str
    before: LinkStatus
    status: LinkStatus
    seconds: float
    minimum_seconds: float


@dataclass(frozen=True, slots=True)
class LinkReport:
    """The latest measurement of a link that one entry knows, for the others.

    :ivar number: identifies the measurement; 0 if there is none.
    :ivar answered_age: the seconds since an entry of the region answered.
    :ivar seconds: the measured round trip.
    :ivar missed_age: the seconds since the latest request began whose answer is
        missing; infinite if none is.
    """

    region: str
    number: int
    answered_age: float
    seconds: float
    missed_age: float
