"""When a second server is asked although the first has not failed.

A hedge begins once a call has taken longer than nearly all calls of its kind. It is
bounded by a share of the requests, less where cost weighs more, and stays away while
the service has no room to spare. Cancelling the loser is left to ``serving.race``.
"""

from boragestream.policy.circuits import is_open
from boragestream.policy.load import ServerLoad
from boragestream.policy.times import RecentTimes

__all__ = ["has_spare_room", "hedge_delay", "hedge_share"]

HIGH_QUANTILE = 0.95
# With a straggler among few servers the high quantile is the straggler's own time.
MOST_MEDIANS = 3.0
# Where times hardly differ, the high quantile is passed without any straggler, and
# such hedges would use up the budget before there is one.
LEAST_MEDIANS = 1.5
# Below this, a hedge costs about what it could gain.
LEAST_DELAY_SECONDS = 0.01


def hedge_delay(times: RecentTimes, kind: str) -> float | None:
    """Return after how many seconds a call is hedged; None while that is unknown."""
    high = times.quantile(kind, HIGH_QUANTILE)
    median = times.quantile(kind, 0.5)
    if high is None or median is None:
        return None
    delay = min(max(high, LEAST_MEDIANS * median), MOST_MEDIANS * median)
    return max(LEAST_DELAY_SECONDS, delay)


def hedge_share(share: float, cost_weight: float) -> float:
    """Return hedges for each request that may be made.

    :param share: the share that the document allows.
    :param cost_weight: 0 spends the whole share, 1 spends nothing.
    """
    return share * (1.0 - cost_weight)


def has_spare_room(load: ServerLoad, now: float) -> bool:
    """Tell whether a hedge on a server would take nothing from other calls."""
    if is_open(load.circuit, now):
        return False
    return load.calls(now) < load.slots()
