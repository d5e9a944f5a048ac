"""Builds the components of one entry from its settings.

Building starts no threads and opens no listeners: ``daemon.listeners`` opens the
listeners, and ``daemon.entry`` runs and stops the entry.
"""

import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.base.clock import Clock
from boragestream.base.identifiers import new_incarnation
from boragestream.base.memory_budget import MemoryBudget
from boragestream.base.metrics import open_metrics
from boragestream.base.observations import Observations
from boragestream.base.settings import Settings
from boragestream.daemon.demand import Demand
from boragestream.daemon.limits import SharedLimits, make_shared_limits
from boragestream.daemon.listing import EntryListing
from boragestream.daemon.memory import make_budget
from boragestream.daemon.peers import Peers, make_peers
from boragestream.daemon.reach import (
    ReachParts,
    fewest_servers,
    make_reach,
    other_servers,
)
from boragestream.daemon.tasks import to_leaving_server
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Sender
from boragestream.entry.tls import PeerTls
from boragestream.policy.admission import Admission
from boragestream.policy.configuration import ConfigurationInForce
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.load import LoadTable
from boragestream.policy.routing import Location
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.slot_shares import SlotShares
from boragestream.serving.health_probe import HealthProbe
from boragestream.serving.parts import ServingParts, make_parts

__all__ = ["DOCUMENT", "INSTANCES", "EntryParts", "make_entry_parts"]

# What an entry needs to know before it can serve requests.
DOCUMENT, INSTANCES = "document", "instances"
# An entry exchanges messages with its peers before it reads its first document.
START_HOLD_SECONDS = 1.0
ATTEMPT_THREADS = 256
# Threads beyond the limit of open requests answer refusals and small queries at once.
SPARE_THREADS = 32


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The components of one entry.

    :ivar incarnation: the incarnation of this entry.
    :ivar first: whether the first document and instance list are pending.
    :ivar sender: signs the messages that this entry sends to peers.
    :ivar peers: the components that connect this entry to its peers.
    :ivar limits: the components that enforce the limits of servers.
    :ivar listing: the entries of the published list.
    :ivar serving: the components that run stages.
    :ivar reach: which services this entry and the others reach.
    :ivar memory: the bytes that the entry may hold for others.
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    incarnation: str
    configuration: ConfigurationInForce
    first: StartupReadiness
    servers: ServerTable
    loads: LoadTable
    observations: Observations
    watchdog: Watchdog
    demand: Demand
    admission: Admission
    sender: Sender
    links: PeerLinks
    peers: Peers
    limits: SharedLimits
    listing: EntryListing
    serving: ServingParts
    reach: ReachParts
    memory: MemoryBudget


def make_entry_parts(
    settings: Settings, peer_tls: PeerTls | None, clock: Clock
) -> EntryParts:
    """Build the components of an entry without starting them.

    :param peer_tls: TLS for connections to other entries; None for plaintext.
    """
    entry_settings = settings.entry
    rng = random.Random()
    incarnation = new_incarnation()
    configuration = ConfigurationInForce(entry_settings.deployment)
    first = StartupReadiness(clock, (DOCUMENT, INSTANCES), START_HOLD_SECONDS)
    # Another entry may send a document before the configuration service answers.
    configuration.add_listener(lambda: first.note_known(DOCUMENT))
    loads = LoadTable(clock, rng)
    observations = _observations(settings, clock)
    demand = Demand.create(entry_settings.name, clock)

    # The functions below refer to components that are built later. None is called
    # before all components exist.
    def announce_leaving(server: Server) -> None:
        peers.members.announce_leaving_server(to_leaving_server(server))

    def live_count() -> int:
        return listing.live_count

    servers = ServerTable(left=announce_leaving)

    def call_rate(server: Server) -> float:
        return limits.limits.rate(server)

    slots = SlotShares(servers, loads, live_count, clock, call_rate)
    requests = max(1, settings.caller.threads - SPARE_THREADS)

    def limited_wait(service: str) -> float:
        if not limits.limits.count:
            return 0.0
        return limits.limited.service_wait(
            serving.backoffs.usable(servers.live(service))
        )

    admission = Admission(
        requests, clock, rng, demand.limits, slots.share, limited_wait
    )

    def on_first_report(service: str) -> None:
        if slots.note_first_report(service):
            admission.recheck_queue()

    loads.on_first_report(on_first_report)
    sender = _sender(settings, incarnation)
    links = PeerLinks(sender, peer_tls)
    peers = make_peers(
        entry_settings, incarnation, links, configuration, servers, clock, rng
    )
    listing = EntryListing(peers, demand)
    demand.join(peers.members.exchange, incarnation, admission)

    def home() -> Location:
        # An entry has the region of the servers in its data centre.
        return Location(
            entry_settings.data_centre, loads.region_of(entry_settings.data_centre)
        )

    def live() -> list[str]:
        usable = peers.members.entries.usable()
        names = [
            entry_settings.name,
            *(e.name for e in usable if e.name != entry_settings.name),
        ]
        return list(reach_parts.cut_entries.reaching(names, str))

    limits = make_shared_limits(
        entry_settings.name,
        peers.members,
        links,
        live,
        lambda server: server.name,
        lambda: True,
        clock,
        rng,
        open_calls=lambda server: loads.get(server).in_progress,
    )
    reach = ServerReach(clock, fewest_servers(servers))
    reach_parts = make_reach(
        entry_settings.name,
        entry_settings.data_centre,
        incarnation,
        reach,
        peers.members,
        links,
        servers,
        loads,
        HealthProbe(reach, clock),
        limits,
        clock,
        rng,
    )
    attempts = ThreadPoolExecutor(ATTEMPT_THREADS, "attempt")
    serving = make_parts(
        servers,
        limits.limited,
        limits.seated,
        reach,
        other_servers(servers, rng),
        peers.quarantine,
        loads,
        attempts,
        clock,
        rng,
        home,
        observations,
    )
    servers.on_unused(serving.connections.forget)
    return EntryParts(
        settings=settings,
        clock=clock,
        rng=rng,
        incarnation=incarnation,
        configuration=configuration,
        first=first,
        servers=servers,
        loads=loads,
        observations=observations,
        watchdog=Watchdog(clock),
        demand=demand,
        admission=admission,
        sender=sender,
        links=links,
        peers=peers,
        limits=limits,
        listing=listing,
        serving=serving,
        reach=reach_parts,
        memory=make_budget(settings.resources.memory_mb, requests, clock),
    )


def _observations(settings: Settings, clock: Clock) -> Observations:
    statsd = settings.metrics
    metrics = open_metrics(
        statsd.statsd_address, statsd.statsd_port, settings.entry.name
    )
    return Observations(clock, metrics)


def _sender(settings: Settings, incarnation: str) -> Sender:
    peer = settings.peer
    return Sender(
        settings.entry.deployment,
        settings.entry.name,
        incarnation,
        peer.key.encode(),
        tuple(key.encode() for key in peer.also_accepted),
    )
