"""What an entry knows of the links to the other regions.

Load patterns: one link carries all traffic between two regions and fills up; the link
is cut for minutes, in both directions or in one; its delay rises to a second; all
entries of a region are lost at once while its servers still answer.

A measurement is the time of one request to an entry of another region. The entries of a
region exchange their latest measurements (``entry.region_part``), since each of
hundreds of entries sends a request to another region only every minute. A measurement
has an id and is used once, so that its relaying does not make it look recent.

A region is unreachable once no entry of it has answered any entry of this region for
some seconds although one was asked. Requests that arrive from a region do not count: if
the link is cut in one direction only, they arrive while no answer does.

``policy.region_window`` bounds the optional bytes that this entry exchanges with a
region by the delay above its minimum.
"""

import math
import random
import threading
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.route_metrics import RegionFigures
from boragestream.policy.link_reports import (
    LinkChange,
    LinkReport,
    LinkStatus,
    TrafficKind,
)
from boragestream.policy.region_window import OptionalWindow
from boragestream.policy.regions import Regions
from boragestream.policy.round_trips import RoundTrips

__all__ = [
    "LinkChange",
    "LinkReport",
    "LinkStatus",
    "RegionLinks",
    "TrafficKind",
]

# All entries of a region receive a measurement within 5 s of it (370 entries, simulated
# time), so that a longer silence means that no entry of the region gets an answer.
UNREACHABLE_SECONDS = 6.5
# The added time-out of a request to another region. It allows for the three round trips
# of a request on a new connection after the delay has risen to 0.8 s each way.
MIN_ALLOWANCE_SECONDS = 4.0
MAX_ALLOWANCE_SECONDS = 16.0
# A new connection takes two round trips more; the fourth allows for variation.
ALLOWANCE_ROUND_TRIPS = 4
REMEMBERED_SAMPLES = 64
# Servers of a region that answer while none of its entries has done so for
# ``UNREACHABLE_SECONDS`` show that the entries are lost and not the link. Older answers
# show nothing.
SERVER_ANSWER_SECONDS = 30.0
# While no entry of a region answers, its servers are tried from time to time by the
# requests that the own region can't serve. Otherwise a region that has lost all of its
# entries would never be used again.
TRIAL_INTERVAL_SECONDS = 5.0
TRIAL_SECONDS = 0.5


# The kinds whose bytes are taken from the window.
WINDOW_KINDS = frozenset(
    {TrafficKind.CALL, TrafficKind.ANSWER, TrafficKind.RESULT, TrafficKind.ORDER}
)


@dataclass(slots=True)
class _Link:
    """The state of the link to one region.

    :ivar answered_at: when an entry of the region last answered; at first the start.
    :ivar missed_at: when the latest request began whose answer is missing.
    :ivar misses: the missing answers since the last answer to this entry.
    """

    answered_at: float
    window: OptionalWindow
    missed_at: float = -math.inf
    server_answered_at: float = -math.inf
    misses: int = 0
    number: int = 0
    latest_seconds: float = 0.0
    round_trips: RoundTrips = field(default_factory=RoundTrips)
    sizes: Counter[TrafficKind] = field(default_factory=Counter)
    status: LinkStatus = LinkStatus.REACHABLE
    seen: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED_SAMPLES))


class RegionLinks:
    """The links to the other regions; safe to use from any thread.

    :param regions: the regions, this entry's own included.
    :param rng: numbers the measurements.
    :param changed: called after a link has changed its status.
    """

    def __init__(
        self,
        regions: Regions,
        clock: Clock,
        rng: random.Random | None = None,
        changed: Callable[[LinkChange], None] = lambda change: None,
    ) -> None:
        self._regions = regions
        self._clock = clock
        self._rng = rng or random.Random()
        self._on_change = changed
        self._lock = threading.RLock()
        self._unreachable: frozenset[str] = frozenset()
        now = clock.now()
        others = set(regions.names) - {regions.own} if regions.several else set()
        self._links = {
            region: _Link(now, OptionalWindow(now)) for region in sorted(others)
        }

    @property
    def regions(self) -> Regions:
        """The regions, this entry's own included."""
        return self._regions

    @property
    def unreachable_regions(self) -> frozenset[str]:
        """The regions of which no entry answers."""
        return self._unreachable

    def reachable(self, region: str) -> bool:
        """Return whether entries or servers of a region answered recently."""
        link = self._links.get(region)
        if link is None:
            return True
        self.check()
        server_age = self._clock.now() - link.server_answered_at
        return region not in self._unreachable or server_age < UNREACHABLE_SECONDS

    def may_use(self, region: str) -> bool:
        """Return whether a region is reachable or its servers are to be tried.

        For requests that the own region can't serve.
        """
        if self.reachable(region):
            return True
        since = self._clock.now() - self._links[region].answered_at
        return since % TRIAL_INTERVAL_SECONDS < TRIAL_SECONDS

    def admits(self, region: str) -> bool:
        """Return whether optional traffic may be sent to a region now."""
        link = self._links.get(region)
        if link is None:
            return True
        if not self.reachable(region):
            return False
        with self._lock:
            return link.window.is_open(self._clock.now())

    def round_trip_seconds(self, region: str) -> float:
        """Return the recent round trip to a region in seconds.

        :returns: 0 for the own region, and while no measurement is known.
        """
        link = self._links.get(region)
        if link is None:
            return 0.0
        with self._lock:
            return link.round_trips.recent

    def allowance_seconds(self, region: str) -> float:
        """Return the seconds by which a time-out is longer for a region.

        The allowance grows with the measured delay, and doubles with each answer that
        is missing in a row, since a delay longer than the time-out is never measured.
        """
        link = self._links.get(region)
        if link is None:
            return 0.0
        with self._lock:
            measured = max(
                MIN_ALLOWANCE_SECONDS, ALLOWANCE_ROUND_TRIPS * link.round_trips.recent
            )
            # The exponent is bounded to prevent an overflow while the link is cut.
            return min(MAX_ALLOWANCE_SECONDS, measured * 2.0 ** min(link.misses, 8))

    def entries_lost(self, region: str) -> bool:
        """Return whether a region has lost its entries, as far as can be known.

        Its servers answer this entry although none of its entries answers. If nothing
        in the region answers, the link may be cut while its entries serve.
        """
        link = self._links.get(region)
        if link is None or region not in self._unreachable:
            return False
        with self._lock:
            since = link.answered_at + UNREACHABLE_SECONDS
            age = self._clock.now() - link.server_answered_at
            return link.server_answered_at > since and age < SERVER_ANSWER_SECONDS

    def count(self, region: str, kind: TrafficKind, size: int) -> None:
        """Count bytes sent to a region or received from it.

        :param size: in bytes.
        """
        link = self._links.get(region)
        if link is None:
            return
        with self._lock:
            link.sizes[kind] += size
            if kind is TrafficKind.ANSWER:
                link.server_answered_at = self._clock.now()
            if kind in WINDOW_KINDS:
                link.window.use(self._clock.now(), size)

    def note_server_answer(self, region: str) -> None:
        """Record that a server of a region answered a call."""
        link = self._links.get(region)
        if link is not None:
            link.server_answered_at = self._clock.now()

    def note_answer(self, region: str, seconds: float | None) -> None:
        """Record that an entry of a region answered.

        :param seconds: the round trip; None if the answer does not measure it.
        """
        link = self._links.get(region)
        if link is None:
            return
        with self._lock:
            link.misses = 0
            link.answered_at = self._clock.now()
            if seconds is not None:
                number = self._rng.getrandbits(32) | 1
                self._add_sample(link, number, seconds, latest=True)
        self.check()

    def note_missed(self, region: str, seconds: float = 0.0) -> None:
        """Record that an entry of a region did not answer in time.

        A request that began before the last answer of the region says nothing about the
        time since: one that began while the link was cut ends long after its return.

        :param seconds: the time since the request began.
        """
        link = self._links.get(region)
        if link is None:
            return
        with self._lock:
            now = self._clock.now()
            link.misses += 1
            link.missed_at = max(link.missed_at, now - seconds)
            link.window.shrink(now, link.round_trips.recent)
        self.check()

    def reports(self) -> list[LinkReport]:
        """Return the latest measurement of each link, for the entries of the region."""
        now = self._clock.now()
        with self._lock:
            return [
                LinkReport(
                    region,
                    link.number,
                    now - link.answered_at,
                    link.latest_seconds,
                    now - link.missed_at,
                )
                for region, link in self._links.items()
            ]

    def take(self, report: LinkReport) -> None:
        """Use the measurement of another entry of the own region."""
        link = self._links.get(report.region)
        if link is None:
            return
        with self._lock:
            now = self._clock.now()
            link.missed_at = max(link.missed_at, now - report.missed_age)
            if report.number and report.number not in link.seen:
                answered_at = now - report.answered_age
                self._add_sample(
                    link, report.number, report.seconds, answered_at > link.answered_at
                )
                link.answered_at = max(link.answered_at, answered_at)
        self.check()

    def check(self) -> None:
        """Update the status of each link; called periodically."""
        changes = []
        with self._lock:
            now = self._clock.now()
            for region, link in self._links.items():
                status = self._status(link, now)
                if status is not link.status:
                    changes.append(
                        LinkChange(
                            region,
                            link.status,
                            status,
                            link.round_trips.recent,
                            link.round_trips.minimum,
                        )
                    )
                    link.status = status
            if changes:
                self._unreachable = frozenset(
                    region
                    for region, link in self._links.items()
                    if link.status is LinkStatus.UNREACHABLE
                )
        for change in changes:
            self._on_change(change)

    def figures(self) -> Sequence[RegionFigures]:
        """Return the figures of each link for the metrics."""
        with self._lock:
            return [
                RegionFigures(
                    region,
                    link.round_trips.recent,
                    link.window.size,
                    {kind.value: size for kind, size in link.sizes.items()},
                )
                for region, link in self._links.items()
            ]

    def _status(self, link: _Link, now: float) -> LinkStatus:
        silent = (
            now - link.answered_at > UNREACHABLE_SECONDS + 2 * link.round_trips.recent
        )
        if silent and link.missed_at > link.answered_at:
            return LinkStatus.UNREACHABLE
        # A slow link is reachable again at half of the tolerated delay, so that a delay
        # near the limit does not change the status with each measurement.
        slow = link.status is LinkStatus.SLOW
        limit = link.round_trips.target * (0.5 if slow else 1.0)
        return (
            LinkStatus.SLOW
            if link.round_trips.queueing > limit
            else LinkStatus.REACHABLE
        )

    def _add_sample(
        self, link: _Link, number: int, seconds: float, latest: bool
    ) -> None:
        # An older measurement must not take the place of the latest in the reports.
        if latest:
            link.number, link.latest_seconds = number, seconds
        link.seen.append(number)
        now = self._clock.now()
        link.round_trips.add(now, seconds)
        if link.round_trips.queueing > link.round_trips.target:
            link.window.shrink(now, link.round_trips.recent)
        else:
            link.window.grow(now)
