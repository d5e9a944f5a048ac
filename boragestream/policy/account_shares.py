"""Divides what is scarce at one place between client accounts, by weighted fairness.

Load pattern: one of 16 client accounts sends eight times its typical demand, to all
entries alike. Without shares, requests are refused or late in the order in which they
arrive, so that the other accounts, which have not changed, lose as much as the one that
causes the shortage.

The weight of an account is its typical demand, a slow average. In a shortage an account
is guaranteed capacity in proportion to its weight, and what others leave unused is
divided by weighted max-min fairness. Only an account whose demand has grown clearly
more than that of the others has a surplus. A shortage in which all demands grow alike
is left to the rules of the place, which treat all alike.

The place detects the shortage; nothing is decided here without one. The state is not
thread-safe: the owner of the place must hold a lock.
"""

import math
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from boragestream.policy.max_min import weighted_max_min
from boragestream.policy.urgency import ROUTE_LEVELS

__all__ = ["AccountShares", "Surplus", "TotalDemand"]

# Demand is averaged over about this time. The average of an account that begins to send
# eight times its demand is doubled after 0.3 s; over a shorter time, random arrivals
# change it as much.
RECENT_SECONDS = 2.0
# Typical demand is averaged over about this time once it is known that long.
TYPICAL_SECONDS = 60.0
# The mean weight counts as this many seconds of observed demand of a new account. At a
# new owner, an account with three times the mean demand has its weight after 8 s.
PRIOR_SECONDS = 4.0
# The demand that enters a weight is at most this multiple of the weight, so that a
# surplus raises the weight of its account slowly: a surplus of 15 s by a twentieth.
WEIGHT_GROWTH = 1.1
# The same while the account has been observed for less than the given time, in which
# the weights of a new owner move from the mean to the demands.
LEARNING_GROWTH = 2.0
LEARNING_SECONDS = 8.0
# An account in use keeps this part of the mean weight, so that the first requests after
# a quiet time are not a surplus.
MIN_WEIGHT = 0.1
# The growth of an account's demand relative to the growth of the others' above which
# it has a surplus.
EXCESS_GROWTH = 1.5
# Standard deviations by which random arrivals may exceed this. With 16 accounts, three
# leave about one false finding in fifty independent measurements.
NOISE_DEVIATIONS = 3.0
UPDATE_SECONDS = 0.25
# An account may use its guaranteed capacity of this time at once.
BURST_SECONDS = 1.0
# The part of the burst that less urgent requests leave to more urgent ones of the same
# account, by the level of their route.
RESERVED = (0.0, 0.25, 0.5)
# A caller that would have to wait longer than this will not return.
MAX_RETRY_SECONDS = 5.0
# Shares a second below this are treated as this, so that waits stay finite.
MIN_RATE = 1e-6
# An account without a request for this time is dropped.
IDLE_SECONDS = 3 * TYPICAL_SECONDS


# Names an account.
A = TypeVar("A", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Surplus(Generic[A]):
    """A request beyond its account's share, with the figures of the decision.

    :ivar wait_seconds: when the account's own backlog will have been served.
    :ivar demand: the account's recent demand a second, refused requests included.
    :ivar weight: its typical demand a second.
    :ivar level: the share of each account a second, per unit of weight.
    """

    account: A
    wait_seconds: float
    demand: float
    weight: float
    level: float

    @property
    def share(self) -> float:
        """The account's share a second."""
        return self.level * self.weight


@dataclass(frozen=True, slots=True)
class TotalDemand(Generic[A]):
    """The demand at all entries.

    :ivar by_account: the demand a second.
    :ivar extrapolated: the factor by which it was raised for entries whose demand is
        unknown.
    """

    by_account: Mapping[A, float]
    extrapolated: float = 1.0


@dataclass(slots=True)
class _Account:
    """The measured demand of one account.

    :ivar arrived: the amount since the last update.
    :ivar size: the mean amount of a request.
    :ivar recent: the recent demand a second.
    :ivar total: the recent demand a second at all entries, see ``AccountShares``.
    :ivar typical: the sum over the observed time that the weight is computed from.
    :ivar observed: the same sum, with demand that exceeds the growth of weights.
    :ivar seconds: the observed time; older time counts less.
    :ivar weight: the typical demand a second.
    :ivar tokens: the guaranteed capacity that it may use at once.
    :ivar return_at: when the backlog of its refused requests will have been served.
    """

    used_at: float
    arrived: float = 0.0
    size: float = 0.0
    recent: float = 0.0
    total: float = 0.0
    typical: float = 0.0
    observed: float = 0.0
    seconds: float = 0.0
    weight: float = 0.0
    tokens: float = 0.0
    tokens_at: float = -math.inf
    return_at: float = 0.0


class AccountShares(Generic[A]):
    """The shares at one place where requests wait or are refused.

    :param all_entries: returns the demand at all entries from the demand at this one;
        by default this entry sees all demand of the place.
    :param accounts_per_update: with more accounts than this, the averages are updated
        less often in proportion, for places of which an entry has many.
    """

    def __init__(
        self,
        all_entries: Callable[[Mapping[A, float]], TotalDemand[A]] = lambda here: (
            TotalDemand(here)
        ),
        accounts_per_update: float = math.inf,
    ) -> None:
        self._all_entries = all_entries
        self._accounts_per_update = accounts_per_update
        self._accounts: dict[A, _Account] = {}
        self._began_at: float | None = None
        self._updated_at = 0.0
        self._mean_weight = 1.0
        # The sums over all accounts, and the level for the capacity asked for last.
        self._weight = 0.0
        self._demand = 0.0
        self._extrapolated = 1.0
        self._level: tuple[float, float] | None = None

    def record(self, account: A, amount: float, now: float) -> None:
        """Record demand; a retry of a refused request is no further demand."""
        self._update(now)
        state = self._state(account, now)
        state.used_at = now
        state.arrived += amount
        state.size += (amount - state.size) / 8 if state.size else amount

    def demands(self, now: float) -> dict[A, float]:
        """Return the recent demand a second at this entry, by account."""
        self._update(now)
        return {name: state.recent for name, state in self._accounts.items()}

    def total_demands(self, now: float) -> dict[A, float]:
        """Return the recent demand a second at all entries, by account."""
        self._update(now)
        return {name: state.total for name, state in self._accounts.items()}

    def growth_of_others(self, account: A, now: float) -> float:
        """Return the recent demand of the other accounts per unit of their weight."""
        self._update(now)
        state = self._accounts.get(account)
        others = self._weight - state.weight if state is not None else 0.0
        if others <= 0:
            return math.inf
        return max(0.0, self._demand - state.total) / others

    def total_weight(self, now: float) -> float:
        """Return the sum of all weights."""
        self._update(now)
        return self._weight

    def total_demand(self, now: float) -> float:
        """Return the recent demand a second of all accounts at all entries."""
        self._update(now)
        return self._demand

    def typical_demand(self, now: float) -> float:
        """Return the part of the total demand that is within the weights."""
        self._update(now)
        return sum(min(s.total, s.weight) for s in self._accounts.values())

    def weights(self, now: float) -> dict[A, float]:
        """Return the weights, by account."""
        self._update(now)
        return {name: state.weight for name, state in self._accounts.items()}

    def level(self, capacity: float, now: float) -> float:
        """Return the max-min level for a capacity a second."""
        self._update(now)
        if self._level is None or self._level[0] != capacity:
            demands, weights = self.total_demands(now), self.weights(now)
            level = weighted_max_min(capacity, demands, weights)
            self._level = (capacity, level)
        return self._level[1]

    def exceeds_share(self, account: A, capacity: float, now: float) -> bool:
        """Return whether the demand of an account is clearly beyond its share.

        :param capacity: what the place serves a second, of all accounts.
        """
        self._update(now)
        state = self._accounts.get(account)
        growth = self.growth_of_others(account, now)
        if state is None or math.isinf(growth):
            return False
        expected = state.weight * growth
        # Of random arrivals at the entries whose demand is known.
        size = state.size * self._extrapolated
        window = min(2 * RECENT_SECONDS, max(UPDATE_SECONDS, now - self._began_at))
        deviation = math.sqrt(expected * size / window)
        bound = EXCESS_GROWTH * expected + NOISE_DEVIATIONS * deviation
        if state.total <= bound:
            return False
        return state.total > self.level(capacity, now) * state.weight

    def take(
        self,
        account: A,
        amount: float,
        urgency: int,
        capacity: float,
        now: float,
        guaranteed: bool = False,
    ) -> Surplus[A] | None:
        """Admit a request into its account's share, or return it as surplus.

        Call this only during a shortage.

        :param urgency: see ``policy.urgency``; more urgent kinds go first.
        :param capacity: what the place serves a second, of all accounts.
        :param guaranteed: whether the share is what the account gets if all others
            have demand beyond theirs.
        """
        if not self.exceeds_share(account, capacity, now):
            return None
        state, level = self._accounts[account], self.level(capacity, now)
        if guaranteed:
            level = min(level, capacity / self._weight)
        # This entry's part of the share.
        here = state.recent / state.total if state.total > 0 else 1.0
        rate = max(level * state.weight * here, MIN_RATE)
        burst = max(rate * BURST_SECONDS, 2 * state.size)
        earned = (now - state.tokens_at) * rate
        if now - state.tokens_at > max(BURST_SECONDS, burst / rate):
            # It has had more than its share until now.
            state.tokens = earned = 0.0
        state.tokens = min(burst, state.tokens + earned)
        state.tokens_at = now
        reserved = burst * RESERVED[urgency % ROUTE_LEVELS]
        if state.tokens >= min(burst, amount + reserved):
            state.tokens -= amount
            return None
        missing = amount + reserved - state.tokens
        wait = max(0.0, missing / rate)
        return Surplus(account, wait, state.total, state.weight, level)

    def retry_after(self, surplus: Surplus[A], amount: float, now: float) -> float:
        """Return the wait of a refused surplus behind its account's own backlog."""
        state = self._accounts[surplus.account]
        here = state.recent / state.total if state.total > 0 else 1.0
        rate = max(surplus.share * here, MIN_RATE)
        earliest = max(state.return_at, now + surplus.wait_seconds)
        state.return_at = min(earliest + amount / rate, now + MAX_RETRY_SECONDS)
        return min(MAX_RETRY_SECONDS, earliest - now)

    def _state(self, account: A, now: float) -> _Account:
        state = self._accounts.get(account)
        if state is None:
            state = self._accounts[account] = _Account(now)
            state.weight = self._mean_weight
            self._weight += state.weight
        return state

    def _update(self, now: float) -> None:
        """Bring the averages up to date."""
        if self._began_at is None:
            self._began_at = self._updated_at = now
        elapsed = now - self._updated_at
        many = len(self._accounts) / self._accounts_per_update
        if elapsed < UPDATE_SECONDS * max(1.0, many):
            return
        self._updated_at = now
        # The mean since the start, until that is longer than the usual time.
        age = now - self._began_at
        kept = 1 - elapsed / age
        if age >= RECENT_SECONDS:
            kept = math.exp(-elapsed / RECENT_SECONDS)
        for name, state in list(self._accounts.items()):
            rate = state.arrived / elapsed
            state.recent = state.recent * kept + rate * (1 - kept)
            state.arrived = 0.0
            if now - state.used_at > IDLE_SECONDS:
                del self._accounts[name]
        here = {name: state.recent for name, state in self._accounts.items()}
        totals = self._all_entries(here)
        self._extrapolated = totals.extrapolated
        for name, total in totals.by_account.items():
            self._state(name, now).total = total
        self._update_weights(elapsed)

    def _update_weights(self, elapsed: float) -> None:
        kept = math.exp(-elapsed / TYPICAL_SECONDS)
        states = self._accounts.values()
        for state in states:
            learning = state.seconds < LEARNING_SECONDS
            growth = LEARNING_GROWTH if learning else WEIGHT_GROWTH
            most = growth * state.weight + state.size / RECENT_SECONDS
            state.typical = state.typical * kept + min(state.total, most) * elapsed
            state.observed = state.observed * kept + state.total * elapsed
            state.seconds = state.seconds * kept + elapsed
        means = [state.observed / state.seconds for state in states]
        self._mean_weight = (sum(means) / len(means) if means else 0.0) or 1.0
        for state in states:
            prior = PRIOR_SECONDS * self._mean_weight
            typical = (prior + state.typical) / (PRIOR_SECONDS + state.seconds)
            state.weight = max(typical, MIN_WEIGHT * self._mean_weight)
        self._weight = sum(state.weight for state in states)
        self._demand = sum(state.total for state in states)
        self._level = None
