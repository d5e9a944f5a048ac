"""The results of a request's chain of stages, and the record of offers of chains.

``serving.stage_pieces`` runs the chains, ``policy.stage_regions`` chooses the regions.
"""

from dataclasses import dataclass

from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import StageResult

__all__ = ["ChainResults", "note_offer"]


@dataclass(frozen=True, slots=True)
class ChainResults:
    """What the stages of a request brought.

    :ivar results: the results that the engine's call reads.
    :ivar region: where the chain ran; empty where there is only one region.
    """

    results: tuple[StageResult, ...] = ()
    region: str = ""


def note_offer(
    metrics: RouteMetrics, request_id: str, region: str, failure: Failure | None
) -> None:
    """Log and count how the offer of a chain to another region ended.

    :param failure: why the region did not accept the chain; None if it did.
    """
    metrics.chain_offered(region, failure is None)
    if failure is None:
        emit(Event.CHAIN_BORROWED, request=request_id, region=region)
        return
    reason = failure.describe()
    emit(Event.CHAIN_NOT_BORROWED, request=request_id, region=region, failure=reason)
