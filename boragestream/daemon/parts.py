"""What one entry consists of, built once from its settings.

Building starts nothing and opens no listener: ``daemon.listeners`` opens those, and
``daemon.entry`` runs and stops the whole.
"""

import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.base.clock import Clock
from boragestream.base.identifiers import new_incarnation
from boragestream.base.metrics import open_metrics
from boragestream.base.observations import Observations
from boragestream.base.settings import Settings
from boragestream.daemon.demand import Demand
from boragestream.daemon.limits import JoinedLimits, join_limits
from boragestream.daemon.listing import EntryListing
from boragestream.daemon.peers import Peers, join_peers
from boragestream.daemon.tasks import to_leaving
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Sender
from boragestream.entry.tls import PeerTls
from boragestream.policy.admission import Admission
from boragestream.policy.configuration import ConfigurationInForce
from boragestream.policy.load import LoadTable
from boragestream.policy.routing import Place
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.slot_shares import SlotShares
from boragestream.serving.parts import ServingParts, make_parts

__all__ = ["EntryParts", "make_entry_parts"]

ATTEMPT_THREADS = 256
# Threads beyond the requests in hand answer refusals and small questions at once.
SPARE_THREADS = 32


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of one entry.

    :ivar incarnation: this life of the entry.
    :ivar sender: signs what this entry sends to other entries.
    :ivar peers: the other entries.
    :ivar limits: which servers have a limit on their requests.
    :ivar listing: the entries of the published list.
    :ivar serving: what running stages needs.
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    incarnation: str
    configuration: ConfigurationInForce
    servers: ServerTable
    loads: LoadTable
    observations: Observations
    watchdog: Watchdog
    demand: Demand
    admission: Admission
    sender: Sender
    links: PeerLinks
    peers: Peers
    limits: JoinedLimits
    listing: EntryListing
    serving: ServingParts


def make_entry_parts(
    settings: Settings, peer_tls: PeerTls | None, clock: Clock
) -> EntryParts:
    """Build the parts of an entry; nothing runs yet.

    :param peer_tls: TLS towards other entries; None for links in clear.
    """
    who = settings.entry
    rng = random.Random()
    incarnation = new_incarnation()
    configuration = ConfigurationInForce(who.deployment)
    loads = LoadTable(clock, rng)
    observations = _observations(settings, clock)
    demand = Demand.create(who.name, clock)

    # Peers need the table of servers first; none of these is called before all parts
    # stand.
    def tell_leaving(server: Server) -> None:
        peers.members.tell_leaving(to_leaving(server))

    def live_count() -> int:
        return listing.live_count

    servers = ServerTable(left=tell_leaving)

    def call_rate(server: Server) -> float:
        return limits.limits.rate(server)

    slots = SlotShares(servers, loads, live_count, clock, call_rate)
    requests = max(1, settings.caller.threads - SPARE_THREADS)
    admission = Admission(requests, clock, rng, demand.limits, slots.share)

    def take_first_report(service: str) -> None:
        if slots.note_reported(service):
            admission.look_again()

    loads.when_first_reported(take_first_report)
    sender = _sender(settings, incarnation)
    links = PeerLinks(sender, peer_tls)
    peers = join_peers(who, incarnation, links, configuration, servers, clock, rng)
    listing = EntryListing(peers, demand)
    demand.join(peers.members.exchange, incarnation, admission)

    def home() -> Place:
        # The region of an entry is that of a server beside it.
        return Place(who.data_centre, loads.region_of(who.data_centre))

    def live() -> list[str]:
        usable = peers.members.entries.usable()
        return [who.name, *(e.name for e in usable if e.name != who.name)]

    limits = join_limits(
        who.name,
        peers.members,
        links,
        live,
        lambda server: server.name,
        lambda: True,
        clock,
        rng,
    )
    attempts = ThreadPoolExecutor(ATTEMPT_THREADS, "attempt")
    serving = make_parts(
        servers,
        limits.limited,
        peers.quarantine,
        loads,
        attempts,
        clock,
        rng,
        home,
        observations,
    )
    servers.when_unused(serving.connections.forget)
    return EntryParts(
        settings=settings,
        clock=clock,
        rng=rng,
        incarnation=incarnation,
        configuration=configuration,
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
