"""Reports requests that queues refuse as surplus of their account, or until later."""

from boragestream.base.events import Event, emit
from boragestream.base.failures import AccountOverShare
from boragestream.base.route_metrics import RouteMetrics
from boragestream.policy.account_shares import Surplus
from boragestream.policy.return_times import ReturnTime
from boragestream.policy.service_queue import QueueRefusal

__all__ = ["THREADS", "refuse_surplus", "report_surplus", "reported"]

# The place of the threads of an entry in events and metrics; others are services.
THREADS = "threads"


def report_surplus(
    metrics: RouteMetrics, place: str, request_id: str, surplus: Surplus
) -> None:
    """Log and count a request that is refused as surplus, where that was decided.

    :param place: the service whose capacity is scarce, or ``THREADS``.
    """
    metrics.surplus_refused(place, surplus.account, surplus.share, surplus.demand)
    emit(
        Event.SURPLUS_REFUSED,
        request=request_id,
        account=surplus.account,
        place=place,
        demand=round(surplus.demand, 3),
        weight=round(surplus.weight, 3),
        level=round(surplus.level, 3),
        wait_ms=int(surplus.wait_seconds * 1000),
    )


def reported(
    metrics: RouteMetrics, service: str, request_id: str, refusal: QueueRefusal | None
) -> QueueRefusal | None:
    """Return the decision of a stage's queue; report a surplus or a planned return."""
    if isinstance(refusal, Surplus):
        report_surplus(metrics, service, request_id, refusal)
    if isinstance(refusal, ReturnTime):
        metrics.return_planned(service, refusal.wait_seconds)
    return refusal


def refuse_surplus(
    metrics: RouteMetrics, place: str, request_id: str, surplus: Surplus
) -> AccountOverShare:
    """Report a surplus of this entry's own requests and return its failure."""
    report_surplus(metrics, place, request_id, surplus)
    return AccountOverShare(surplus.account, int(surplus.wait_seconds * 1000))
