"""A straight line through measured points, with what it leaves over.

The capacity page takes its slopes from here; the residuals tell whether a line is the
right shape at all.
"""

import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

__all__ = ["Line", "fit_line"]

MIN_POINTS = 4


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    :ivar slope: units of y for one unit of x.
    :ivar intercept: y where x is 0.
    :ivar residuals: measured minus fitted y, in the order of the points.
    :ivar worst_share: the largest residual as a share of the range of y.
    """

    slope: float
    intercept: float
    residuals: tuple[float, ...]
    worst_share: float

    def as_json(self) -> dict[str, Any]:
        """Return the line as JSON data."""
        return asdict(self)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line.

    :param xs: at least four points.
    :param ys: the measured value at each.
    :raises ValueError: for fewer points.
    """
    if len(xs) < MIN_POINTS:
        raise ValueError(f"{len(xs)} points; a slope takes {MIN_POINTS}")
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = tuple(y - (slope * x + intercept) for x, y in zip(xs, ys, strict=True))
    spread = max(ys) - min(ys)
    worst = max(map(abs, residuals)) / spread if spread else 0.0
    return Line(slope, intercept, residuals, worst)
