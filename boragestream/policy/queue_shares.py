"""Divides a stage service's queue between client accounts, at the owner of the queue.

Load pattern: the surplus of one client account fills the queue of a stage service until
orders of all accounts are refused. The owner sees all orders of its service. During a
shortage, orders beyond an account's share wait behind all others, so that they take
only places in batches that no other account needs. They are accepted only if such
places are expected soon, and are refused at once otherwise.

There is a shortage while orders are expected to wait for much of the time that they
may wait. ``policy.account_shares`` computes the shares.

Borrowed orders are of chains that another region can't take. They divide what the own
region leaves, and a surplus gets none of it. They count neither as demand nor as a
shortage of the own region, whose accounts would lose their shares to them.
"""

import math
from dataclasses import dataclass, replace

from boragestream.policy.account_shares import AccountShares, Surplus

__all__ = ["QueueShares", "ShareRequest"]

# There is a shortage if an order is expected to wait for this part of the time that it
# may wait, or more.
SHORTAGE_PART = 0.5
# It is over if no order has been expected to wait so long for this time.
SHORTAGE_SECONDS = 1.0
# A surplus order is overtaken by orders that arrive after it, so it is accepted only
# with this part of the wait of other orders.
SURPLUS_WAIT_PART = 0.5
# Spare capacity below this part of all is not offered to a surplus; the demand is not
# known more exactly.
MIN_SPARE = 0.05


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """An order or a booking that asks for a share.

    :ivar urgency: see ``policy.urgency``.
    :ivar returning: whether its caller was refused before.
    :ivar wait: the expected wait in seconds without shares.
    :ivar longest_wait: the seconds that it may wait.
    :ivar borrowed: whether it needs capacity that the own region does not need.
    """

    account: str
    count: int
    urgency: int
    returning: bool
    wait: float
    longest_wait: float
    borrowed: bool = False


class QueueShares:
    """The shares of one queue; the owner must hold a lock.

    :ivar accounts: the shares of the own region's orders.
    """

    def __init__(self) -> None:
        self.accounts = AccountShares()
        self._borrowers = AccountShares()
        # Until when there is a shortage for own and for borrowed orders.
        self._short_until = {False: -math.inf, True: -math.inf}

    def record(self, request: ShareRequest, now: float) -> bool:
        """Record a request; return whether a shortage has to be divided."""
        if not request.account:
            return False
        if not request.returning:
            self._shares_of(request).record(request.account, request.count, now)
        if request.wait > SHORTAGE_PART * request.longest_wait:
            self._short_until[request.borrowed] = now + SHORTAGE_SECONDS
        is_short = now <= self._short_until[request.borrowed]
        # Without a server there is nothing to divide.
        return is_short and math.isfinite(request.wait)

    def judge(
        self, request: ShareRequest, capacity: float, pieces_queued: int, now: float
    ) -> Surplus | bool:
        """Return whether a recorded request is beyond its account's share.

        :param capacity: the pieces a second that the servers can run.
        :param pieces_queued: all pieces that are queued or booked.
        :returns: whether it is beyond the share, or the surplus if it is refused.
        """
        shares = self._shares_of(request)
        if request.borrowed:
            capacity = max(0.0, capacity - self.accounts.total_demand(now))
        surplus = shares.take(
            request.account,
            request.count,
            request.urgency,
            capacity,
            now,
            guaranteed=True,
        )
        if surplus is None:
            return False
        wait = self._surplus_wait(surplus, pieces_queued, capacity, now)
        longest = SURPLUS_WAIT_PART * request.longest_wait
        if max(request.wait, wait) <= longest and not request.borrowed:
            return True
        wait = shares.retry_after(surplus, request.count, now)
        return replace(surplus, wait_seconds=wait)

    def _shares_of(self, request: ShareRequest) -> AccountShares:
        return self._borrowers if request.borrowed else self.accounts

    def _surplus_wait(
        self, surplus: Surplus, pieces_queued: int, capacity: float, now: float
    ) -> float:
        """Return the seconds until a surplus order gets places that nobody needs."""
        others = self.accounts.total_demand(now) - surplus.demand
        spare = capacity - others - min(surplus.demand, surplus.share)
        if spare <= MIN_SPARE * capacity:
            return math.inf
        return pieces_queued / spare
