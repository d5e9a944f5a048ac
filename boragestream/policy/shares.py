"""How a limit over all entries is split into a share for each.

Every entry computes the same split from the same reports. An entry lowers its share at
once; it raises it only into what the others report to hold no more, so that no report
has to arrive at the same time as another for the sum to stay within the limit.
"""

from collections.abc import Mapping

__all__ = ["next_share", "split", "split_whole"]

# Entries without demand keep this part of a limit, so that a first request somewhere
# need not wait for the next reports.
IDLE_PART = 0.1


def split(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return each entry's share; the shares add up to the limit.

    What is not asked for is split evenly; where more is asked for than there is, the
    shares follow the demand.

    :param demands: by entry, in the unit of the limit.
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
    """Return each entry's share in whole numbers; they add up to the limit."""
    exact = split(limit, demands)
    shares = {name: int(share) for name, share in exact.items()}
    left = limit - sum(shares.values())
    by_rest = sorted(exact, key=lambda n: (shares[n] - exact[n], -demands[n], n))
    for name in by_rest[:left]:
        shares[name] += 1
    return shares


def next_share(
    limit: float, target: float, current: float, held_by_others: float
) -> float:
    """Return the share to hold from now on.

    :param target: this entry's part of the split.
    :param held_by_others: what the other entries last reported to hold.
    """
    if target <= current:
        return target
    return min(target, max(current, limit - held_by_others))
