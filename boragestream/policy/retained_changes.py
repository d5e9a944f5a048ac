"""Finds the oldest changes that the platform's store still has.

The store drops changes after some time, at times early, and answers a watch from an
earlier revision with nothing but the fact. Where its memory begins is found by watches
from revisions ever further back, and then by halving the rest.
"""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.policy.publication import Change, Changes, HistoryGone

__all__ = ["Retained", "read_retained"]

FIRST_STEP = 64
STEP_FACTOR = 8
# Enough for any revision up to 2 ** 40.
MAX_WATCHES = 60

Watch = Callable[[int], Changes | HistoryGone | Failure]


@dataclass(frozen=True, slots=True)
class Retained:
    """The changes that the store still has.

    :ivar start: the revision after which they are complete.
    :ivar revision: the revision up to which they are complete.
    :ivar changes: in the order in which they were made.
    """

    start: int
    revision: int
    changes: tuple[Change, ...]


def read_retained(watch: Watch, revision: int) -> Retained | Failure:
    """Return all changes that the store still has.

    :param watch: returns the changes after a revision without waiting for any.
    :param revision: the revision of the store.
    """
    gone, start, answer = -1, revision, None
    step = FIRST_STEP
    for _ in range(MAX_WATCHES):
        if gone < 0:
            after = max(0, revision - step)
            step *= STEP_FACTOR
        else:
            after = (gone + start) // 2
        found = watch(after)
        if isinstance(found, Changes):
            start, answer = after, found
        elif isinstance(found, HistoryGone):
            gone = after
        else:
            return found
        if start == 0 or (gone >= 0 and start - gone <= 1):
            break
    if answer is None:
        # Even the last change may have been dropped.
        return Retained(revision, revision, ())
    return Retained(start, answer.revision, answer.changes)
