"""Decides whether a failed attempt is followed by another.

Only calls that are safe to repeat are retried: those that may run more than once, and
those that certainly were not run. A retry after an attempt that put load on a server is
taken from a budget, so that retries cannot multiply an overload.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "MAX_ATTEMPTS",
    "FailedAttempt",
    "Retry",
    "retry_delay_seconds",
    "retry_verdict",
]

MAX_ATTEMPTS = 3
BACKOFF_SECONDS = 0.02


class Retry(Enum):
    """Whether an attempt is followed by another, and the reason."""

    AGAIN = "another attempt is made"
    UNSAFE = "the call may have run and may not be repeated"
    ENOUGH = "the stage has had all its attempts"
    TOO_LATE = "the time left is less than an attempt needs"
    NO_BUDGET = "the service has spent its budget of retries"
    SWITCHED_OFF = "the document switches retries off"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The properties of a failed attempt that the decision depends on.

    :ivar may_have_run: whether the server may have run the call.
    :ivar free: whether it put no load on a server: it was never sent, or it was refused
        by a server that is leaving.
    """

    may_have_run: bool
    free: bool


def retry_verdict(
    failed: FailedAttempt,
    attempts: int,
    repeatable: bool,
    seconds_left: float,
    seconds_needed: float,
    switched_off: bool,
    spend: Callable[[], bool],
) -> Retry:
    """Decide whether to make another attempt.

    :param attempts: the number of attempts made so far, without hedges.
    :param repeatable: whether the call may run more than once.
    :param seconds_needed: the usual duration of an attempt; 0 if it is unknown.
    :param spend: takes one retry from the budget; returns False if none is left.
    """
    if failed.may_have_run and not repeatable:
        return Retry.UNSAFE
    if switched_off:
        return Retry.SWITCHED_OFF
    if attempts >= MAX_ATTEMPTS:
        return Retry.ENOUGH
    if seconds_left <= seconds_needed:
        return Retry.TOO_LATE
    if not failed.free and not spend():
        return Retry.NO_BUDGET
    return Retry.AGAIN


def retry_delay_seconds(attempts: int, rng: random.Random) -> float:
    """Return how long to wait before the next attempt on the same server."""
    return BACKOFF_SECONDS * attempts * rng.uniform(0.5, 1.5)
