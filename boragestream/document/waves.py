"""The order in which the stages of a pipeline can run.

Derived from the stages' needs alone; running them is left to ``serving.pipeline``.
"""

import functools

from boragestream.document.records import Pipeline, Stage

__all__ = ["stage_needs", "stage_waves"]


@functools.lru_cache(maxsize=256)
def stage_needs(pipeline: Pipeline) -> dict[str, tuple[str, ...]]:
    """Return the names of the stages that each stage needs."""
    needs = {}
    previous: tuple[str, ...] = ()
    for stage in pipeline.stages:
        needs[stage.name] = previous if stage.after is None else stage.after
        previous = (stage.name,)
    return needs


@functools.lru_cache(maxsize=256)
def stage_waves(pipeline: Pipeline) -> tuple[tuple[Stage, ...], ...]:
    """Return the stages in waves; a stage needs only stages of earlier waves."""
    needs = stage_needs(pipeline)
    depth: dict[str, int] = {}
    waves: list[list[Stage]] = []
    for stage in pipeline.stages:
        level = 1 + max((depth[name] for name in needs[stage.name]), default=-1)
        depth[stage.name] = level
        waves.extend([] for _ in range(level + 1 - len(waves)))
        waves[level].append(stage)
    return tuple(tuple(wave) for wave in waves)
