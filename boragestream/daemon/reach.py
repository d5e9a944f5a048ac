"""Builds the objects of an entry that concern which servers it reaches."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.base.route_metrics import RouteMetrics
from boragestream.daemon.limits import SharedLimits
from boragestream.entry.delegation import prove_delegation
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.reach import ReachPart
from boragestream.entry.reach_messages import ReachAsk
from boragestream.policy.cut_entries import CutEntries
from boragestream.policy.delegates import Delegates
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.regions import Regions
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.delegation import DelegationParts, EncodeDelegated
from boragestream.serving.limited_probes import LimitedProbe
from boragestream.serving.reach_checks import Probe, ReachChecks
from boragestream.serving.seated_probes import SeatedProbe

__all__ = [
    "ReachParts",
    "fewest_servers",
    "make_delegation",
    "make_reach",
    "other_servers",
]

# Other servers with which one that seems to have crashed is compared.
COMPARED_SERVERS = 3


@dataclass(frozen=True, slots=True)
class ReachParts:
    """The objects of one entry.

    :ivar reach: the services that this entry reaches.
    :ivar cut_entries: the entries that are cut off from services.
    :ivar checks: checks suspicions and notices the end of a cut.
    """

    reach: ServerReach
    cut_entries: CutEntries
    checks: ReachChecks

    @property
    def handlers(self) -> dict[type, Handler]:
        """The handlers of peer messages, by message type."""
        return {ReachAsk: self.checks.answer}

    def reaches(self, entry: str, service: str) -> bool:
        """Return whether an entry reaches a service, as far as this one knows."""
        return not self.cut_entries.is_cut_off(entry, service)


def make_reach(
    own: str,
    data_centre: str,
    incarnation: str,
    reach: ServerReach,
    members: EntryPeers,
    links: PeerLinks,
    servers: ServerTable,
    loads: LoadTable,
    probe: Probe,
    limits: SharedLimits,
    clock: Clock,
    rng: random.Random,
) -> ReachParts:
    """Connect this entry's own evidence with what the other entries see.

    :param own: this entry's name.
    :param limits: the servers whose probes need a permit or a seat.
    """

    def incarnation_of(entry: str) -> str:
        member = members.entries.table.get(entry)
        return member.incarnation if member is not None else ""

    def services() -> Iterable[str]:
        return dict.fromkeys(server.service for server in servers.all)

    def returned(service: str) -> None:
        loads.close_circuits(servers.live(service))

    cut_entries = CutEntries(
        own, incarnation, incarnation_of, clock, members.exchange.request_round
    )
    checks = ReachChecks(
        own,
        data_centre,
        reach,
        cut_entries,
        LimitedProbe(SeatedProbe(probe, limits.seated, loads), limits.limited),
        members.entries.usable,
        servers.live,
        services,
        links,
        clock,
        rng,
        returned,
        lambda server: limits.limits.limit(server) is not None,
    )
    members.exchange.add_part(ReachPart(cut_entries, checks.note_cut_entry))
    return ReachParts(reach, cut_entries, checks)


def make_delegation(
    own: ListedEntry,
    key: bytes,
    members: EntryPeers,
    cut_entries: CutEntries,
    line: CallLine,
    encode: EncodeDelegated,
    regions: Regions,
    clock: Clock,
    metrics: RouteMetrics,
    resumes: Callable[[ListedEntry, str], bool],
) -> DelegationParts:
    """Build what delegates requests to other entries.

    :param own: this entry.
    :param key: the deployment's peer key.
    :param line: carries the calls to other entries.
    :param resumes: returns whether an entry keeps the streams of a service at the
        software version that began them.
    """
    delegates = Delegates(
        own.name,
        lambda: [entry for entry in members.entries.usable() if entry.host],
        cut_entries,
        own.data_centre,
        regions.of,
        clock,
    )
    return DelegationParts(
        delegates,
        line,
        encode,
        lambda request_id, runs: prove_delegation(key, own.name, request_id, runs),
        metrics.delegation_ended,
        resumes,
    )


def fewest_servers(servers: ServerTable) -> Callable[[str], int]:
    """Return a function that counts a service's live servers in its smallest region.

    The owner of a region's stage queue calls the servers of that region alone, so that
    their failures must suffice for a suspicion.
    """

    def count(service: str) -> int:
        by_region = Counter(server.region for server in servers.live(service))
        return min(by_region.values(), default=0)

    return count


def other_servers(
    servers: ServerTable, rng: random.Random
) -> Callable[[Server], Sequence[Server]]:
    """Return a function that returns some servers other than the one given.

    The first is in another data centre and the second in the server's own, as far as
    there are such, since either data centre may be unreachable.
    """

    def others(server: Server) -> Sequence[Server]:
        listed = [s for s in servers.all if s.identity != server.identity]
        rng.shuffle(listed)
        elsewhere = [s for s in listed if s.data_centre != server.data_centre]
        near = [s for s in listed if s.data_centre == server.data_centre]
        return [*elsewhere[:1], *near[:1], *elsewhere[1:], *near[1:]][:COMPARED_SERVERS]

    return others
