"""Entries of two regions that exchange messages about pieces, in simulated time.

There are no processes, threads or sockets: a message is encoded, decoded and handled at
once, unless the network is cut in its direction or its receiver is killed. Then its
sender waits for the whole time-out. Calls of stage servers are answered at once, or
held until a test lets them run.
"""

import itertools
import random
import threading
from collections import Counter
from types import SimpleNamespace

import msgspec

from boragestream.backend.cancellation import CancelScope
from boragestream.base.failures import DeadlinePassed
from boragestream.base.outcomes import Failure
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import Piece, PieceResult
from boragestream.document.routes import PieceLimits, RouteStage
from boragestream.entry.link_meter import RegionMeter
from boragestream.entry.messages import Message
from boragestream.entry.piece_messages import (
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.queue_owners import StageQueue, owner_ranking, queue_entries
from boragestream.policy.regions import Regions
from boragestream.policy.servers import Server
from boragestream.policy.stage_delays import StageDelays
from boragestream.policy.stage_regions import StageRegions
from boragestream.serving.owner_links import OwnerLinks
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_bookings import PieceBookings
from boragestream.serving.piece_orders import PieceOrders
from boragestream.serving.stage_pieces import StagePieces
from tests.standins.clock import SetClock
from tests.standins.queue_parts import queue_parts

REGIONS = {"hall-a": "valley", "hall-b": "valley", "hall-c": "hills", "hall-d": "hills"}
ENTRIES_PER_CENTRE = 2
SERVERS_PER_CENTRE = 1
SERVICES = ("embed", "rank")
ENGINE = "engine"
# A whole call takes 0.4 s.
LIMITS = PieceLimits(1, 4, 0.2, 0.05, 1000.0, 4.0)
# Two results are large enough to be made near the engine that reads them.
RESULT_BYTES = 200_000.0
ROUND_TRIP_SECONDS = 0.024
OBJECTIVE_SECONDS = 2.0
DEADLINE_SECONDS = 6.0
GUARD_SECONDS = 5.0


class StageCalls:
    """Answers an owner's calls of stage servers."""

    def __init__(self, network):
        """Answer at once until a test holds the calls."""
        self.network = network
        self.held = False
        self.queued = []

    def submit(self, work, *arguments):
        """Execute work that makes a call, unless calls are held."""
        if self.held:
            self.queued.append((work, arguments))
        else:
            work(*arguments)

    def run(self):
        """Execute the held work and hold nothing more."""
        self.held = False
        while self.queued:
            work, arguments = self.queued.pop(0)
            work(*arguments)

    def make(self, batch):
        """Answer a call, and record its pieces."""
        results = []
        for _, piece in batch.pieces:
            made = (piece.request_id, piece.stage, piece.number)
            self.network.made[made] += 1
            self.network.made_at[made] = batch.server
            handle = f"h-{next(self.network.numbers)}"
            self.network.stored.add(handle)
            results.append(PieceResult(handle, None))
        return results

    def release(self, server, handles):
        """Remove released results."""
        self.network.stored.difference_update(handles)

    def takes_releases(self, server):
        """Let each server take messages."""
        return True

    def check_overdue_calls(self):
        """Check for overdue calls; there are none."""


class AtOnce:
    """An executor that runs work in the thread that submits it."""

    def submit(self, work, *arguments):
        """Run work."""
        work(*arguments)


class Links:
    """The links of one entry to all others."""

    def __init__(self, network, own, view):
        """Send by a network, and meter as real links do."""
        self.network, self.own = network, own
        self.meter = RegionMeter(view, network.region_of)

    def ask(self, address, message, seconds):
        """Deliver a message, and return its answer if it arrives in time."""
        reply = self.network.deliver(self.own, address, message, seconds)
        size = len(msgspec.msgpack.encode(message))
        if isinstance(reply, Failure):
            self.meter.note_missed(address, message, size, seconds)
        else:
            size += len(msgspec.msgpack.encode(reply))
            self.meter.note_answer(address, message, size, ROUND_TRIP_SECONDS)
        return reply


class RegionLinksView:
    """What one entry knows of the links; a test sets it."""

    def __init__(self, network, regions):
        """Count no bytes yet."""
        self.network, self.regions = network, regions
        self.bytes = Counter()

    def reachable(self, region):
        """Return what the test says."""
        return self.network.reachable

    def may_use(self, region):
        """Return whether a region is not cut off; none is tried here."""
        return self.reachable(region)

    def admits(self, region):
        """Return what the test says."""
        return self.network.admits

    def round_trip_seconds(self, region):
        """Return the fixed round trip."""
        return 0.0 if region == self.regions.own else ROUND_TRIP_SECONDS

    def count(self, region, kind, size):
        """Count bytes to other regions."""
        if region != self.regions.own:
            self.bytes[region, kind] += size

    def note_answer(self, region, seconds):
        """Take the time of an answer; a test sets what the entry knows."""


class Entry:
    """One entry's parts for stages."""

    def __init__(self, network, listed):
        """Build them."""
        self.network, self.name, self.listed = network, listed.name, listed
        regions = Regions(listed.data_centre, network.regions)
        self.region = network.region_of(listed.name)
        self.view = RegionLinksView(network, regions)
        links, clock = Links(network, self.name, self.view), network.clock
        owners = OwnerLinks(
            self.name, network.eligible, links, clock, self.view, network.region_of
        )
        owners._messages = AtOnce()
        self.orders = PieceOrders(owners, clock)
        servers = SimpleNamespace(live=network.live, all=network.servers)
        self.cold = network.new_cold_servers(self.name)
        parts = queue_parts(
            clock,
            servers,
            self.cold,
            LIMITS,
            metrics=RouteMetrics(),
            loads=LoadTable(clock, random.Random(1)),
            shares=lambda: network.new_shares(self.region),
        )
        self.backoffs = parts.backoffs
        self.batches = PieceBatches(parts, self.orders.report_results)
        self.calls = self.batches._calls = StageCalls(network)
        self.orders.set_batches(self.batches)
        self.bookings = PieceBookings(owners, self.batches, clock)
        self.stages = StagePieces(
            self.orders,
            self.bookings,
            Quarantine(self.name, lambda: [self.name], clock),
            clock,
            itertools.count(),
            StageDelays(clock.now),
            EngineDelays(),
            RouteMetrics(),
            stage_regions=StageRegions(regions, self.view, network.has_servers),
            fair_shares=network.new_shares() is not None,
        )
        self.handlers = {
            PiecesOrder: self.orders.answer_order,
            PiecesBook: self.bookings.answer_booking,
            PiecesDone: self.orders.answer_done,
            PiecesCancel: self.orders.answer_cancel,
            PiecesRelease: self.orders.answer_release,
        }


class StageNetwork:
    """The entries, the servers and the network between them.

    :param regions: by data centre.
    :param centre_servers: the servers of each service in a data centre.
    """

    def __init__(self, regions=REGIONS, centre_servers=SERVERS_PER_CENTRE):
        """Begin with everything connected and idle."""
        self.regions = regions
        self.clock = SetClock()
        self.numbers = itertools.count(1)
        # How often each piece was made, and where last.
        self.made, self.made_at, self.stored = Counter(), {}, set()
        # Messages as (sender, receiver, message), also those that were lost.
        self.sent = []
        self.answers = []
        # The directions in which messages are lost, as (from region, to region).
        self.cut = set()
        self.killed, self.removed = set(), set()
        self.reachable = self.admits = True
        self.without_servers = set()
        centres = dict.fromkeys(REGIONS)
        self.listed = [
            ListedEntry(f"{centre}-{n}", f"{centre}-{n}", f"{centre}-{n}", centre)
            for centre in centres
            for n in range(ENTRIES_PER_CENTRE)
        ]
        self.servers = [
            Server(
                f"{service}-{centre}-{n}",
                service,
                f"{service}-{centre}-{n}:80",
                centre,
                "1",
                region=REGIONS[centre],
            )
            for service in (*SERVICES, ENGINE)
            for centre in centres
            for n in range(centre_servers)
        ]
        self.entries = {listed.name: Entry(self, listed) for listed in self.listed}

    def new_shares(self, region=""):
        """Return the shares of a new queue in a region; accounts have none here."""

    def new_cold_servers(self, name):
        """Return an entry's cold servers; all servers are warm here."""
        return ColdServers(name, lambda s: None, lambda s: [], bool, self.clock)

    def pass_time(self, seconds):
        """Let time pass for a sender that gets no answer."""
        self.clock.seconds += seconds

    def region_of(self, name):
        """Return the region of an entry."""
        centres = {e.name: e.data_centre for e in self.listed}
        return self.regions.get(centres[name], "")

    def eligible(self, region):
        """Return the entries ranked for a region's queues; all entries agree."""
        listed = [e for e in self.listed if e.name not in self.removed]
        return queue_entries(listed, Regions("", self.regions), region)

    def live(self, service):
        """Return the live servers of a service."""
        gone = self.without_servers
        of = [s for s in self.servers if s.service == service]
        return [s for s in of if (s.service, s.region) not in gone]

    def has_servers(self, service, region):
        """Return whether a service has live servers in a region."""
        return any(server.region == region for server in self.live(service))

    def owner(self, service, region):
        """Return the entry that owns a queue."""
        key = StageQueue(service, region).ranking_key
        return self.entries[owner_ranking(key, self.eligible(region))[0]]

    def entry(self, region, number=0):
        """Return an entry of a region."""
        return [e for e in self.entries.values() if e.region == region][number]

    def deliver(self, sender, receiver, message, seconds):
        """Deliver a message; return the answer, or a failure after the time-out."""
        # As it is sent: encoded, and decoded by the receiver.
        data = msgspec.msgpack.encode(message)
        message = msgspec.msgpack.decode(data, type=Message)
        self.sent.append((sender, receiver, message))
        way = (self.region_of(sender), self.region_of(receiver))
        reply = None
        if receiver not in self.killed and way not in self.cut:
            envelope = SimpleNamespace(sender=sender)
            reply = self.entries[receiver].handlers[type(message)](envelope, message)
            self.answers.append((sender, receiver, reply))
        if reply is None or way[::-1] in self.cut:
            # Only the answers to orders and bookings are waited for.
            if isinstance(message, PiecesOrder | PiecesBook):
                self.pass_time(seconds)
            return DeadlinePassed("peer")
        return reply

    def crossed(self):
        """Return the messages that were sent to another region."""
        return [
            (sender, receiver, message)
            for sender, receiver, message in self.sent
            if self.region_of(sender) != self.region_of(receiver)
        ]

    def request(
        self,
        entry,
        stages=SERVICES,
        homes=None,
        pieces=1,
        chained=True,
        home="",
        account="",
    ):
        """Run the stages of a request; return its id and the outcome."""
        now = self.clock.seconds
        request_id = f"r-{next(self.numbers)}"
        services = {service: SimpleNamespace(pieces=LIMITS) for service in SERVICES}
        run = SimpleNamespace(
            request=SimpleNamespace(
                request_id=request_id,
                piece_key=request_id,
                pieces=(pieces,) * len(stages),
            ),
            route=SimpleNamespace(
                name="route",
                stages=tuple(
                    RouteStage(service, (n - 1,) if n and chained else (), RESULT_BYTES)
                    for n, service in enumerate(stages)
                ),
            ),
            table=SimpleNamespace(version=1, services=services),
            priority=0,
            service=ENGINE,
            account=account,
            regions=homes,
            fingerprint=b"",
            scope=CancelScope(now + DEADLINE_SECONDS),
            objective_at=now + OBJECTIVE_SECONDS,
        )
        # A chain that waits for a held call fails and does not block the test run.
        guard = threading.Timer(GUARD_SECONDS, run.scope.cancel, [DeadlinePassed("")])
        guard.start()
        try:
            return request_id, entry.stages.run(run, home)
        finally:
            guard.cancel()

    def fill(self, region, batches, service=SERVICES[0], start=0.6):
        """Have orders of a region wait at its owner for so many calls.

        Its servers are busy, and their calls are held.
        """
        owner = self.owner(service, region)
        owner.calls.held = True
        busy = len([s for s in self.live(service) if s.region == region])
        for _ in range(busy + batches):
            self.place(owner, service, region, LIMITS.batch, invested=True, start=start)
        return owner

    def place(
        self,
        entry,
        service,
        region,
        pieces=1,
        borrowed=False,
        invested=False,
        start=0.6,
    ):
        """Order pieces of a request of their own; return the open order or refusal."""
        request_id = f"r-{next(self.numbers)}"
        order = PieceOrder(
            f"{request_id}/0/0",
            service,
            tuple(Piece(request_id, 0, n, request_id, ()) for n in range(pieces)),
            1000.0,
            0,
            invested,
            region=region,
            borrowed=borrowed,
        )
        now = self.clock.seconds
        scope = CancelScope(now + DEADLINE_SECONDS)
        start_by = now + start
        return entry.orders.begin(order, start_by, scope, threading.Event()), scope
