"""Divides engines and plain services between client accounts, at each entry.

Load pattern: the surplus of one client account reaches engines through all entries at
once. Servers that are full refuse requests of all accounts, and no entry sees the whole
demand. Each entry adds to its own demand what the other entries report, and
extrapolates the demand of entries that are unknown.

A shortage is detected by refusals of full servers. The capacity is estimated from them:
it falls with each refusal and rises with each request that a server runs, so that it
does not depend on the number of entries. Until a server refuses again, the capacity
rises, and an account can use what the others leave.
"""

import math
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from boragestream.base.clock import Clock
from boragestream.policy.account_limits import account_key
from boragestream.policy.account_shares import AccountShares, Surplus, TotalDemand
from boragestream.policy.demand import AccountDemand, DemandTable

__all__ = ["ServiceShares", "demand_key"]

# With these two, about one attempt in twenty is refused by a full server during a
# shortage. Such an attempt is repeated at another server at once.
FALL = 0.9
RISE = 1.005
# After so many requests without a refusal, which are rare during a shortage, the
# capacity rises faster, so that an estimate from an earlier demand does not last.
SERVED_IN_A_ROW = 40
FAST_RISE = 1.03
# The upper bits of a key identify the service and the others the account: an entry thus
# recognizes accounts that it has not served itself. There are at most 64 services and
# 730 accounts.
ACCOUNT_BITS = 20
ACCOUNT_MASK = (1 << ACCOUNT_BITS) - 1
# Smaller demands a second are zero in the units of a report.
MIN_REPORTED = 0.005
# The reports are summed at most this often: hundreds of entries report 24 demands each.
SUM_SECONDS = 1.0
# An update takes 1.9 us an account. With 30 services in use and 730 accounts known at
# each, updates four times a second took 19% of a core, and take 1.4% with this.
ACCOUNTS_PER_UPDATE = 64
# Above this multiple of the demand, the capacity counts as sufficient again.
ENOUGH = 1.5
# The capacity also counts as sufficient this long after the last refusal by a server.
# An entry that forwards a request a second sees one about every 20 s in a shortage.
SHORTAGE_SECONDS = 30.0


@dataclass(slots=True)
class _Service:
    """The shares of one service.

    :ivar capacity: the estimated capacity a second at all entries; infinite if there is
        no shortage.
    :ivar full_at: when a server last refused a request because it is full.
    :ivar served_in_a_row: the requests that servers ran since then.
    """

    shares: AccountShares[int]
    capacity: float = math.inf
    full_at: float = -math.inf
    served_in_a_row: int = 0


def demand_key(service: str, account: str) -> int:
    """Return the key under which the demand of an account for a service is reported.

    Equal keys of two accounts, which are rare, merge their demand and share.
    """
    return _service_part(service) | account_key(account) & ACCOUNT_MASK


class ServiceShares:
    """The shares of all services at one entry; safe to use from any thread.

    :param table: the reports of the other entries.
    :param entries: returns the number of live entries, this one included.
    """

    def __init__(
        self, table: DemandTable, entries: Callable[[], int], clock: Clock
    ) -> None:
        self._table = table
        self._entries = entries
        self._clock = clock
        self._services: dict[str, _Service] = {}
        # The sums of all reports by key, and the entries whose demand they include.
        self._reported: Counter[int] = Counter()
        self._by_service: defaultdict[int, list[int]] = defaultdict(list)
        self._known = 1
        self._summed_at = -math.inf
        self._lock = threading.Lock()

    def admit(self, service: str, account: str, urgency: int) -> Surplus | None:
        """Record a request and return the surplus if it is to be refused as such."""
        if not account:
            return None
        now = self._clock.now()
        with self._lock:
            state = self._service(service)
            shares, key = state.shares, demand_key(service, account)
            shares.record(key, 1, now)
            demand = shares.total_demand(now)
            over = now - state.full_at > SHORTAGE_SECONDS
            if over or state.capacity > ENOUGH * demand:
                state.capacity = math.inf
            if math.isinf(state.capacity):
                return None
            # An account may always have grown as much as the others. Servers then
            # refuse requests of all accounts alike.
            growth = shares.growth_of_others(key, now)
            if math.isinf(growth):
                return None
            capacity = max(state.capacity, growth * shares.total_weight(now))
            surplus = shares.take(key, 1, urgency, capacity, now)
            if surplus is None:
                return None
            wait = shares.retry_after(surplus, 1, now)
            return replace(surplus, account=account, wait_seconds=wait)

    def note_served(self, service: str) -> None:
        """Record that a server ran a request."""
        with self._lock:
            state = self._service(service)
            state.served_in_a_row += 1
            fast = state.served_in_a_row > SERVED_IN_A_ROW
            state.capacity *= FAST_RISE if fast else RISE

    def note_full(self, service: str) -> None:
        """Record that a server refused a request because it is full."""
        now = self._clock.now()
        with self._lock:
            state = self._service(service)
            state.full_at, state.served_in_a_row = now, 0
            demand = state.shares.total_demand(now)
            if demand > 0:
                fallen = FALL * min(state.capacity, ENOUGH * demand)
                # Below the typical demand, all accounts are refused alike.
                state.capacity = max(fallen, state.shares.typical_demand(now))

    def demands(self) -> dict[int, AccountDemand]:
        """Return this entry's demand to report to other entries, by key."""
        now = self._clock.now()
        with self._lock:
            return {
                key: AccountDemand(rate=rate)
                for state in self._services.values()
                for key, rate in state.shares.demands(now).items()
                if rate >= MIN_REPORTED
            }

    def _service(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:

            def totals(here: Mapping[int, float]) -> TotalDemand:
                return self._totals(service, here)

            state = self._services[service] = _Service(
                AccountShares(totals, ACCOUNTS_PER_UPDATE)
            )
        return state

    def _totals(self, service: str, here: Mapping[int, float]) -> TotalDemand:
        """Return the demand at all entries from the demand at this one."""
        now = self._clock.now()
        if now - self._summed_at >= SUM_SECONDS:
            self._summed_at = now
            reports = self._table.unexpired_reports().values()
            self._known = 1 + len(reports)
            self._reported = Counter()
            for _, report in reports:
                for key, demand in report.accounts.items():
                    self._reported[key] += demand.rate
            self._by_service = defaultdict(list)
            for key in self._reported:
                self._by_service[key >> ACCOUNT_BITS].append(key)
        factor = max(1.0, self._entries() / self._known)
        reported = self._by_service[_service_part(service) >> ACCOUNT_BITS]
        totals = {key: factor * self._reported[key] for key in reported}
        for key, rate in here.items():
            totals[key] = totals.get(key, 0.0) + factor * rate
        return TotalDemand(totals, factor)


def _service_part(service: str) -> int:
    return account_key(service) >> ACCOUNT_BITS << ACCOUNT_BITS
