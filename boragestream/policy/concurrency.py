"""Adaptive limit of the calls that an entry may have in progress on one server.

The limit increases additively while the server's times stay close to the minimum, and
decreases multiplicatively when calls queue at the server. Calls that last, such as
streams, increase it while they run, if the server reports free slots: otherwise no
further call would start until one of them ends. Entries do not know each
other's calls: each entry adapts its limit to the times that it measures and to the load
that the servers report. Waiting for a server below its limit is left to
``policy.waiting``.
"""

from boragestream.policy.reports import LoadReport

__all__ = ["INITIAL_LIMIT", "is_full", "is_queueing", "limit_with_report", "next_limit"]

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
DECREASE_FACTOR = 0.8
# Times vary also without a queue. A call counts as queued only above this multiple of
# the minimum time plus this many seconds.
TOLERATED_SLOWDOWN = 2.0
TOLERATED_SECONDS = 0.01
# Calls in progress per slot. A few calls that wait at the server keep it busy between
# two answers.
TOLERATED_QUEUE = 1.5


def is_queueing(seconds: float, least: float, report: LoadReport | None) -> bool:
    """Return whether calls queue at a server.

    The server's own report takes precedence over the times, since long answers and a
    busy entry also increase the times.

    :param seconds: the duration of the answered call.
    :param least: the minimum duration of calls of its kind.
    :param report: the server's current report; None if it gives none.
    """
    if report is not None:
        return report.in_progress > report.slots * TOLERATED_QUEUE
    return seconds > least * TOLERATED_SLOWDOWN + TOLERATED_SECONDS


def next_limit(limit: float, in_progress: int, queueing: bool) -> float:
    """Return the limit after an answer.

    :param in_progress: this entry's calls in progress, including the answered one.
    """
    if queueing:
        return max(MIN_LIMIT, limit * DECREASE_FACTOR)
    if in_progress * 2 < limit:
        # A limit that is not reached gives no evidence that a higher one would work.
        return limit
    return min(MAX_LIMIT, limit + 1.0 / limit)


def limit_with_report(limit: float, in_progress: int, report: LoadReport) -> float:
    """Return the limit after the report of a server that has begun a lasting call.

    :param in_progress: this entry's calls in progress, including that one.
    """
    if in_progress * 2 < limit or report.in_progress >= report.slots:
        return limit
    return min(MAX_LIMIT, limit + 1.0)


def is_full(calls: float, slots: int) -> bool:
    """Return whether a server has reached the most calls allowed for its slots.

    :param calls: the expected number of calls in progress, of all entries.
    :param slots: the number of calls that the server runs at once; 0 if not known.
    """
    return slots > 0 and calls >= slots * TOLERATED_QUEUE
