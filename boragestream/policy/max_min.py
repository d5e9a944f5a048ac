"""Weighted max-min fairness: divides a capacity between demands."""

import math
from collections.abc import Hashable, Mapping
from typing import TypeVar

__all__ = ["weighted_max_min"]

A = TypeVar("A", bound=Hashable)


def weighted_max_min(
    capacity: float, demands: Mapping[A, float], weights: Mapping[A, float]
) -> float:
    """Return the level: each account gets at most so much per unit of its weight.

    The lower of demand and level times weight add up to the capacity. The level is
    infinite if the demands fit into the capacity.
    """
    by_growth = sorted(
        demands, key=lambda a: demands[a] / weights[a] if weights[a] else math.inf
    )
    left, weight_left = capacity, sum(weights[a] for a in demands)
    for account in by_growth:
        level = max(0.0, left) / weight_left if weight_left > 0 else 0.0
        if demands[account] > level * weights[account]:
            return level
        left -= demands[account]
        weight_left -= weights[account]
    return math.inf
