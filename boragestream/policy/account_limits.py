"""Holds the client accounts' own limits over all entries, without shared state.

Each entry holds a share of every limit; the shares follow the demand that the entries
report to each other. A silent entry's share stays its own until its report expires.
With fresh reports the shares add up to no more than the limit. A partition into k
sides lasts longer than a lease at worst, and then each side holds the whole limit: k
times the limit are let in. docs/design/admission.md derives and measures this.
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
DEMAND_SECONDS = 2.0
MIN_DEMAND_SECONDS = 0.5
# A process that did nothing for so long was paused: the others may have taken over its
# shares, and what it knows of theirs is old.
PAUSE_SECONDS = LEASE_SECONDS / 2
# Slots come free when any request ends; nobody knows when that is.
SLOT_SECONDS = 0.5
MAX_SECONDS = 10.0


def account_key(name: str) -> int:
    """Return the short form of an account's name in reports."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(slots=True)
class AccountState:
    """One account at this entry.

    :ivar rate: the demand as it was last reported, requests in a second.
    :ivar wanted: the demand as it was last reported, requests in hand.
    :ivar arrived: requests since ``counted_from``.
    :ivar most_wanted: the most that would have been in hand since then.
    """

    account: ClientAccount
    bucket: TokenBucket
    counted_from: float
    refreshed_at: float = float("-inf")
    in_hand: int = 0
    slots: int | None = None
    arrived: int = 0
    most_wanted: int = 0
    rate: float = 0.0
    wanted: int = 0
    demand: AccountDemand = AccountDemand()


class AccountLimits:
    """The limits at one entry.

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
        """Count a request in, or say why not and after how many seconds to return."""
        if account.requests_per_second is None and account.concurrency is None:
            return None
        now = self._clock.now()
        with self._lock:
            self._note_active(now)
            state = self._state(account, now)
            state.arrived += 1
            state.most_wanted = max(state.most_wanted, state.in_hand + 1)
            if state.slots is not None and state.in_hand >= state.slots:
                reached = AccountLimitReached(account.name, "concurrency")
                return reached, SLOT_SECONDS
            if account.requests_per_second is not None and not state.bucket.take(now):
                reached = AccountLimitReached(account.name, "requests_per_second")
                return reached, min(MAX_SECONDS, state.bucket.seconds_to_next())
            state.in_hand += 1
        return None

    def leave(self, account: ClientAccount) -> None:
        """Count a request out."""
        with self._lock:
            state = self._accounts.get(account.name)
            if state is not None:
                state.in_hand = max(0, state.in_hand - 1)

    def demands(self) -> dict[int, AccountDemand]:
        """Return what to report: every account that has limits and was seen here."""
        now = self._clock.now()
        with self._lock:
            self._note_active(now)
            for state in self._accounts.values():
                state.rate, state.wanted = _measure(state, now)
                self._hold(state, now)
            return {account_key(n): s.demand for n, s in self._accounts.items()}

    def held(self, account: ClientAccount) -> tuple[float, int]:
        """Return this entry's shares of an account's rate and concurrency."""
        now = self._clock.now()
        with self._lock:
            state = self._state(account, now)
            return state.bucket.rate, state.slots or 0

    def _note_active(self, now: float) -> None:
        if now - self._active_at > PAUSE_SECONDS:
            self._table.expect_again()
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
            self._hold(state, now)

    def _hold(self, state: AccountState, now: float) -> None:
        """Hold the shares that follow from the reports, this entry's own included.

        The own demand counts as it was last reported and not as it is now, so that
        all entries split the limit by the same figures.
        """
        state.refreshed_at = now
        fresh = [report for _, report in self._table.fresh().values()]
        key = account_key(state.account.name)
        others = {r.entry: r.accounts.get(key, AccountDemand()) for r in fresh}
        awaited = len(self._table.awaited() - set(others))
        rate = self._next_rate(state, others, awaited)
        slots = self._next_slots(state, others, awaited)
        state.bucket.set_rate(rate, now)
        state.slots = slots
        state.demand = AccountDemand(state.rate, state.wanted, rate, slots or 0)

    def _next_rate(
        self, state: AccountState, others: Mapping[str, AccountDemand], awaited: int
    ) -> float:
        limit = state.account.requests_per_second
        if limit is None:
            return 0.0
        # An entry that has not reported yet is taken to hold an even share.
        limit -= awaited * limit / (1 + len(others) + awaited)
        demands = {self._own: state.rate, **{n: d.rate for n, d in others.items()}}
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
        demands = {self._own: state.wanted, **{n: d.slots for n, d in others.items()}}
        target = split_whole(limit, demands)[self._own]
        held = sum(d.held_slots for d in others.values())
        return max(0, int(next_share(limit, target, state.slots or 0, held)))


def _measure(state: AccountState, now: float) -> tuple[float, int]:
    """Return the demand; a new count begins after ``DEMAND_SECONDS``."""
    seconds = max(now - state.counted_from, MIN_DEMAND_SECONDS)
    latest = state.arrived / seconds
    if seconds < DEMAND_SECONDS:
        # A rise counts at once; a fall only when a whole count shows it.
        return max(state.rate, latest), max(state.wanted, state.most_wanted)
    wanted = state.most_wanted
    state.arrived = 0
    state.most_wanted = state.in_hand
    state.counted_from = now
    return latest, wanted
