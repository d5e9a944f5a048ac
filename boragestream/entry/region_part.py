"""The exchange part that shares the measurements of links to other regions.

Each entry sends requests to other regions rarely, so that their number does not grow
with that of the entries. The entries of a region therefore relay the latest measurement
among themselves. Measurements of another region's entries are of no use, since the link
may be cut in one direction only.
"""

import math
from collections.abc import Callable

import msgspec

from boragestream.base.events import Event, emit
from boragestream.policy.region_links import (
    LinkChange,
    LinkReport,
    LinkStatus,
    RegionLinks,
)

__all__ = ["RegionLinksPart", "log_link_change"]

NEVER = -1
# Regions of a message; the platform plans two.
MAX_REGIONS = 8


class _Report(msgspec.Struct, frozen=True, array_like=True):
    """One measurement; ages and the round trip in milliseconds."""

    region: str
    number: int
    answered_ms: int
    round_trip_ms: float
    missed_ms: int = NEVER


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[_Report, ...])


class RegionLinksPart:
    """The part of the exchange that carries measurements of links.

    :param same_region: returns whether the named entry is in this entry's region.
    """

    name = "r"

    def __init__(self, links: RegionLinks, same_region: Callable[[str], bool]) -> None:
        self._links = links
        self._same_region = same_region

    def offer(self, budget: int) -> bytes:
        """Return the latest measurement of each link."""
        reports = self._links.reports()[:MAX_REGIONS]
        data = _encoder.encode([_pack(report) for report in reports])
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Use the measurements of an entry of the own region."""
        if not self._same_region(sender):
            return
        try:
            reports = _decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for report in reports[:MAX_REGIONS]:
            self._links.take(_unpack(report))


def log_link_change(change: LinkChange) -> None:
    """Log that a link became unreachable, slow or reachable."""
    before, recent = change.before.value, _milliseconds(change.seconds)
    shortest = _milliseconds(change.minimum_seconds)
    if change.status is LinkStatus.UNREACHABLE:
        emit(Event.REGION_UNREACHABLE, region=change.region, before=before)
    elif change.status is LinkStatus.SLOW:
        emit(
            Event.REGION_SLOW,
            region=change.region,
            round_trip_ms=recent,
            minimum_ms=shortest,
        )
    else:
        emit(
            Event.REGION_REACHABLE,
            region=change.region,
            before=before,
            round_trip_ms=recent,
        )


def _milliseconds(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _pack(report: LinkReport) -> _Report:
    missed = report.missed_age
    return _Report(
        report.region,
        report.number,
        math.ceil(report.answered_age * 1000),
        round(report.seconds * 1000, 2),
        NEVER if math.isinf(missed) else math.ceil(missed * 1000),
    )


def _unpack(report: _Report) -> LinkReport:
    missed = math.inf if report.missed_ms < 0 else report.missed_ms / 1000
    return LinkReport(
        report.region,
        report.number,
        max(0.0, report.answered_ms / 1000),
        max(0.0, report.round_trip_ms / 1000),
        missed,
    )
