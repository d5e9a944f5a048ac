"""Decides when a call is hedged: sent to a second server before the first has failed.

A hedge begins once a call has taken longer than nearly all calls of its kind. Hedges
are limited to a share of the requests, which decreases with the cost weight, and are
not sent while the service has no spare capacity. Cancellation of the slower call is
left to ``serving.race``.
"""

from boragestream.policy.circuits import is_open
from boragestream.policy.load import ServerLoad
from boragestream.policy.times import RecentTimes

__all__ = ["has_spare_room", "hedge_delay", "hedge_share"]

HIGH_QUANTILE = 0.95
# The maximum delay as a multiple of the median. With a straggler among few servers the
# high quantile is the straggler's own time.
MAX_MEDIANS = 3.0
# The minimum delay as a multiple of the median. If the times hardly differ, calls
# exceed the high quantile without a straggler, and their hedges would use up the budget
# before a straggler appears.
MIN_MEDIANS = 1.5
# With a shorter delay, the cost of a hedge is about equal to its possible gain.
MIN_DELAY_SECONDS = 0.01


def hedge_delay(times: RecentTimes, kind: str) -> float | None:
    """Return the seconds after which a call is hedged; None while they are unknown."""
    high = times.quantile(kind, HIGH_QUANTILE)
    median = times.quantile(kind, 0.5)
    if high is None or median is None:
        return None
    delay = min(max(high, MIN_MEDIANS * median), MAX_MEDIANS * median)
    return max(MIN_DELAY_SECONDS, delay)


def hedge_share(share: float, cost_weight: float) -> float:
    """Return the allowed number of hedges per request.

    :param share: the share that the document allows.
    :param cost_weight: 0 allows the whole share, 1 allows no hedges.
    """
    return share * (1.0 - cost_weight)


def has_spare_room(load: ServerLoad, now: float) -> bool:
    """Return whether a hedge on a server would take no capacity from other calls."""
    if is_open(load.circuit, now):
        return False
    return load.calls(now) < load.slots()
