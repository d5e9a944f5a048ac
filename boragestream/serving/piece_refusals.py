"""Translates an owner's refusals of orders and bookings between entries."""

from boragestream.base.failures import AccountOverShare
from boragestream.entry.piece_messages import PiecesAnswer
from boragestream.policy.account_shares import Surplus
from boragestream.policy.return_times import ReturnTime
from boragestream.policy.service_queue import QueueRefusal
from boragestream.serving.owner_links import milliseconds
from boragestream.serving.piece_failures import StageSaturated

__all__ = ["answer_refusal", "wait_answer", "wait_refusal"]


def wait_answer(
    wait: QueueRefusal | None, waited_ms: int = 0, surplus: bool = False
) -> PiecesAnswer:
    """Return the answer to another entry.

    :param wait: the decision of the queue, see ``PieceBatches.submit``.
    :param surplus: whether it was accepted as surplus of its account.
    """
    if wait is None:
        return PiecesAnswer(taken=True, waited_ms=waited_ms, over_share=surplus)
    if isinstance(wait, Surplus):
        wait_ms = milliseconds(wait.wait_seconds)
        return PiecesAnswer(False, wait_ms, waited_ms, over_share=True)
    if isinstance(wait, ReturnTime):
        wait_ms = milliseconds(wait.wait_seconds)
        return PiecesAnswer(False, wait_ms, waited_ms, planned=True)
    return PiecesAnswer(False, milliseconds(wait), waited_ms)


def answer_refusal(
    service: str, account: str, answer: PiecesAnswer
) -> StageSaturated | AccountOverShare | None:
    """Return the refusal in an owner's answer; None if it accepted."""
    if answer.taken:
        return None
    if answer.over_share:
        return AccountOverShare(account, answer.wait_ms)
    returning = answer.waited_ms > 0
    return StageSaturated(service, answer.wait_ms, returning, answer.planned)


def wait_refusal(
    service: str, wait: QueueRefusal | None, waited_seconds: float = 0.0
) -> StageSaturated | AccountOverShare | None:
    """Return the refusal of a queue of this entry; None if it accepted.

    :param waited_seconds: the time since the first attempt of the request's caller.
    """
    if isinstance(wait, Surplus):
        return AccountOverShare(wait.account, milliseconds(wait.wait_seconds))
    if wait is None:
        return None
    returning = waited_seconds > 0
    if isinstance(wait, ReturnTime):
        wait_ms = milliseconds(wait.wait_seconds)
        return StageSaturated(service, wait_ms, returning, planned=True)
    return StageSaturated(service, milliseconds(wait), returning)
