"""Deadline budgets: what a request still needs, and what one stage may take of it.

Needs are sums over the waves of a pipeline, since stages of one wave run side by side.
A stage without recent times needs nothing: the decisions are optimistic until they
have measured.
"""

import math

from boragestream.document import Pipeline
from boragestream.document.waves import stage_waves
from boragestream.policy.stage_times import StageTimes

__all__ = ["idle_seconds", "needed_seconds", "running_seconds", "stage_deadline"]

# A higher quantile refuses requests that would have made it; a lower one starts
# requests that end late. See docs/design/admission.md.
NEEDED_QUANTILE = 0.9
MEDIAN = 0.5


def needed_seconds(times: StageTimes, pipeline: Pipeline, now: float) -> float:
    """Return the seconds that a request of a pipeline needs once it has begun.

    Stages are seldom slow together, so that what they take beyond their medians is
    added as independent amounts are: the root of the sum of the squares.
    """
    medians = _wave_seconds(times, pipeline, MEDIAN, now)
    highs = _wave_seconds(times, pipeline, NEEDED_QUANTILE, now)
    squares = ((h - m) ** 2 for h, m in zip(highs, medians, strict=True))
    return sum(medians) + math.sqrt(sum(squares))


def idle_seconds(times: StageTimes, pipeline: Pipeline) -> float:
    """Return the seconds that a request of a pipeline needs on idle servers."""
    return sum(
        max(times.baseline(pipeline.name, stage.name) for stage in wave)
        for wave in stage_waves(pipeline)
    )


def running_seconds(times: StageTimes, pipeline: Pipeline, now: float) -> float:
    """Return the mean seconds that a request of a pipeline spends running."""
    return sum(
        max(times.mean(pipeline.name, stage.name, now) for stage in wave)
        for wave in stage_waves(pipeline)
    )


def stage_deadline(
    times: StageTimes, pipeline: Pipeline, stage: str, deadline: float, now: float
) -> float:
    """Return a stage's own deadline: what the later stages need is kept back.

    Where less is left than is needed, the stage has its share of what is left.

    :param stage: the stage's name.
    :param deadline: the request's deadline.
    """
    waves = stage_waves(pipeline)
    needs = _wave_seconds(times, pipeline, NEEDED_QUANTILE, now)
    here = next(i for i, w in enumerate(waves) if any(s.name == stage for s in w))
    later = sum(needs[here + 1 :])
    if later == 0:
        return deadline
    left = max(0.0, deadline - now)
    share = left * needs[here] / (needs[here] + later)
    return max(deadline - later, now + share)


def _wave_seconds(
    times: StageTimes, pipeline: Pipeline, quantile: float, now: float
) -> list[float]:
    return [
        max(times.quantile(pipeline.name, stage.name, quantile, now) for stage in wave)
        for wave in stage_waves(pipeline)
    ]
