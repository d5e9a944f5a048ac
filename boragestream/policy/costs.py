"""What requests cost the backend servers, by client account and stage.

The seconds are those that an entry waited for a server, so that time on the network
and in the server's own queue is included. Putting the figures on a page is left to
``operator`` and the entry's status.
"""

import threading
from dataclasses import dataclass, replace
from enum import Enum

__all__ = ["CostTable", "Purpose", "Spent", "StageCost"]


class Purpose(Enum):
    """Why an attempt was made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Spent(Enum):
    """What became of the seconds of an attempt; the values name the counters."""

    USED = "used_seconds"
    LATE = "late_seconds"
    HEDGED = "hedged_seconds"
    FAILED = "failed_seconds"
    CANCELLED = "cancelled_seconds"


@dataclass(slots=True)
class StageCost:
    """The cost of one stage for one client account.

    :ivar attempts: attempts of every purpose.
    :ivar used_seconds: for answers that were used.
    :ivar late_seconds: wasted, since the deadline passed first.
    :ivar hedged_seconds: wasted on the losers of hedges.
    :ivar failed_seconds: wasted on attempts that failed, whether retried or not.
    :ivar cancelled_seconds: wasted, since the caller went away or another stage of
        the request failed.
    """

    attempts: int = 0
    hedges: int = 0
    retries: int = 0
    used_seconds: float = 0.0
    late_seconds: float = 0.0
    hedged_seconds: float = 0.0
    failed_seconds: float = 0.0
    cancelled_seconds: float = 0.0


class CostTable:
    """The costs by client account and stage, the latter as ``pipeline.stage``."""

    def __init__(self) -> None:
        self._costs: dict[tuple[str, str], StageCost] = {}
        self._lock = threading.Lock()

    def add(
        self, account: str, stage: str, purpose: Purpose, spent: Spent, seconds: float
    ) -> None:
        """Count one attempt that has ended."""
        with self._lock:
            cost = self._costs.setdefault((account, stage), StageCost())
            cost.attempts += 1
            cost.hedges += purpose is Purpose.HEDGE
            cost.retries += purpose is Purpose.RETRY
            setattr(cost, spent.value, getattr(cost, spent.value) + seconds)

    def snapshot(self) -> dict[str, dict[str, StageCost]]:
        """Return the costs by client account, then by stage, for status pages."""
        pages: dict[str, dict[str, StageCost]] = {}
        with self._lock:
            for (account, stage), cost in self._costs.items():
                pages.setdefault(account, {})[stage] = replace(cost)
        return pages
