"""Bounds extra attempts to a share of the first ones.

Retries and hedges each draw on a budget of their service. A share instead of a rate
keeps the extra load in proportion at any size, so that failures under load cannot
feed on themselves.
"""

import threading

__all__ = ["AttemptBudget", "BudgetTable"]

# What a quiet service may spend before its own requests have earned anything.
START_TOKENS = 2.0
MOST_TOKENS = 10.0


class AttemptBudget:
    """Tokens earned by first attempts and spent on extra ones."""

    def __init__(self) -> None:
        self._tokens = START_TOKENS
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """The extra attempts that may be made now."""
        return self._tokens

    def earn(self, share: float) -> None:
        """Count a first attempt.

        :param share: extra attempts for each first one, 0 to 1.
        """
        with self._lock:
            self._tokens = min(MOST_TOKENS, self._tokens + share)

    def spend(self) -> bool:
        """Take one token; False where there is none."""
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
