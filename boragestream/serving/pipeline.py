"""Runs the stages of a request's pipeline in the order of their dependencies.

Independent stages run concurrently. The result of the last stage is the answer, which
can be streamed if an engine generates it.
"""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from boragestream.backend.attempt import OpenAnswer
from boragestream.backend.calls import StageInput
from boragestream.base.failures import DeadlinePassed, ServersLimited
from boragestream.base.outcomes import Failure
from boragestream.document import Stage
from boragestream.document.waves import stage_needs, stage_waves
from boragestream.policy.waiting import ServiceSaturated
from boragestream.serving.request import RequestRecord
from boragestream.serving.stage import StageRunner

__all__ = ["PipelineRunner"]


@dataclass(frozen=True, slots=True)
class PipelineRunner:
    """Runs pipelines.

    :ivar stages: runs single stages.
    :ivar executor: the threads that run the stages of one wave concurrently.
    """

    stages: StageRunner
    executor: ThreadPoolExecutor

    def run(self, request: RequestRecord) -> Any | Failure:
        """Run all stages and return the last one's result, or the first failure."""
        results = self._run_waves(request, stage_waves(request.pipeline))
        if isinstance(results, Failure):
            return results
        return results[request.pipeline.stages[-1].name]

    def open_stream(self, request: RequestRecord) -> OpenAnswer | Failure:
        """Run all stages, the last one up to the headers of its streamed answer."""
        *waves, last = stage_waves(request.pipeline)
        results = self._run_waves(request, waves)
        if isinstance(results, Failure):
            return results
        stage = last[0]
        stage_input = _input(request, stage, results)
        stage_request = _with_stage_deadline(request, stage)
        answer = self.stages.open_stream(stage_request, stage, stage_input)
        if isinstance(answer, Failure):
            _end_stage(request, stage, answer)
        return answer

    def _run_waves(
        self, request: RequestRecord, waves: Sequence[tuple[Stage, ...]]
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
        self, request: RequestRecord, wave: tuple[Stage, ...], results: dict[str, Any]
    ) -> list[Any | Failure]:
        first, *others = wave
        futures = [
            self.executor.submit(self._run_stage, request, stage, results)
            for stage in others
        ]
        first_result = self._run_stage(request, first, results)
        return [first_result, *(future.result() for future in futures)]

    def _run_stage(
        self, request: RequestRecord, stage: Stage, results: dict[str, Any]
    ) -> Any | Failure:
        stage_request = _with_stage_deadline(request, stage)
        result = self.stages.run(stage_request, stage, _input(request, stage, results))
        _end_stage(request, stage, result)
        return result


def _input(request: RequestRecord, stage: Stage, results: dict[str, Any]) -> StageInput:
    needs = stage_needs(request.pipeline)[stage.name]
    return StageInput(request.body, {name: results[name] for name in needs})


def _with_stage_deadline(request: RequestRecord, stage: Stage) -> RequestRecord:
    """Record that a stage begins; return the request with the stage's deadline."""
    deadline = request.admitted.begin_stage(stage.name)
    return replace(request, scope=request.scope.child(deadline))


def _end_stage(request: RequestRecord, stage: Stage, result: Any | Failure) -> None:
    # A stage that reached its deadline took at least that long, so its time counts. The
    # time of a stage with any other failure says nothing about the servers' speed.
    whole = not isinstance(result, Failure)
    timed = whole or isinstance(result, DeadlinePassed)
    saturated = isinstance(result, ServiceSaturated | ServersLimited)
    request.admitted.end_stage(stage.name, timed, whole, saturated)
