"""Builds what decides about requests that are refused or late, from the settings."""

from boragestream.base.route_settings import RouteSettings
from boragestream.daemon.account_parts import shares_fairly
from boragestream.policy.late_service import (
    LateService,
    refuse_late,
    serve_until_deadline,
)
from boragestream.policy.regions import Regions
from boragestream.policy.return_times import ReturnTimes

__all__ = ["make_late_service", "new_return_times", "plans_returns"]


def make_late_service(settings: RouteSettings) -> LateService:
    """Return what decides until when late orders are kept."""
    return serve_until_deadline if settings.late.until_deadline else refuse_late


def plans_returns(settings: RouteSettings) -> bool:
    """Return whether the return of refused callers of stages is planned.

    Unless a setting decides it, it is where a burst often hits only a part of the
    callers: those of one region, or of client accounts beside one that exceeds its
    share. The others leave capacity for those that return later.
    """
    required = settings.late.planned_returns
    if required is None:
        regions = Regions(settings.entry.data_centre, settings.regions)
        return regions.several or shares_fairly(settings)
    return required


def new_return_times(settings: RouteSettings) -> ReturnTimes | None:
    """Return what plans the returns of one queue; None to state expected waits."""
    return ReturnTimes() if plans_returns(settings) else None
