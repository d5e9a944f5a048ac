"""Measures the calls to backend servers by service and region.

Load pattern: a burst fills the servers of one region for some seconds, and an entry has
few calls of each service open. Times to the first answer therefore lag behind: while a
region answers nothing, only the age of the unanswered calls shows it.

``policy.region_choice`` compares the regions by these measurements.
"""

import itertools
import math
import threading
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.policy.region_links import RegionLinks, TrafficKind
from boragestream.policy.servers import Server

__all__ = ["RECENT_SECONDS", "RegionCall", "RegionCalls", "RegionEstimate"]

# Bursts begin and end within some seconds. ``policy.load`` gives measurements no weight
# after the same time.
RECENT_SECONDS = 3.0
SMOOTHING = 0.2
# One or two calls that a single server doesn't answer say nothing about its region.
MIN_UNANSWERED = 3


@dataclass(frozen=True, slots=True)
class RegionEstimate:
    """What recent calls say of a service in a region.

    :ivar first_seconds: the time to the first answer, without the round trip to the
        region; None if it is unknown.
    :ivar refused_share: the share of calls that the servers refused.
    :ivar known: whether any call ended recently.
    """

    first_seconds: float | None = None
    refused_share: float = 0.0
    known: bool = False


@dataclass(slots=True)
class _Record:
    """The calls of one service in one region.

    :ivar unanswered: when each call without a first answer began, by its number.
    """

    first_seconds: float | None = None
    first_at: float = -math.inf
    refused_share: float = 0.0
    outcome_at: float = -math.inf
    begun_at: float = -math.inf
    unanswered: dict[int, float] = field(default_factory=dict)


class RegionCalls:
    """The measurements of one entry; safe to use from any thread."""

    def __init__(self, links: RegionLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._records: dict[tuple[str, str], _Record] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def region_of(self, server: Server) -> str:
        """Return a server's region; the own one if its data centre is in none."""
        regions = self._links.regions
        return server.region or regions.of(server.data_centre) or regions.own

    def begin(self, server: Server) -> "RegionCall":
        """Record the start of a call; with one region nothing is recorded."""
        regions = self._links.regions
        if not regions.several:
            return RegionCall(self, server.service, "", -1)
        region, now = self.region_of(server), self._clock.now()
        with self._lock:
            number = next(self._numbers)
            record = self._records.setdefault((server.service, region), _Record())
            record.begun_at = now
            record.unanswered[number] = now
        return RegionCall(self, server.service, region, number)

    def estimate(self, service: str, region: str) -> RegionEstimate:
        """Return what recent calls say of a service in a region."""
        record = self._records.get((service, region))
        if record is None:
            return RegionEstimate()
        now = self._clock.now()
        with self._lock:
            oldest = now - self._valid_seconds(record, region)
            first = record.first_seconds if record.first_at >= oldest else None
            waiting = _waiting_seconds(record, now)
            if waiting is not None:
                waiting = max(0.0, waiting - self._links.round_trip_seconds(region))
                first = waiting if first is None else max(first, waiting)
            known = record.outcome_at >= oldest
            share = record.refused_share if known else 0.0
        return RegionEstimate(first, share, known or first is not None)

    def may_try(self, service: str, region: str) -> bool:
        """Return whether one call may be sent to measure a region."""
        record = self._records.get((service, region))
        if record is None:
            return True
        idle_seconds = self._clock.now() - record.begun_at
        return not record.unanswered and idle_seconds >= RECENT_SECONDS

    def note_answer(self, call: "RegionCall") -> None:
        """Record a call's first answer."""
        now = self._clock.now()
        with self._lock:
            record = self._records[call.service, call.region]
            began = record.unanswered.pop(call.number, None)
            if began is None:
                return
            round_trip = self._links.round_trip_seconds(call.region)
            seconds = max(0.0, now - began - round_trip)
            before = record.first_seconds
            if before is None or now - record.first_at > RECENT_SECONDS:
                record.first_seconds = seconds
            else:
                record.first_seconds = before + SMOOTHING * (seconds - before)
            record.first_at = now
            _note_outcome(record, 0.0, now)

    def note_refused(self, call: "RegionCall") -> None:
        """Record that a server refused a call or could not be reached."""
        now = self._clock.now()
        with self._lock:
            record = self._records[call.service, call.region]
            if record.unanswered.pop(call.number, None) is not None:
                _note_outcome(record, 1.0, now)

    def note_ended(self, call: "RegionCall") -> None:
        """Record that a call ended without any outcome to measure."""
        with self._lock:
            self._records[call.service, call.region].unanswered.pop(call.number, None)

    def _valid_seconds(self, record: _Record, region: str) -> float:
        """Return for how long a measurement counts.

        In the own region it counts for twice the time while calls that would renew it
        are unanswered. Otherwise all requests would return to an overloaded own region
        each time that its measurement expires.
        """
        renewing = bool(record.unanswered) and region == self._links.regions.own
        return RECENT_SECONDS * (2 if renewing else 1)

    def count(self, region: str, kind: TrafficKind, size: int) -> None:
        """Count the bytes of a call if they cross between regions."""
        if region and region != self._links.regions.own and size:
            self._links.count(region, kind, size)


@dataclass(frozen=True, slots=True)
class RegionCall:
    """One call that is measured; without effect if there is only one region.

    :ivar region: where its server is; empty if there is only one region.
    :ivar number: identifies the call among those of the entry.
    """

    calls: RegionCalls
    service: str
    region: str
    number: int

    def note_sent(self, size: int) -> None:
        """Count bytes that are sent to the server."""
        self.calls.count(self.region, TrafficKind.CALL, size)

    def note_received(self, size: int) -> None:
        """Count bytes that were received from the server."""
        self.calls.count(self.region, TrafficKind.ANSWER, size)

    def note_answer(self) -> None:
        """Record the first answer; later calls do nothing."""
        if self.region:
            self.calls.note_answer(self)

    def note_refused(self) -> None:
        """Record a refusal; it does nothing after a first answer."""
        if self.region:
            self.calls.note_refused(self)

    def end(self) -> None:
        """Record the end of the call without an outcome, unless one was recorded."""
        if self.region:
            self.calls.note_ended(self)


def _waiting_seconds(record: _Record, now: float) -> float | None:
    """Return the median age of the unanswered calls; None if they are too few."""
    count = len(record.unanswered)
    if count < MIN_UNANSWERED:
        return None
    # The calls are in the order of their beginning.
    middle = next(itertools.islice(record.unanswered.values(), count // 2, None))
    return now - middle


def _note_outcome(record: _Record, refused: float, now: float) -> None:
    if now - record.outcome_at > RECENT_SECONDS:
        record.refused_share = 0.0
    record.refused_share += SMOOTHING * (refused - record.refused_share)
    record.outcome_at = now
