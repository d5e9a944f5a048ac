"""Time limits and delays of calls to the platform's store.

``policy.watching`` and ``policy.confirming`` schedule the calls.
"""

__all__ = [
    "MAX_ANSWER_SECONDS",
    "RESEND_SPREAD_SECONDS",
    "answer_seconds",
    "retry_delay_seconds",
]

# Initial and longest delay before a retry. A platform that did not answer may recover
# at any moment, but each call is charged, so the delay doubles up to the second value.
# A single watcher may take that long to detect the end of an outage; of several
# watchers, the first one to detect it informs the others.
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
# Watches that are cut at the same moment are sent again at random times within this
# span. If all were sent at once, a store that is not yet well could lose all of them,
# and no watcher would know of a change until they time out.
RESEND_SPREAD_SECONDS = 0.5
# How long the store may take to answer a call that does not wait. The first call after
# an answer gets a share of the bound: a lost one is replaced while the bound can still
# be kept. A call after a failure gets the longest time, as the store may be slow.
FIRST_ANSWER_SHARE = 0.2
MAX_ANSWER_SECONDS = 1.5


def answer_seconds(bound_seconds: float, failures: int) -> float:
    """Return how long the store may take to answer a call that does not wait.

    :param bound_seconds: the longest time until a published change must be in force.
    :param failures: the number of consecutive calls without an answer.
    """
    if failures:
        return MAX_ANSWER_SECONDS
    return min(MAX_ANSWER_SECONDS, FIRST_ANSWER_SHARE * bound_seconds)


def retry_delay_seconds(failures: int) -> float:
    """Return the delay after a number of consecutive calls without an answer."""
    # The exponent is bounded to prevent an overflow in a long outage.
    return min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(failures - 1, 16))
