"""The cost of requests on the backend servers, by client account and stage.

The cost is the time in seconds that an entry waited for a server, including the time on
the network and in the server's own queue. ``operator`` and the entry's status display
the figures.
"""

import threading
from dataclasses import dataclass, replace
from enum import Enum

__all__ = ["CostTable", "Purpose", "TimeUse", "StageCost"]


class Purpose(Enum):
    """The reason for an attempt."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class TimeUse(Enum):
    """How the seconds of an attempt were used; the values name the counters."""

    USED = "used_seconds"
    LATE = "late_seconds"
    HEDGED = "hedged_seconds"
    FAILED = "failed_seconds"
    CANCELLED = "cancelled_seconds"


@dataclass(slots=True)
class StageCost:
    """The cost of one stage for one client account.

    :ivar attempts: the number of attempts of every purpose.
    :ivar used_seconds: the time of answers that were used.
    :ivar late_seconds: the time wasted because the deadline passed first.
    :ivar hedged_seconds: the time wasted on the slower attempts of hedged calls.
    :ivar failed_seconds: the time wasted on failed attempts, whether retried or not.
    :ivar cancelled_seconds: the time wasted because the caller disconnected or another
        stage of the request failed.
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
    """The costs by client account and by stage, named ``pipeline.stage``."""

    def __init__(self) -> None:
        self._costs: dict[tuple[str, str], StageCost] = {}
        self._lock = threading.Lock()

    def add(
        self, account: str, stage: str, purpose: Purpose, spent: TimeUse, seconds: float
    ) -> None:
        """Add one attempt that has ended."""
        with self._lock:
            cost = self._costs.setdefault((account, stage), StageCost())
            cost.attempts += 1
            cost.hedges += purpose is Purpose.HEDGE
            cost.retries += purpose is Purpose.RETRY
            setattr(cost, spent.value, getattr(cost, spent.value) + seconds)

    def snapshot(self) -> dict[str, dict[str, StageCost]]:
        """Return a copy of the costs by client account, then by stage."""
        by_account: dict[str, dict[str, StageCost]] = {}
        with self._lock:
            for (account, stage), cost in self._costs.items():
                by_account.setdefault(account, {})[stage] = replace(cost)
        return by_account
