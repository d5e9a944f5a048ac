"""Reports requests that are refused as surplus of their client account."""

from boragestream.base.events import Event, emit
from boragestream.base.failures import AccountOverShare
from boragestream.base.route_metrics import RouteMetrics
from boragestream.policy.account_shares import Surplus

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
    metrics: RouteMetrics, service: str, request_id: str, wait: float | Surplus | None
) -> float | Surplus | None:
    """Return the decision of a stage's queue; report it if it refuses a surplus."""
    if isinstance(wait, Surplus):
        report_surplus(metrics, service, request_id, wait)
    return wait


def refuse_surplus(
    metrics: RouteMetrics, place: str, request_id: str, surplus: Surplus
) -> AccountOverShare:
    """Report a surplus of this entry's own requests and return its failure."""
    report_surplus(metrics, place, request_id, surplus)
    return AccountOverShare(surplus.account, int(surplus.wait_seconds * 1000))
