"""Deadline budgets: the time that a request needs, and the deadline of each stage.

The time needed is summed over the waves of a pipeline, since the stages of one wave run
concurrently. A stage without recent measurements is taken to need no time, so that
requests are admitted until durations have been measured.
"""

import math

from boragestream.document import Pipeline
from boragestream.document.waves import stage_waves
from boragestream.policy.stage_times import StageTimes

__all__ = ["idle_seconds", "needed_seconds", "running_seconds", "stage_deadline"]

# A higher quantile refuses requests that would have met their deadlines; a lower one
# admits requests that end late. See docs/design/admission.md.
NEEDED_QUANTILE = 0.9
MEDIAN = 0.5


def needed_seconds(times: StageTimes, pipeline: Pipeline, now: float) -> float:
    """Return the seconds that a request of a pipeline needs once it has begun.

    Stages are seldom slow together. Their durations above the medians are therefore
    added as independent deviations: the root of the sum of the squares.
    """
    medians = _wave_seconds(times, pipeline, MEDIAN, now)
    high_quantiles = _wave_seconds(times, pipeline, NEEDED_QUANTILE, now)
    squares = ((h - m) ** 2 for h, m in zip(high_quantiles, medians, strict=True))
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
    """Return the deadline of a stage, which reserves the time of the later stages.

    If less time is left than the stages need, it is divided in proportion to the needs.

    :param stage: the stage's name.
    :param deadline: the request's deadline.
    """
    waves = stage_waves(pipeline)
    wave_seconds = _wave_seconds(times, pipeline, NEEDED_QUANTILE, now)
    wave_index = next(i for i, w in enumerate(waves) if any(s.name == stage for s in w))
    later_seconds = sum(wave_seconds[wave_index + 1 :])
    if later_seconds == 0:
        return deadline
    left = max(0.0, deadline - now)
    share = left * wave_seconds[wave_index] / (wave_seconds[wave_index] + later_seconds)
    return max(deadline - later_seconds, now + share)


def _wave_seconds(
    times: StageTimes, pipeline: Pipeline, quantile: float, now: float
) -> list[float]:
    return [
        max(times.quantile(pipeline.name, stage.name, quantile, now) for stage in wave)
        for wave in stage_waves(pipeline)
    ]
