"""Detects calls of stage servers whose answers were lost.

Load pattern: servers run calls, and their answers are lost in transit without a
connection reset. A stage server runs one call at a time, so that a server whose answer
was lost appears busy until the call times out, although it is idle. With three answers
in ten lost and time-outs of two seconds and more, half of a service's work is not done.
From outside, a slow server looks the same. To distinguish the two, the server is
queried for whether it is working on a call.
"""

from boragestream.document.calls import StageReport

__all__ = ["QUERY_INTERVAL_SECONDS", "answer_is_lost", "query_delay_seconds"]

# A server is queried when its call has taken 1.5 times its usual duration plus an
# allowance for the age of reports: they are a few hundred milliseconds old, and one
# from before the call started would state that the server is idle.
OVERDUE_FACTOR = 1.5
REPORT_AGE_SECONDS = 0.4
# The interval between queries to a server that is still working. Each query is counted,
# and queries to a server that is merely slow gain nothing.
QUERY_INTERVAL_SECONDS = 0.5


def query_delay_seconds(usual_seconds: float) -> float:
    """Return how long after a call's start its server is queried about it.

    :param usual_seconds: the duration of the call on a server that is not slow.
    """
    return OVERDUE_FACTOR * usual_seconds + REPORT_AGE_SECONDS


def answer_is_lost(report: StageReport) -> bool:
    """Return whether a server that has an open call reports that it is idle."""
    return not report.working and report.queued == 0
