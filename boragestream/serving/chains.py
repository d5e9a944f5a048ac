"""The results of a request's chain of stages, and the events about chains.

``serving.stage_pieces`` runs the chains, ``policy.stage_regions`` chooses the regions.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import StageResult
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = ["ChainResults", "log_end", "note_offer"]


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


def log_end(
    run: ForwardedRun,
    reports: Sequence[dict[str, object]],
    slack: float,
    failure: Failure | None,
) -> None:
    """Log how the stages of a request ended.

    :param reports: of each stage that is done its service, owner, pieces and time.
    :param slack: the seconds until the objective.
    """
    emit(
        Event.STAGES_DONE,
        request=run.request.request_id,
        version=run.table.version,
        stages=reports,
        slack_ms=int(slack * 1000),
        failure=failure.describe() if failure is not None else None,
    )
