"""How many calls an entry may have in progress on one server.

The limit rises by additive steps while the server keeps its least seen times and
falls by a factor when it queues. Entries do not know each other's calls: each adapts
from the times that it measures and from the load that servers report themselves.
Waiting for a server below its limit is left to ``policy.waiting``.
"""

from boragestream.policy.reports import LoadReport

__all__ = ["INITIAL_LIMIT", "is_full", "is_queueing", "next_limit"]

INITIAL_LIMIT = 8.0
LEAST_LIMIT = 1.0
GREATEST_LIMIT = 256.0
DECREASE = 0.8
# Times vary without any queue; what is slower than this by far is queueing.
TOLERATED_SLOWDOWN = 2.0
TOLERATED_SECONDS = 0.01
# A few calls waiting at the server keep it busy between two answers.
TOLERATED_QUEUE = 1.5


def is_queueing(seconds: float, least: float, report: LoadReport | None) -> bool:
    """Tell whether calls wait at a server.

    The server's own report goes before the times, since long answers and a busy
    entry raise times as well.

    :param seconds: the time of the answered call.
    :param least: the least time seen for calls of its kind.
    :param report: the server's report of this moment, None where it gives none.
    """
    if report is not None:
        return report.in_progress > report.slots * TOLERATED_QUEUE
    return seconds > least * TOLERATED_SLOWDOWN + TOLERATED_SECONDS


def next_limit(limit: float, in_progress: int, queueing: bool) -> float:
    """Return the limit after an answer.

    :param in_progress: calls of this entry, the answered one included.
    """
    if queueing:
        return max(LEAST_LIMIT, limit * DECREASE)
    if in_progress * 2 < limit:
        # An unused limit is no evidence that a higher one would do.
        return limit
    return min(GREATEST_LIMIT, limit + 1.0 / limit)


def is_full(calls: float, slots: int) -> bool:
    """Tell whether a server has as many calls of all entries as it shall have.

    :param calls: the expected calls in progress, of all entries.
    :param slots: how many calls the server runs at once; 0 for not known.
    """
    return slots > 0 and calls >= slots * TOLERATED_QUEUE
