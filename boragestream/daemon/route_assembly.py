"""Builds the objects of an entry that forwards calls, from its settings.

Building starts no task and opens no listener; ``daemon.route_entry`` does both.
"""

import itertools
import random
import threading

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.clock import Clock
from boragestream.base.identifiers import new_incarnation
from boragestream.base.route_metrics import RouteMetrics
from boragestream.daemon.account_parts import make_account_parts
from boragestream.daemon.bounds import cold_bound, make_retries
from boragestream.daemon.call_lines import (
    CONNECT_SECONDS,
    make_entry_line,
    make_server_line,
)
from boragestream.daemon.late_parts import make_late_service, new_return_times
from boragestream.daemon.limits import make_shared_limits
from boragestream.daemon.memory import make_budget, make_outstanding
from boragestream.daemon.operator_values import OperatorValues, offer_route_text
from boragestream.daemon.peers import make_part_crashes, make_quarantine
from boragestream.daemon.publications import (
    AWAITED_KEYS,
    make_publications,
)
from boragestream.daemon.published_servers import PublishedServers
from boragestream.daemon.reach import (
    fewest_servers,
    make_delegation,
    make_reach,
    other_servers,
)
from boragestream.daemon.regional import make_regional
from boragestream.daemon.response_hints import response_hints
from boragestream.daemon.route_parts import RouteParts
from boragestream.daemon.service_definitions import ServiceDefinitions
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.daemon.stage_owners import StageOwners
from boragestream.daemon.stream_parts import make_prompt_caches, make_stream_parts
from boragestream.daemon.tasks import to_leaving_server
from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Sender
from boragestream.entry.peers import EntryPeers
from boragestream.entry.relay import ConfigurationRelay
from boragestream.platform.pieces import PieceCallFormat, encode_probe
from boragestream.platform.wire import encode_call, encode_delegated_call
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.cut_entries import ALL_SERVICES
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.load import LoadTable
from boragestream.policy.oversized_answers import OversizedAnswers
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_choice import RegionChoice
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_choice import ServerChoice
from boragestream.policy.server_lives import ServerIncarnations
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.stage_delays import StageDelays
from boragestream.policy.stage_regions import StageRegions
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarder import Forwarder
from boragestream.serving.owner_links import OwnerLinks
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_bookings import PieceBookings
from boragestream.serving.piece_calls import BatchParts
from boragestream.serving.piece_orders import PieceOrders
from boragestream.serving.server_probe import ServerProbe
from boragestream.serving.stage_pieces import StagePieces

__all__ = ["make_route_parts"]

# Names the deployment in messages between entries, so that an entry refuses messages
# of another deployment.
DEPLOYMENT = "routes"


def make_route_parts(in_force: SettingsInForce, clock: Clock) -> RouteParts:
    """Build the objects of an entry without starting any."""
    settings = in_force.current
    rng = random.Random()
    own = settings.listen.peer_name
    incarnation = new_incarnation()
    sender = Sender(DEPLOYMENT, own, incarnation, settings.peers.key.encode())
    routes = RoutesInForce(clock)
    services = ServiceDefinitions(routes, lambda: len(book.entries))
    service_definition, piece_limits = services.definition, services.piece_limits
    loads = LoadTable(clock, rng)
    watchdog = Watchdog(clock)
    metrics = RouteMetrics()
    regional = make_regional(
        settings,
        lambda: members,
        services.is_staged,
        clock,
        rng,
        metrics,
        lambda entry: reach_parts.reaches(entry, ALL_SERVICES),
    )
    links = PeerLinks(sender, meter=regional.meter)

    # These functions refer to objects that are built below, and nothing calls them
    # before all objects are built.
    def announce_leaving(server: Server) -> None:
        members.announce_leaving_server(to_leaving_server(server))

    def note_leaving(server: LeavingServer) -> None:
        servers.note_leaving_identity((server.name, server.host, server.incarnation))

    drains_centres = settings.store.draining_ms is not None
    servers = ServerTable(announce_leaving, awaits_orders=drains_centres)
    data_centre = settings.entry.data_centre
    regions, region_links = regional.regions, regional.links
    members = EntryPeers(
        own, incarnation, data_centre, links, note_leaving, clock, rng, region_links
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
    part_crashes, blocked_part = make_part_crashes(own, members, links, clock)
    members.exchange.add_part(book)
    sync = AddressSync(
        book, links, members.exchange.submit, clock, rng, members.of_own_region
    )
    members.exchange.add_part(sync)
    routes.add_listener(lambda table: members.exchange.request_round())

    accounts = make_account_parts(settings, own, incarnation, members, clock)
    retries = make_retries(in_force, book, sync, clock)
    connections = ConnectionKeeper(CONNECT_SECONDS)
    servers.on_unused(connections.forget)
    backoffs = ServerBackoffs(clock)
    resources = settings.resources
    memory = make_budget(resources.memory_mb, resources.threads, clock)

    stage_owners = StageOwners(
        listed,
        members.entries.usable,
        regions,
        services.is_staged,
        regional.entries.ranked,
        lambda entry, service: reach_parts.reaches(entry, service),
    )
    limits = make_shared_limits(
        own,
        members,
        links,
        stage_owners.granting,
        stage_owners.granted_by,
        lambda: sync.has_converged,
        clock,
        rng,
        metrics.permit_ended,
        stage_owners.granting_among,
        regional.entries,
        lambda: reach_parts.cut_entries.version,
        lambda server: choice.open_calls.count(server),
    )
    apply_response_hints = response_hints(
        servers, backoffs, limits.limits, limits.brittle
    )
    reach = ServerReach(clock, fewest_servers(servers))
    oversized = OversizedAnswers(clock)
    line = make_server_line(
        connections,
        clock,
        services.max_idle,
        apply_response_hints,
        memory,
        reach,
        metrics,
        oversized,
    )
    probe = ServerProbe(
        line,
        lambda s: encode_probe(s, services.health_path(s.service)),
        watchdog,
        clock,
    )
    reach_parts = make_reach(
        own,
        data_centre,
        incarnation,
        reach,
        members,
        links,
        servers,
        loads,
        probe,
        limits,
        clock,
        rng,
    )
    compared_servers = other_servers(servers, rng)

    cold = ColdServers(
        own,
        cold_bound(in_force, service_definition),
        stage_owners.cold_senders,
        lambda: sync.has_converged,
        clock,
        loads.is_ejected,
    )

    first = StartupReadiness(clock, AWAITED_KEYS)
    ended = threading.Event()
    owners = OwnerLinks(
        own,
        stage_owners.eligible,
        links,
        clock,
        region_links,
        stage_owners.region_of,
        reach_parts.reaches,
    )
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
        list_age=lambda: publications.confirming.age(),
        late=make_late_service(settings),
        note_server_answer=regional.note_server_answer,
        shares=accounts.new_queue,
        returns=lambda: new_return_times(settings),
        other_servers=compared_servers,
        is_cut_off=reach.is_cut_off,
        is_brittle=limits.brittle.is_brittle,
        part_crashes=part_crashes,
    )
    batches = PieceBatches(batch_parts, orders.report_results)
    orders.set_batches(batches)
    bookings = PieceBookings(owners, batches, clock)
    engine_delays = EngineDelays()

    def has_servers(service: str, region: str) -> bool:
        return any(server.region == region for server in servers.live(service))

    streams = make_stream_parts(
        own, members, links, clock, lambda: publications, services.longest_stream
    )
    published_servers = PublishedServers(
        ServerIncarnations(clock),
        members,
        servers,
        loads,
        cold,
        limits.limits,
        settings.regions,
        batches.update_queues,
        streams,
        lambda: publications.servers.table,
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
        regions,
        published_servers.note_changes,
        streams.history.note_gap,
    )
    members.exchange.add_part(publications.relay)
    delegation = make_delegation(
        listed,
        settings.peers.key.encode(),
        members,
        reach_parts.cut_entries,
        make_entry_line(clock, memory, metrics),
        encode_delegated_call,
        regions,
        clock,
        metrics,
        streams.records.shares_records,
    )
    choice = ServerChoice(loads, clock, data_centre)
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
            choice=choice,
            regions=RegionChoice(region_links, clock),
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
                settings.late.until_deadline,
                StageRegions(regions, region_links, has_servers),
                accounts.active,
                part_crashes,
                retries.spend,
            ),
            engine_delays=engine_delays,
            clock=clock,
            rng=rng,
            metrics=metrics,
            list_age=publications.confirming.age,
            shares=accounts.services,
            outstanding=make_outstanding(settings.resources, clock),
            seated=limits.seated,
            delegation=delegation,
            other_servers=compared_servers,
            origins=streams.records,
            prompt_caches=make_prompt_caches(line, watchdog, clock, batch_parts),
            part_crashes=part_crashes,
            oversized=oversized,
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
        quarantine_parts=(quarantine_part, blocked_part),
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
        accounts=accounts,
        region_links=region_links,
        reach=reach_parts,
        orders=orders,
        bookings=bookings,
        batches=batches,
        streams=streams,
        forwarder=forwarder,
    )
