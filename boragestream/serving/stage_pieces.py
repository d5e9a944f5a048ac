"""Runs the stages of forwarded requests, a second time if their results are lost.

``serving.stage_run`` is one run, ``serving.piece_orders`` decides which entry makes the
pieces.
"""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.serving.chains import ChainResults
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.stage_run import StageParts, StageRun

__all__ = ["StagePieces"]


def _no_repeats(service: str, count: int) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class StagePieces(StageParts):
    """Runs the stages of requests.

    :ivar spend_repeats: takes repeats of pieces at a service from their budget; returns
        whether it had as many.
    """

    spend_repeats: Callable[[str, int], bool] = _no_repeats

    def run(self, run: ForwardedRun, home: str = "") -> ChainResults | Failure:
        """Run all stages; return the results that the engine's call reads.

        :param home: the data centre of the engine that will most likely read them;
            empty for any.
        """
        if not run.route.stages:
            return ChainResults()
        first = StageRun(self, run, home)
        ended = first.finish()
        if not first.has_lost_results(ended):
            return ended
        ordered = first.ordered_pieces.items()
        if not all(self.spend_repeats(service, count) for service, count in ordered):
            return ended
        return StageRun(self, run, home).finish()
