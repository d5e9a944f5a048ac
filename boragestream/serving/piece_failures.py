"""The failures of stages whose pieces are made by the owner of a queue."""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.document.calls import PieceFault

__all__ = [
    "AnswerLost",
    "OfferUnanswered",
    "PieceFailed",
    "StageSaturated",
    "preferred_refusal",
]


@dataclass(frozen=True, slots=True)
class StageSaturated(Failure):
    """A stage can't be done in time.

    :ivar service: the service of the stage.
    :ivar wait_ms: the expected wait in milliseconds.
    :ivar returning: whether its caller was refused before.
    :ivar planned: whether the wait is when the queue plans to serve its caller.
    """

    service: str
    wait_ms: int
    returning: bool = False
    planned: bool = False


@dataclass(frozen=True, slots=True)
class PieceFailed(Failure):
    """A piece could not be made.

    :ivar service: the service of the stage.
    :ivar fault: why the piece could not be made.
    """

    service: str
    fault: PieceFault


@dataclass(frozen=True, slots=True)
class AnswerLost(Failure):
    """A stage server has nothing to do, and an answer that it owes never came."""

    server: str


@dataclass(frozen=True, slots=True)
class OfferUnanswered(Failure):
    """The owner of a queue of another region did not answer the offer of a chain.

    It may have accepted the offer and may run pieces of it, so that the chain must not
    be ordered elsewhere. The caller is told that the stage is saturated.

    :ivar service: the service of the stage.
    """

    service: str


def preferred_refusal(earlier: Failure | None, latest: StageSaturated) -> Failure:
    """Return which of the refusals of two regions the caller gets.

    A region that lends capacity plans no return, since the caller returns to its own.
    """
    if not isinstance(earlier, StageSaturated):
        return latest
    if earlier.planned and not latest.planned:
        return earlier
    return earlier if earlier.wait_ms <= latest.wait_ms else latest
