"""The parts of the platform's rules that are in force, translated into features.

The settings name the parts by the platform's own words. What a feature does is left to
the packages that it switches on.
"""

from collections.abc import Iterable

__all__ = ["accounts_compete"]

ACCOUNTS_COMPETE = "pressure"


def accounts_compete(contracts: Iterable[str]) -> bool:
    """Return whether a client account may demand many times its usual share."""
    return ACCOUNTS_COMPETE in contracts
