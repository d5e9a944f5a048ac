"""What an entry that forwards calls consists of, built once from its settings.

Building starts nothing and opens no listener: ``daemon.route_entry`` does both.
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
from boragestream.daemon.limits import JoinedLimits, join_limits
from boragestream.daemon.operator_values import OperatorValues, take_route_text
from boragestream.daemon.peers import join_quarantine
from boragestream.daemon.publications import (
    AWAITED,
    Publications,
    make_publications,
)
from boragestream.daemon.published_servers import PublishedServers
from boragestream.daemon.response_hints import response_hints
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.daemon.tasks import to_leaving
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
from boragestream.policy.first_knowledge import FirstKnowledge
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.queue_owners import able_entries, owner_order
from boragestream.policy.retry_window import RetryBounds, RetryWindows
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import ServerChoice
from boragestream.policy.server_lives import ServerLives
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

# What entries send one another is meant for this deployment alone.
DEPLOYMENT = "routes"
CONNECT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class RouteParts:
    """The parts of one entry.

    :ivar incarnation: this life of the entry.
    :ivar book: the addresses of the other entries.
    :ivar address_sync: finds where the books of other entries differ.
    :ivar members: how the other entries are.
    :ivar cold: which servers have just started.
    :ivar limits: which servers have a limit on their requests.
    :ivar quarantine: which requests crash servers.
    :ivar quarantine_part: passes them on to other entries.
    :ivar published_servers: takes the published entries of servers.
    :ivar publications: what is followed of the platform's store.
    :ivar ended: set once the entry has ended.
    :ivar first: whether the first answers of the platform are still awaited.
    :ivar orders: the pieces of this entry's requests.
    :ivar bookings: places in queues for what this entry's requests will order.
    :ivar batches: the queues of pieces that this entry owns.
    """

    settings: RouteSettings
    clock: Clock
    incarnation: str
    routes: RoutesInForce
    servers: ServerTable
    loads: LoadTable
    cold: ColdServers
    limits: JoinedLimits
    quarantine: Quarantine
    quarantine_part: QuarantinePart
    published_servers: PublishedServers
    watchdog: Watchdog
    metrics: RouteMetrics
    publications: Publications
    ended: threading.Event
    first: FirstKnowledge
    sender: Sender
    book: AddressBook
    address_sync: AddressSync
    members: EntryPeers
    relay: ConfigurationRelay
    orders: PieceOrders
    bookings: PieceBookings
    batches: PieceBatches
    forwarder: Forwarder

    @property
    def handlers(self) -> dict[type, Handler]:
        """What answers the messages of other entries."""
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
    """Build the parts of an entry; nothing runs yet."""
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

    # Peers need the table of servers first; it is not called before all parts stand.
    def tell_leaving(server: Server) -> None:
        members.tell_leaving(to_leaving(server))

    def server_left(server: LeavingServer) -> None:
        servers.take_notice((server.name, server.host, server.incarnation))

    drains = settings.store.draining_ms is not None
    servers = ServerTable(tell_leaving, awaits_orders=drains)
    centre = settings.entry.data_centre
    members = EntryPeers(own, incarnation, centre, links, server_left, clock, rng)
    capacity = settings.resources.capacity
    callers = settings.listen.callers
    listed = ListedEntry(own, callers, own, centre, capacity=capacity)
    book = AddressBook(listed, rng, members.take_entries)
    relay = ConfigurationRelay(
        routes,
        lambda text, source: take_route_text(routes, text, source, None),
        links,
        members.address,
        members.exchange.submit,
    )
    members.exchange.add_part(relay)
    quarantine, quarantine_part = join_quarantine(own, members, links, clock)
    members.exchange.add_part(book)
    sync = AddressSync(book, links, members.exchange.submit, clock, rng)
    members.exchange.add_part(sync)
    routes.when_taken(lambda table: members.exchange.hurry())

    def live() -> Sequence[str]:
        others = [e for e in members.entries.usable() if e.host and e.name != own]
        return able_entries([*others, listed])

    def retry_bounds() -> RetryBounds:
        bounds = in_force.current.retries
        return RetryBounds(bounds.share, bounds.window_seconds, bounds.slack)

    retries = RetryWindows(clock.now, retry_bounds, lambda: len(book.entries))
    connections = ConnectionKeeper(CONNECT_SECONDS)
    servers.when_unused(connections.forget)

    def published(service: str) -> RouteService | None:
        table = routes.current
        return table.services.get(service) if table is not None else None

    def most_idle(service: str) -> int:
        known = published(service)
        count = len(book.entries)
        return idle_connections(known.max_connections, count) if known else 0

    backoffs = ServerBackoffs(clock)

    def piece_limits(service: str) -> PieceLimits | None:
        known = published(service)
        return known.pieces if known is not None else None

    def granted_by(server: Server) -> str:
        # Only the owner of a stage's queue calls its servers.
        staged = piece_limits(server.service) is not None
        return server.service if staged else server.name

    limits = join_limits(
        own,
        members,
        links,
        live,
        granted_by,
        lambda: sync.agreed,
        clock,
        rng,
        metrics.permit_ended,
    )
    note_head = response_hints(servers, backoffs, limits.limits)
    line = CallLine(read_answer_head, connections, clock, most_idle, note_head)

    def cold_bound(service: str) -> ColdBound | None:
        known, cold = published(service), in_force.current.cold
        if known is None or cold is None or known.cold_rate <= 0:
            return None
        most = known.cold_rate * cold.factor + cold.slack
        return ColdBound(known.cold_rate, most, known.cold_seconds)

    def cold_senders(server: Server) -> list[str]:
        if piece_limits(server.service) is not None:
            # Only the owner of a stage's queue calls its servers.
            return owner_order(server.service, live())
        usable = {entry.name for entry in members.entries.usable() if entry.host}
        return senders(server, usable | {own})

    cold = ColdServers(own, cold_bound, cold_senders, lambda: sync.agreed, clock)

    # Orders come once the entry listens, when all parts stand.
    def used() -> None:
        publications.confirming.note_use()

    first = FirstKnowledge(clock, AWAITED)
    ended = threading.Event()
    owners = OwnerLinks(own, live, links, clock)
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
        limits=piece_limits,
        used=used,
    )
    batches = PieceBatches(batch_parts, orders.done)
    orders.join(batches)
    bookings = PieceBookings(owners, batches, clock)
    engine_delays = EngineDelays()
    published_servers = PublishedServers(
        ServerLives(clock),
        members,
        servers,
        loads,
        cold,
        limits.limits,
        settings.regions,
        batches.look_again,
        lambda: publications.servers.table.position,
    )
    operator_values = OperatorValues(
        lambda text: take_route_text(
            routes, text, "platform", publications.operators.table.position
        ),
        servers,
        cold,
        batches.look_again,
        lambda: publications.confirming.age(),
    )
    publications = make_publications(
        settings.store,
        centre,
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
            choice=ServerChoice(loads, clock, centre),
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
            ),
            engine_delays=engine_delays,
            clock=clock,
            rng=rng,
            metrics=metrics,
            list_age=publications.confirming.age,
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
        orders=orders,
        bookings=bookings,
        batches=batches,
        forwarder=forwarder,
    )
