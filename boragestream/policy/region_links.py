"""What an entry knows of the links to the other regions."""

from dataclasses import dataclass
from enum import Enum

from boragestream.base.clock import Clock
from boragestream.policy.regions import Regions

__all__ = ["RegionLinks", "TrafficKind"]


class TrafficKind(Enum):
    """What bytes between regions are for; the values are labels of metrics."""

    CALL = "call"
    ANSWER = "answer"
    RESULT = "result"
    ORDER = "order"
    EXCHANGE = "exchange"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class RegionLinks:
    """The links to the other regions; safe to use from any thread.

    :ivar regions: the regions, this entry's own included.
    """

    regions: Regions
    clock: Clock

    def reachable(self, region: str) -> bool:
        """Return whether entries or servers of a region answered recently."""
        return True

    def admits(self, region: str) -> bool:
        """Return whether optional traffic may be sent to a region now."""
        return True

    def round_trip_seconds(self, region: str) -> float:
        """Return the recent round trip to a region in seconds; 0 for the own one."""
        return 0.0

    def count(self, region: str, kind: TrafficKind, size: int) -> None:
        """Count bytes sent to a region or received from it.

        :param size: in bytes.
        """
