"""Runs the stages of forwarded requests.

``serving.stage_run`` is one run, ``serving.piece_orders`` decides which entry makes the
pieces.
"""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.serving.chains import ChainResults
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.stage_run import StageParts, StageRun

__all__ = ["StagePieces"]


@dataclass(frozen=True, slots=True)
class StagePieces(StageParts):
    """Runs the stages of requests."""

    def run(self, run: ForwardedRun, home: str = "") -> ChainResults | Failure:
        """Run all stages; return the results that the engine's call reads.

        :param home: the data centre of the engine that will most likely read them;
            empty for any.
        """
        if not run.route.stages:
            return ChainResults()
        return StageRun(self, run, home).finish()
