"""When a caller whose request was not answered shall come back.

The time is the backlog over the drain rate. Callers that were told earlier to come
back are part of the backlog: without them all would be told the same time and return
together. A random factor spreads those that were told the same.
"""

import random

__all__ = ["ReturnSchedule", "spread"]

MIN_SECONDS = 0.05
MAX_SECONDS = 30.0
SPREAD = 0.25


def spread(seconds: float, rng: random.Random) -> float:
    """Return a time to come back near the given one, never below it by much."""
    bounded = min(MAX_SECONDS, max(MIN_SECONDS, seconds))
    return bounded * (1 + SPREAD * (2 * rng.random() - 1))


class ReturnSchedule:
    """The callers of one pipeline that were told to come back.

    Not safe without its owner's lock.

    :param rng: spreads the times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._booked_until = 0.0

    def retry_after(self, now: float, wait: float, drain_rate: float) -> float:
        """Return the seconds after which one more caller shall come back.

        :param wait: seconds that the requests in hand still need.
        :param drain_rate: requests that end in a second; 0 where it is not known.
        """
        earliest = now + wait
        booked = max(self._booked_until, earliest)
        step = 1 / drain_rate if drain_rate > 0 else 0.0
        self._booked_until = min(booked + step, now + MAX_SECONDS)
        return spread(booked - now, self._rng)
