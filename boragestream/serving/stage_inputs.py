"""The results of a request's stages, which the server of its answer reads."""

from collections.abc import Callable

from boragestream.base.outcomes import Failure
from boragestream.document.calls import StageResult
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.stage_pieces import StagePieces

__all__ = ["StageInputs"]


class StageInputs:
    """Runs the stages of one request, and keeps their results until they are read.

    :param stages: runs the stages and releases their results.
    """

    def __init__(self, stages: StagePieces, run: ForwardedRun) -> None:
        self._stages = stages
        self._run = run
        self._results: tuple[StageResult, ...] = ()
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the results are there."""
        return self._ready

    @property
    def results(self) -> tuple[StageResult, ...]:
        """The results of all stages."""
        return self._results

    @property
    def handles(self) -> tuple[str, ...]:
        """What names the results to the server that reads them."""
        return tuple(result.handle for result in self._results)

    def prepare(self, data_centre: Callable[[], str]) -> Failure | None:
        """Run the stages unless their results are there; return why there are none.

        :param data_centre: returns where the results will probably be read.
        """
        if self._ready or not self._run.route.stages:
            return None
        chain = self._stages.run(self._run, data_centre())
        if isinstance(chain, Failure):
            return chain
        self._results = chain.results
        self._ready = True
        return None

    def note_gone(self) -> None:
        """Record that the servers no longer hold the results."""
        self._ready = False

    def release(self) -> None:
        """Release the results where they are held."""
        if self._ready:
            self._stages.release(self._results)
            self._results = ()
            self._ready = False
