"""Slow start: increases the share of a new server over a few seconds.

A new incarnation has empty caches, and a server may fail again after an ejection.
Neither should get the full number of calls from all entries at once.
"""

__all__ = ["EASE_SECONDS", "eased_limit", "eased_share"]

EASE_SECONDS = 3.0
FIRST_SHARE = 0.1


def eased_share(eased_from: float | None, now: float) -> float:
    """Return the share of its usual calls that a server should get, from 0.1 to 1.

    :param eased_from: when the easing began; None for a server that needs none.
    """
    if eased_from is None:
        return 1.0
    passed = max(0.0, now - eased_from) / EASE_SECONDS
    return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * passed)


def eased_limit(limit: float, share: float) -> float:
    """Return a server's concurrency limit reduced to its share; at least one call."""
    return max(1.0, limit * share)
