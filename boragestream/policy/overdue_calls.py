"""When the answer to a call of a stage server is taken for lost.

Load pattern: servers run calls and their answers get lost on the way, without a reset.
A stage server works on one call at a time, so that one whose answer never comes looks
busy for as long as the call is waited for, while it has nothing to do: with three
answers in ten lost and a wait of two seconds and more a call, half of a service's work
is not done. A slow server looks the same from outside. It is told apart by asking the
server itself, which says whether it works on anything.
"""

from boragestream.document.calls import StageReport

__all__ = ["ASK_AGAIN_SECONDS", "answer_is_lost", "ask_after_seconds"]

# A server is asked once its call has taken half as long again as usual, and so many
# seconds more: reports are some hundred milliseconds old, and one from before the call
# began would say that there is nothing to do.
OVERDUE_FACTOR = 1.5
REPORT_AGE_SECONDS = 0.4
# A server that is still at work is asked again after this long; each question is
# counted, and saves nothing where the server is only slow.
ASK_AGAIN_SECONDS = 0.5


def ask_after_seconds(usual_seconds: float) -> float:
    """Return how long after its beginning a call's server is asked about it.

    :param usual_seconds: what the call takes on a server that is not slow.
    """
    return OVERDUE_FACTOR * usual_seconds + REPORT_AGE_SECONDS


def answer_is_lost(report: StageReport) -> bool:
    """Tell whether a server has nothing to do, though a call of it is open."""
    return not report.working and report.queued == 0
