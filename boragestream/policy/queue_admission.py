"""Decides which orders and bookings a stage service's queue accepts.

It combines the rules on shares of client accounts (``policy.queue_shares``), on late
orders (``policy.late_service``) and on the return of refused callers
(``policy.return_times``). ``policy.piece_queue`` has the rules on the expected wait,
which hold in any case.
"""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.policy.account_shares import Surplus
from boragestream.policy.late_service import (
    LateAdmission,
    LateOrder,
    LateService,
    refuse_late,
)
from boragestream.policy.queue_shares import QueueShares, ShareRequest
from boragestream.policy.return_times import RefusedOrder, ReturnTime, ReturnTimes

__all__ = ["QueueAdmission", "QueueClaim", "QueueRefusal"]

# The expected wait in seconds, when to return, or the surplus of a client account.
QueueRefusal = float | ReturnTime | Surplus


@dataclass(frozen=True, slots=True)
class QueueClaim:
    """What an order or a booking asks of a queue.

    :ivar account: the client account that it counts for; empty for none.
    :ivar count: the number of its pieces.
    :ivar urgency: 0 is the most urgent.
    :ivar late: what decides whether it is kept although it is late.
    :ivar expires: the clock's seconds at which its caller stops waiting.
    :ivar wait: its expected wait in seconds.
    :ivar longest_wait: the wait in seconds with which it would be accepted.
    :ivar spare_only: whether it may use only what the queue's own region doesn't need.
    """

    account: str
    count: int
    urgency: int
    late: LateOrder
    expires: float
    wait: float
    longest_wait: float
    spare_only: bool

    @property
    def is_first_attempt(self) -> bool:
        """Whether it is the first attempt of a caller of the queue's own region."""
        return not (self.late.returning or self.spare_only)


class QueueAdmission:
    """The rules of one queue; the owner must hold a lock.

    :param late: decides which orders are kept although they are late.
    :param shares: divides a shortage between client accounts; None to treat all orders
        alike.
    :param returns: decides when refused callers return; None to state the expected
        wait.
    """

    def __init__(
        self,
        late: LateService = refuse_late,
        shares: QueueShares | None = None,
        returns: ReturnTimes | None = None,
    ) -> None:
        self._late = LateAdmission(late)
        self._shares = shares
        self._returns = returns

    @property
    def late(self) -> LateAdmission:
        """Decides which orders are kept although they are late."""
        return self._late

    def judge_share(
        self,
        claim: QueueClaim,
        capacity: Callable[[], float],
        queued: Callable[[], int],
        now: float,
    ) -> Surplus | bool:
        """Return whether a claim is beyond its account's share, or its refusal.

        :param capacity: returns the pieces a second that the servers can run. Like
            ``queued``, it is called only in a shortage.
        :param queued: returns the number of all pieces that are queued or booked.
        """
        if self._shares is None:
            return False
        request = ShareRequest(
            claim.account,
            claim.count,
            claim.urgency,
            claim.late.returning,
            claim.wait,
            claim.longest_wait,
            claim.spare_only,
        )
        if not self._shares.record(request, now):
            return False
        return self._shares.judge(request, capacity(), queued(), now)

    def keeps_late(
        self,
        claim: QueueClaim,
        late_pieces: Callable[[], int],
        per_second: float,
        now: float,
    ) -> bool:
        """Return whether a claim is accepted even if it will be late.

        :param late_pieces: returns the number of all late pieces with those of the
            claim.
        :param per_second: the pieces a second that its servers do.
        """
        if claim.spare_only:
            return False
        wait = claim.wait
        return self._late.keeps(claim.late, late_pieces, wait, per_second, now)

    def record_demand(self, claim: QueueClaim, now: float) -> None:
        """Record a claim, accepted or not, that is not beyond its account's share."""
        if self._returns is not None and claim.is_first_attempt:
            self._returns.record(claim.count, now)

    def refuse(
        self, claim: QueueClaim, per_second: float, now: float
    ) -> float | ReturnTime:
        """Return when the caller of a refused claim should return.

        A caller whose chain is offered by another region returns there, so that it is
        given the expected wait.

        :param per_second: see ``keeps_late``.
        """
        if self._returns is None or claim.spare_only:
            return claim.wait
        returning = claim.late.returning
        refused = RefusedOrder(claim.count, claim.wait, claim.expires, returning)
        return self._returns.plan(refused, per_second, now) or claim.wait
