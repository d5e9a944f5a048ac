"""Enforces the client accounts' limits over all entries without shared state.

Each entry holds a share of every limit; the shares follow the demand that the entries
report to each other. An entry that stops reporting keeps its share until its report
expires. With fresh reports the shares add up to no more than the limit. If a partition
into k sides lasts longer than a lease, each side holds the whole limit in the worst
case, so that k times the limit is admitted. docs/design/admission.md has the derivation
and the measurements.
"""

import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from boragestream.base.clock import Clock
from boragestream.base.failures import AccountLimitReached
from boragestream.document import ClientAccount
from boragestream.policy.demand import LEASE_SECONDS, AccountDemand, DemandTable
from boragestream.policy.shares import next_share, split, split_whole
from boragestream.policy.token_bucket import TokenBucket

__all__ = ["AccountLimits", "account_key"]

REFRESH_SECONDS = 0.2
MEASUREMENT_SECONDS = 2.0
MIN_MEASUREMENT_SECONDS = 0.5
# A process that was inactive for this long was suspended: other entries may have taken
# over its shares, and its records of theirs are outdated.
PAUSE_SECONDS = LEASE_SECONDS / 2
# The retry delay at the concurrency limit. A slot becomes free when any request ends,
# and that time is not predictable.
SLOT_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0


def account_key(name: str) -> int:
    """Return the 32-bit hash that identifies an account in reports."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(slots=True)
class AccountState:
    """The state of one account at this entry.

    :ivar in_hand: the admitted requests that have not ended.
    :ivar slots: the number of requests that this entry may have in hand at once; None
        without a concurrency limit.
    :ivar arrived: the requests that have arrived since ``counted_from``.
    :ivar peak_wanted: the highest number of requests in hand since ``counted_from``,
        each arriving request included even if it was refused.
    :ivar reported_rate: the demand as last reported, in requests per second.
    :ivar reported_wanted: the demand as last reported, in requests in hand.
    """

    account: ClientAccount
    bucket: TokenBucket
    counted_from: float
    refreshed_at: float = float("-inf")
    in_hand: int = 0
    slots: int | None = None
    arrived: int = 0
    peak_wanted: int = 0
    reported_rate: float = 0.0
    reported_wanted: int = 0
    demand: AccountDemand = AccountDemand()


class AccountLimits:
    """The enforcement of the accounts' limits at one entry.

    :param own: this entry's name.
    :param table: the reports of the other entries.
    """

    def __init__(self, own: str, table: DemandTable, clock: Clock) -> None:
        self._own = own
        self._table = table
        self._clock = clock
        self._accounts: dict[str, AccountState] = {}
        self._active_at = clock.now()
        self._lock = threading.Lock()

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Admit and count a request, or return the limit that refuses it.

        :returns: None if admitted; otherwise the limit and the seconds to wait before
            a retry.
        """
        if account.requests_per_second is None and account.concurrency is None:
            return None
        now = self._clock.now()
        with self._lock:
            self._note_active(now)
            state = self._state(account, now)
            state.arrived += 1
            state.peak_wanted = max(state.peak_wanted, state.in_hand + 1)
            if state.slots is not None and state.in_hand >= state.slots:
                reached = AccountLimitReached(account.name, "concurrency")
                return reached, SLOT_RETRY_SECONDS
            if account.requests_per_second is not None and not state.bucket.take(now):
                reached = AccountLimitReached(account.name, "requests_per_second")
                return reached, min(MAX_RETRY_SECONDS, state.bucket.seconds_to_next())
            state.in_hand += 1
        return None

    def leave(self, account: ClientAccount) -> None:
        """Stop counting a request that was admitted."""
        with self._lock:
            state = self._accounts.get(account.name)
            if state is not None:
                state.in_hand = max(0, state.in_hand - 1)

    def demands(self) -> dict[int, AccountDemand]:
        """Return the demand to report, by account with limits that sent requests."""
        now = self._clock.now()
        with self._lock:
            self._note_active(now)
            for state in self._accounts.values():
                state.reported_rate, state.reported_wanted = _measure(state, now)
                self._update_shares(state, now)
            return {account_key(n): s.demand for n, s in self._accounts.items()}

    def shares(self, account: ClientAccount) -> tuple[float, int]:
        """Return this entry's shares of an account's rate and concurrency."""
        now = self._clock.now()
        with self._lock:
            state = self._state(account, now)
            return state.bucket.rate, state.slots or 0

    def _note_active(self, now: float) -> None:
        if now - self._active_at > PAUSE_SECONDS:
            self._table.reset()
            for state in self._accounts.values():
                state.refreshed_at = float("-inf")
        self._active_at = now

    def _state(self, account: ClientAccount, now: float) -> AccountState:
        state = self._accounts.get(account.name)
        if state is None:
            state = AccountState(account, TokenBucket(now), now)
            self._accounts[account.name] = state
        state.account = account
        self._refresh(state, now)
        return state

    def _refresh(self, state: AccountState, now: float) -> None:
        if now - state.refreshed_at >= REFRESH_SECONDS:
            self._update_shares(state, now)

    def _update_shares(self, state: AccountState, now: float) -> None:
        """Update this entry's shares from all reports, its own included.

        Its own demand counts as last reported, not as it is now, so that all entries
        split the limit by the same figures.
        """
        state.refreshed_at = now
        fresh = [report for _, report in self._table.unexpired_reports().values()]
        key = account_key(state.account.name)
        others = {r.entry: r.accounts.get(key, AccountDemand()) for r in fresh}
        awaited = len(self._table.awaiting_first_report() - set(others))
        rate = self._next_rate(state, others, awaited)
        slots = self._next_slots(state, others, awaited)
        state.bucket.set_rate(rate, now)
        state.slots = slots
        state.demand = AccountDemand(
            state.reported_rate, state.reported_wanted, rate, slots or 0
        )

    def _next_rate(
        self, state: AccountState, others: Mapping[str, AccountDemand], awaited: int
    ) -> float:
        limit = state.account.requests_per_second
        if limit is None:
            return 0.0
        # An entry that has not reported yet is assumed to hold an even share.
        limit -= awaited * limit / (1 + len(others) + awaited)
        demands = {
            self._own: state.reported_rate,
            **{n: d.rate for n, d in others.items()},
        }
        target = split(limit, demands)[self._own]
        held = sum(d.held_rate for d in others.values())
        return next_share(limit, target, state.bucket.rate, held)

    def _next_slots(
        self, state: AccountState, others: Mapping[str, AccountDemand], awaited: int
    ) -> int | None:
        limit = state.account.concurrency
        if limit is None:
            return None
        limit -= math.ceil(awaited * limit / (1 + len(others) + awaited))
        demands = {
            self._own: state.reported_wanted,
            **{n: d.slots for n, d in others.items()},
        }
        target = split_whole(limit, demands)[self._own]
        held = sum(d.held_slots for d in others.values())
        return max(0, int(next_share(limit, target, state.slots or 0, held)))


def _measure(state: AccountState, now: float) -> tuple[float, int]:
    """Return the demand; after ``MEASUREMENT_SECONDS`` a new measurement starts."""
    seconds = max(now - state.counted_from, MIN_MEASUREMENT_SECONDS)
    latest = state.arrived / seconds
    if seconds < MEASUREMENT_SECONDS:
        # A rise counts at once; a fall counts only after a complete measurement.
        return max(state.reported_rate, latest), max(
            state.reported_wanted, state.peak_wanted
        )
    wanted = state.peak_wanted
    state.arrived = 0
    state.peak_wanted = state.in_hand
    state.counted_from = now
    return latest, wanted
