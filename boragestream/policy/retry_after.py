"""Retry times for callers whose requests were not answered.

The time is the backlog divided by the drain rate. The backlog includes the callers that
already have a retry time, since otherwise all callers would get the same time and
retry together. A random factor spreads callers with the same time.
"""

import random

__all__ = ["ReturnSchedule", "spread"]

MIN_SECONDS = 0.05
MAX_SECONDS = 30.0
SPREAD = 0.25


def spread(seconds: float, rng: random.Random) -> float:
    """Return a bounded and randomized retry time, in seconds."""
    bounded = min(MAX_SECONDS, max(MIN_SECONDS, seconds))
    return bounded * (1 + SPREAD * (2 * rng.random() - 1))


class ReturnSchedule:
    """The retry times given to the callers of one pipeline.

    The owner must hold a lock.

    :param rng: randomizes the retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._booked_until = 0.0

    def retry_after(self, now: float, wait: float, drain_rate: float) -> float:
        """Return the seconds after which another caller should retry.

        :param wait: seconds until the requests in progress are expected to have ended.
        :param drain_rate: the number of requests that end in a second; 0 if unknown.
        """
        earliest = now + wait
        booked = max(self._booked_until, earliest)
        step = 1 / drain_rate if drain_rate > 0 else 0.0
        self._booked_until = min(booked + step, now + MAX_SECONDS)
        return spread(booked - now, self._rng)
