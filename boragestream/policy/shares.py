"""Splits a limit over all entries into a share for each entry.

Every entry computes the same split from the same reports. An entry lowers its share at
once, but raises it only into the part of the limit that no other entry reports to hold.
The sum thus stays within the limit even if the reports arrive at different times.
"""

from collections.abc import Mapping

__all__ = ["next_share", "split", "split_whole"]

# If the demand exceeds the limit, this part of the limit is split evenly over all
# entries, so that a first request at an entry without demand need not wait for the next
# reports.
IDLE_PART = 0.1


def split(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return each entry's share; the shares add up to the limit.

    If the demands fit into the limit, the rest is split evenly; otherwise the shares
    follow the demands.

    :param demands: the demand of each entry, in the unit of the limit.
    """
    count = len(demands)
    total = sum(demands.values())
    if total <= limit:
        spare = (limit - total) / count
        return {name: demand + spare for name, demand in demands.items()}
    idle = limit * IDLE_PART / count
    shared = limit * (1 - IDLE_PART) / total
    return {name: idle + demand * shared for name, demand in demands.items()}


def split_whole(limit: int, demands: Mapping[str, float]) -> dict[str, int]:
    """Return each entry's share as a whole number; the shares add up to the limit."""
    exact = split(limit, demands)
    shares = {name: int(share) for name, share in exact.items()}
    remaining = limit - sum(shares.values())
    by_remainder = sorted(exact, key=lambda n: (shares[n] - exact[n], -demands[n], n))
    for name in by_remainder[:remaining]:
        shares[name] += 1
    return shares


def next_share(
    limit: float, target: float, current: float, held_by_others: float
) -> float:
    """Return the share that this entry may hold from now on.

    :param target: this entry's share of the split.
    :param current: the share that this entry holds now.
    :param held_by_others: the sum of the shares last reported by the other entries.
    """
    if target <= current:
        return target
    return min(target, max(current, limit - held_by_others))
