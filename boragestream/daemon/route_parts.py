"""Builds the objects of an entry that forwards calls, from its settings.

Building starts no task and opens no listener; ``daemon.route_entry`` does both.
"""

import itertools
import random
import threading
from collections.abc import Sequence
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.base.identifiers import new_incarnation
from boragestream.base.route_metrics import RouteMetrics
from boragestream.base.route_settings import RouteSettings
from boragestream.daemon.limits import SharedLimits, make_shared_limits
from boragestream.daemon.memory import make_budget, make_outstanding
from boragestream.daemon.operator_values import OperatorValues, offer_route_text
from boragestream.daemon.peers import make_quarantine
from boragestream.daemon.publications import (
    AWAITED_KEYS,
    Publications,
    make_publications,
)
from boragestream.daemon.published_servers import PublishedServers
from boragestream.daemon.response_hints import response_hints
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.daemon.tasks import to_leaving_server
from boragestream.document.routes import PieceLimits, RouteService
from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.knowledge_messages import (
    AddressesAsk,
    PublishedAsk,
    QuarantineAsk,
)
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.messages import DocumentAsk, Sender
from boragestream.entry.peers import EntryPeers
from boragestream.entry.piece_messages import (
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.entry.quarantine import QuarantinePart
from boragestream.entry.relay import ConfigurationRelay
from boragestream.platform.pieces import PieceCallFormat
from boragestream.platform.wire import encode_call, read_answer_head
from boragestream.policy.cold_servers import ColdBound, ColdServers, senders
from boragestream.policy.connection_shares import idle_connections
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.late_service import refuse_late, serve_until_deadline
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.queue_owners import eligible_entries, owner_ranking
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import ServerChoice
from boragestream.policy.server_lives import ServerIncarnations
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.stage_delays import StageDelays
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarder import Forwarder
from boragestream.serving.owner_links import OwnerLinks
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_bookings import PieceBookings
from boragestream.serving.piece_calls import BatchParts
from boragestream.serving.piece_orders import PieceOrders
from boragestream.serving.stage_pieces import StagePieces

__all__ = ["RouteParts", "make_route_parts"]

# Names the deployment in messages between entries, so that an entry refuses messages
# of another deployment.
DEPLOYMENT = "routes"
CONNECT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class RouteParts:
    """The objects of one entry.

    :ivar incarnation: identifies this run of the entry's process.
    :ivar book: the addresses of the other entries.
    :ivar address_sync: finds differences from the address books of other entries.
    :ivar members: the state of the other entries.
    :ivar cold: the servers that have just started.
    :ivar limits: the servers that have a limit on their requests.
    :ivar quarantine: the requests that crash servers.
    :ivar quarantine_part: sends the quarantined requests to other entries.
    :ivar published_servers: applies the published list of servers.
    :ivar publications: the values of the platform's store that the entry follows.
    :ivar ended: set once the entry has ended.
    :ivar first: tells whether the first answers of the platform are still missing.
    :ivar region_links: the links to the other regions.
    :ivar orders: the orders for pieces of this entry's requests.
    :ivar bookings: the bookings of queue positions for later orders of this entry's
        requests.
    :ivar batches: the queues of pieces that this entry owns.
    """

    settings: RouteSettings
    clock: Clock
    incarnation: str
    routes: RoutesInForce
    servers: ServerTable
    loads: LoadTable
    cold: ColdServers
    limits: SharedLimits
    quarantine: Quarantine
    quarantine_part: QuarantinePart
    published_servers: PublishedServers
    watchdog: Watchdog
    metrics: RouteMetrics
    publications: Publications
    ended: threading.Event
    first: StartupReadiness
    sender: Sender
    book: AddressBook
    address_sync: AddressSync
    members: EntryPeers
    relay: ConfigurationRelay
    region_links: RegionLinks
    orders: PieceOrders
    bookings: PieceBookings
    batches: PieceBatches
    forwarder: Forwarder

    @property
    def handlers(self) -> dict[type, Handler]:
        """The handlers for messages of other entries, by the type of the message."""
        return {
            **self.members.handlers,
            **self.limits.handlers,
            DocumentAsk: self.relay.answer,
            AddressesAsk: self.address_sync.answer,
            PublishedAsk: self.publications.relay.answer,
            QuarantineAsk: self.quarantine_part.answer,
            PiecesOrder: self.orders.answer_order,
            PiecesBook: self.bookings.answer_booking,
            PiecesDone: self.orders.answer_done,
            PiecesCancel: self.orders.answer_cancel,
            PiecesRelease: self.orders.answer_release,
        }

    def serving_entries(self) -> list[ListedEntry]:
        """Return the entries that serve callers, this one included."""
        return [entry for entry in self.members.entries.usable() if entry.host]


def make_route_parts(in_force: SettingsInForce, clock: Clock) -> RouteParts:
    """Build the objects of an entry without starting any."""
    settings = in_force.current
    rng = random.Random()
    own = settings.listen.peer_name
    incarnation = new_incarnation()
    sender = Sender(DEPLOYMENT, own, incarnation, settings.peers.key.encode())
    links = PeerLinks(sender)
    routes = RoutesInForce()
    loads = LoadTable(clock, rng)
    watchdog = Watchdog(clock)
    metrics = RouteMetrics()

    # These functions refer to objects that are built below, and nothing calls them
    # before all objects are built.
    def announce_leaving(server: Server) -> None:
        members.announce_leaving_server(to_leaving_server(server))

    def note_server_leaving(server: LeavingServer) -> None:
        servers.note_leaving_identity((server.name, server.host, server.incarnation))

    drains_centres = settings.store.draining_ms is not None
    servers = ServerTable(announce_leaving, awaits_orders=drains_centres)
    data_centre = settings.entry.data_centre
    regions = Regions(data_centre, settings.regions)
    region_links = RegionLinks(regions, clock)
    until_deadline = settings.late.until_deadline
    if until_deadline is None:
        until_deadline = regions.several
    members = EntryPeers(
        own, incarnation, data_centre, links, note_server_leaving, clock, rng
    )
    capacity = settings.resources.capacity
    callers = settings.listen.callers
    listed = ListedEntry(own, callers, own, data_centre, capacity=capacity)
    book = AddressBook(listed, rng, members.set_listed_entries)
    relay = ConfigurationRelay(
        routes,
        lambda text, source: offer_route_text(routes, text, source, None),
        links,
        members.address,
        members.exchange.submit,
    )
    members.exchange.add_part(relay)
    quarantine, quarantine_part = make_quarantine(own, members, links, clock)
    members.exchange.add_part(book)
    sync = AddressSync(book, links, members.exchange.submit, clock, rng)
    members.exchange.add_part(sync)
    routes.add_listener(lambda table: members.exchange.request_round())

    def eligible() -> Sequence[str]:
        other_entries = [
            e for e in members.entries.usable() if e.host and e.name != own
        ]
        return eligible_entries([*other_entries, listed])

    def retry_bounds() -> RetryBounds:
        bounds = in_force.current.retries
        return RetryBounds(bounds.share, bounds.window_seconds, bounds.slack)

    retries = RetryWindows(clock.now, retry_bounds, lambda: len(book.entries))
    connections = ConnectionKeeper(CONNECT_SECONDS)
    servers.on_unused(connections.forget)

    def service_definition(service: str) -> RouteService | None:
        table = routes.current
        return table.services.get(service) if table is not None else None

    def max_idle(service: str) -> int:
        definition = service_definition(service)
        count = len(book.entries)
        return idle_connections(definition.max_connections, count) if definition else 0

    backoffs = ServerBackoffs(clock)
    memory = make_budget(settings.resources, clock)

    def piece_limits(service: str) -> PieceLimits | None:
        definition = service_definition(service)
        return definition.pieces if definition is not None else None

    def granted_by(server: Server) -> str:
        # Only the owner of a stage's queue calls its servers.
        staged = piece_limits(server.service) is not None
        return server.service if staged else server.name

    limits = make_shared_limits(
        own,
        members,
        links,
        eligible,
        granted_by,
        lambda: sync.has_converged,
        clock,
        rng,
        metrics.permit_ended,
    )
    apply_response_hints = response_hints(servers, backoffs, limits.limits)
    line = CallLine(
        read_answer_head, connections, clock, max_idle, apply_response_hints, memory
    )

    def cold_bound(service: str) -> ColdBound | None:
        definition, cold = service_definition(service), in_force.current.cold
        if definition is None or cold is None or definition.cold_rate <= 0:
            return None
        max_per_second = definition.cold_rate * cold.factor + cold.slack
        return ColdBound(definition.cold_rate, max_per_second, definition.cold_seconds)

    def cold_senders(server: Server) -> list[str]:
        if piece_limits(server.service) is not None:
            # Only the owner of a stage's queue calls its servers.
            return owner_ranking(server.service, eligible())
        usable = {entry.name for entry in members.entries.usable() if entry.host}
        return senders(server, usable | {own})

    cold = ColdServers(own, cold_bound, cold_senders, lambda: sync.has_converged, clock)

    first = StartupReadiness(clock, AWAITED_KEYS)
    ended = threading.Event()
    owners = OwnerLinks(own, eligible, links, clock)
    orders = PieceOrders(owners, clock)
    batch_parts = BatchParts(
        line=line,
        format=PieceCallFormat(),
        servers=servers,
        cold=cold,
        backoffs=backoffs,
        limited=limits.limited,
        quarantine=quarantine,
        loads=loads,
        retries=retries,
        watchdog=watchdog,
        clock=clock,
        metrics=metrics,
        piece_limits=piece_limits,
        # Orders arrive only once the entry listens, when all objects are built.
        note_use=lambda: publications.confirming.note_use(),
        late=serve_until_deadline if until_deadline else refuse_late,
    )
    batches = PieceBatches(batch_parts, orders.report_results)
    orders.set_batches(batches)
    bookings = PieceBookings(owners, batches, clock)
    engine_delays = EngineDelays()
    published_servers = PublishedServers(
        ServerIncarnations(clock),
        members,
        servers,
        loads,
        cold,
        limits.limits,
        settings.regions,
        batches.update_queues,
        lambda: publications.servers.table.position,
    )
    operator_values = OperatorValues(
        lambda text: offer_route_text(
            routes, text, "platform", publications.operators.table.position
        ),
        servers,
        cold,
        batches.update_queues,
        lambda: publications.confirming.age(),
    )
    publications = make_publications(
        settings.store,
        data_centre,
        own,
        members,
        links,
        routes,
        operator_values.take,
        published_servers.take,
        first,
        ended,
        clock,
        rng,
    )
    members.exchange.add_part(publications.relay)
    forwarder = Forwarder(
        ForwardParts(
            line=line,
            encode=encode_call,
            servers=servers,
            cold=cold,
            backoffs=backoffs,
            limited=limits.limited,
            quarantine=quarantine,
            loads=loads,
            choice=ServerChoice(loads, clock, data_centre),
            retries=retries,
            stages=StagePieces(
                orders,
                bookings,
                quarantine,
                clock,
                itertools.count(),
                StageDelays(clock.now),
                engine_delays,
                metrics,
                until_deadline,
            ),
            engine_delays=engine_delays,
            clock=clock,
            rng=rng,
            metrics=metrics,
            list_age=publications.confirming.age,
            outstanding=make_outstanding(settings.resources, clock),
        )
    )
    return RouteParts(
        settings=settings,
        clock=clock,
        incarnation=incarnation,
        routes=routes,
        servers=servers,
        loads=loads,
        cold=cold,
        limits=limits,
        quarantine=quarantine,
        quarantine_part=quarantine_part,
        published_servers=published_servers,
        watchdog=watchdog,
        metrics=metrics,
        publications=publications,
        ended=ended,
        first=first,
        sender=sender,
        book=book,
        address_sync=sync,
        members=members,
        relay=relay,
        region_links=region_links,
        orders=orders,
        bookings=bookings,
        batches=batches,
        forwarder=forwarder,
    )
