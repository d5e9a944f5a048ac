"""Takes a request through its stages, in the order that their needs give.

Stages that need nothing of one another run side by side. The last stage's result is
the answer; where it generates, it can be streamed.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from boragestream.backend.attempt import OpenAnswer
from boragestream.backend.calls import StageInput
from boragestream.base.outcomes import Failure
from boragestream.document import Pipeline, Stage
from boragestream.serving.request import RequestRecord
from boragestream.serving.stage import StageRunner

__all__ = ["PipelineRunner", "stage_needs", "stage_waves"]


def stage_needs(pipeline: Pipeline) -> dict[str, tuple[str, ...]]:
    """Return the names of the stages that each stage needs."""
    needs = {}
    previous: tuple[str, ...] = ()
    for stage in pipeline.stages:
        needs[stage.name] = previous if stage.after is None else stage.after
        previous = (stage.name,)
    return needs


def stage_waves(pipeline: Pipeline) -> list[list[Stage]]:
    """Return the stages in waves; a stage needs only stages of earlier waves."""
    needs = stage_needs(pipeline)
    depth: dict[str, int] = {}
    waves: list[list[Stage]] = []
    for stage in pipeline.stages:
        level = 1 + max((depth[name] for name in needs[stage.name]), default=-1)
        depth[stage.name] = level
        waves.extend([] for _ in range(level + 1 - len(waves)))
        waves[level].append(stage)
    return waves


@dataclass(frozen=True, slots=True)
class PipelineRunner:
    """Runs pipelines.

    :ivar stages: runs single stages.
    :ivar side_by_side: runs stages of one wave beside one another.
    """

    stages: StageRunner
    side_by_side: ThreadPoolExecutor

    def run(self, request: RequestRecord) -> Any | Failure:
        """Run all stages and return the last one's result, or the first failure."""
        results = self._run_waves(request, stage_waves(request.pipeline))
        if isinstance(results, Failure):
            return results
        return results[request.pipeline.stages[-1].name]

    def open_stream(self, request: RequestRecord) -> OpenAnswer | Failure:
        """Run all stages but the last whole, and the last up to its first bytes."""
        *waves, last = stage_waves(request.pipeline)
        results = self._run_waves(request, waves)
        if isinstance(results, Failure):
            return results
        stage = last[0]
        stage_input = _input(request, stage, results)
        return self.stages.open_stream(request, stage, stage_input)

    def _run_waves(
        self, request: RequestRecord, waves: list[list[Stage]]
    ) -> dict[str, Any] | Failure:
        results: dict[str, Any] = {}
        for wave in waves:
            for stage, result in zip(
                wave, self._run_wave(request, wave, results), strict=True
            ):
                if isinstance(result, Failure):
                    return result
                results[stage.name] = result
        return results

    def _run_wave(
        self, request: RequestRecord, wave: list[Stage], results: dict[str, Any]
    ) -> list[Any | Failure]:
        first, *others = wave
        futures = [
            self.side_by_side.submit(
                self.stages.run, request, stage, _input(request, stage, results)
            )
            for stage in others
        ]
        mine = self.stages.run(request, first, _input(request, first, results))
        return [mine, *(future.result() for future in futures)]


def _input(request: RequestRecord, stage: Stage, results: dict[str, Any]) -> StageInput:
    needs = stage_needs(request.pipeline)[stage.name]
    return StageInput(request.body, {name: results[name] for name in needs})
