"""Whether a failed attempt is followed by another.

Only what is safe is tried again: a call that may be repeated, or one that certainly
was not run. What costs a server anything draws on a budget, so that retries cannot
multiply an overload.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["MAX_ATTEMPTS", "FailedAttempt", "Retry", "pause_seconds", "retry_verdict"]

MAX_ATTEMPTS = 3
PAUSE_SECONDS = 0.02


class Retry(Enum):
    """Whether and why an attempt is followed by another."""

    AGAIN = "another attempt is made"
    UNSAFE = "the call may have run and may not be repeated"
    ENOUGH = "the stage has had all its attempts"
    TOO_LATE = "the time left is less than an attempt needs"
    NO_BUDGET = "the service has spent its budget of retries"
    SWITCHED_OFF = "the document switches retries off"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What counts of a failed attempt.

    :ivar may_have_run: whether the server may have run the call.
    :ivar free: whether it cost no server anything: never sent, or refused by a
        server that is leaving.
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
    """Decide on another attempt.

    :param attempts: attempts made so far, hedges not counted.
    :param seconds_needed: what an attempt usually takes; 0 while that is unknown.
    :param spend: takes one retry from the budget; False where there is none.
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


def pause_seconds(attempts: int, rng: random.Random) -> float:
    """Return how long to wait before the same server is tried again."""
    return PAUSE_SECONDS * attempts * rng.uniform(0.5, 1.5)
