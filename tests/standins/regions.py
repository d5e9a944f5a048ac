"""An entry that chooses servers in two regions, without a process.

Its data centre is ``hall-a`` in the region ``near``; the region ``far`` has ``hall-c``.
"""

import random
from collections import Counter
from types import SimpleNamespace

from boragestream.backend.cancellation import CancelScope
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import PromptPart
from boragestream.document.routes import (
    CallKind,
    EngineLimits,
    Route,
    RouteService,
    RouteTarget,
)
from boragestream.policy.cold_servers import ColdBound, ColdServers
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.region_choice import RegionChoice
from boragestream.policy.regions import Regions
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import ServerChoice
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarded_choice import ForwardedChoice
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.request import SentRecord
from tests.standins.clock import SetClock
from tests.standins.limits import lone_limits

CENTRES = {"hall-a": "near", "hall-b": "near", "hall-c": "far"}
# Failures after which a server is ejected, and more than enough.
FAILURES = 8
SERVICE = "engines"
ROUND_TRIP_SECONDS = 0.024
OBJECTIVE_SECONDS = 1.0
DEADLINE_SECONDS = 6.0
SLOTS = 4


class SetLinks:
    """Links to other regions whose state a test sets."""

    def __init__(self, regions):
        """Begin reachable and open, at the usual distance."""
        self.regions = regions
        self.cut_off = set()
        self.closed = set()
        self.round_trip = ROUND_TRIP_SECONDS
        self.counted = Counter()

    def reachable(self, region):
        """Return whether a region is not cut off."""
        return region not in self.cut_off

    def may_use(self, region):
        """Return whether a region is not cut off; none is tried here."""
        return self.reachable(region)

    def admits(self, region):
        """Return whether optional traffic may be sent."""
        return region not in self.closed | self.cut_off

    def round_trip_seconds(self, region):
        """Return the round trip; 0 for the own region."""
        return 0.0 if region == self.regions.own else self.round_trip

    def count(self, region, kind, size):
        """Count bytes by region and kind."""
        self.counted[region, kind.value] += size


class RegionEntry:
    """One entry before servers of one service; ``centres`` names those by region."""

    def __init__(self, centres=CENTRES, engine=True):
        """Begin without servers."""
        self.clock = clock = SetClock()
        self.links = SetLinks(Regions("hall-a", centres))
        self.table = ServerTable()
        self.loads = LoadTable(clock, random.Random(1))
        # A cold server takes a few requests of this entry, its only sender.
        self.cold = ColdServers(
            "entry",
            lambda service: ColdBound(15.0, 20.0, 3.0),
            lambda server: ["entry"],
            lambda: True,
            clock,
        )
        self.metrics = RouteMetrics()
        self.limited = lone_limits(clock)
        # The clock stands still, so that a wait for a permit would not end.
        self.limited.wait = lambda permit, cancelled: True
        limits = EngineLimits(SLOTS, 1e6) if engine else None
        self.service = RouteService(SERVICE, SLOTS, engine=limits)
        self.parts = ForwardParts(
            line=None,
            encode=None,
            servers=self.table,
            cold=self.cold,
            backoffs=ServerBackoffs(clock),
            limited=self.limited,
            quarantine=None,
            loads=self.loads,
            choice=ServerChoice(self.loads, clock, "hall-a"),
            regions=RegionChoice(self.links, clock),
            retries=None,
            stages=None,
            engine_delays=EngineDelays(),
            clock=clock,
            rng=random.Random(1),
            metrics=self.metrics,
            list_age=lambda: 0.0,
        )
        self.numbers = iter(range(1_000_000))

    def list_servers(self, counts):
        """List so many servers in each data centre."""
        self.servers = [
            Server(
                f"{centre}-{n}",
                SERVICE,
                f"{centre}-{n}:80",
                centre,
                "1",
                region=self.links.regions.of(centre),
            )
            for centre, count in counts.items()
            for n in range(count)
        ]
        self.table.take_list(self.servers)

    def of(self, region):
        """Return the listed servers of a region."""
        return [s for s in self.servers if s.region == region]

    def choice(self, part="", stages=(), homes=(), account_homes=(), body=b""):
        """Return the choice for a new request."""
        number = next(self.numbers)
        prompt = (PromptPart(part, 100), PromptPart(f"own-{number}", 9)) if part else ()
        request = SimpleNamespace(
            request_id=f"r-{number}",
            prompt=prompt,
            body=body,
            pieces=tuple(1 for _ in stages),
            last_event=None,
            resumes="",
            takes_up_stream=False,
        )
        route = Route(
            "route",
            "host",
            "/",
            CallKind.IDEMPOTENT,
            (RouteTarget(SERVICE),),
            DEADLINE_SECONDS,
            OBJECTIVE_SECONDS,
            attempts=3,
            stages=stages,
            regions=frozenset(homes),
        )
        now = self.clock.now()
        run = ForwardedRun(
            request=request,
            route=route,
            table=SimpleNamespace(services={SERVICE: self.service}, version=1),
            account="",
            priority=0,
            service=SERVICE,
            scope=CancelScope(now + DEADLINE_SECONDS),
            arrived=now,
            sent=SentRecord(),
            account_regions=frozenset(account_homes),
        )
        return ForwardedChoice(self.parts, run), run

    def answered(self, server, seconds):
        """Record a call that a server answers after some seconds."""
        call = self.parts.regions.calls.begin(server)
        self.clock.seconds += seconds
        call.note_answer()
        call.end()

    def refused(self, server):
        """Record a call that a server refuses."""
        call = self.parts.regions.calls.begin(server)
        call.note_refused()
        call.end()

    def fail(self, server):
        """Let a server fail until it is ejected."""
        for _ in range(FAILURES):
            call = self.loads.begin(server)
            self.loads.end(server, call, CallEnd.UNREACHED, 0.0, "route")


def begin(context, near, far, centres=CENTRES, engine=True):
    """Make an entry before so many servers in each region."""
    context.entry = RegionEntry(centres, engine)
    near_b = near // 2
    counts = {"hall-a": near - near_b, "hall-b": near_b, "hall-c": far}
    context.entry.list_servers(counts)
