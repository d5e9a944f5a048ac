"""Limits additional attempts to a share of the first attempts.

Each service has one budget for retries and one for hedges. As a share, unlike a rate,
the additional load is proportional to the load at any scale, so that failures under
load can't cause a retry storm.
"""

import threading

__all__ = ["AttemptBudget", "BudgetTable"]

# The budget of a service before its first attempts have earned any tokens.
START_TOKENS = 2.0
MAX_TOKENS = 10.0


class AttemptBudget:
    """Tokens that first attempts earn and additional attempts spend."""

    def __init__(self) -> None:
        self._tokens = START_TOKENS
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """The number of additional attempts that may be made now."""
        return self._tokens

    def earn(self, share: float) -> None:
        """Add the tokens of a first attempt.

        :param share: additional attempts per first attempt, 0 to 1.
        """
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + share)

    def spend(self) -> bool:
        """Spend one token; return False if there is none."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
        return True


class BudgetTable:
    """The budgets by service."""

    def __init__(self) -> None:
        self._budgets: dict[str, AttemptBudget] = {}
        self._lock = threading.Lock()

    def of(self, service: str) -> AttemptBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            with self._lock:
                budget = self._budgets.setdefault(service, AttemptBudget())
        return budget
