"""Assembles the components that enforce server limits across all entries."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.entry.brittle import BrittlePart
from boragestream.entry.limits import LimitsPart
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.permit_messages import LimitsAsk, PermitAsk, PermitReturn
from boragestream.entry.seat_messages import SeatAsk, SeatReturn
from boragestream.entry.server_permits import ServerPermits
from boragestream.entry.server_seats import ServerSeats
from boragestream.policy.brittle_services import BrittleServices
from boragestream.policy.granters import Granters, RegionGranters
from boragestream.policy.membership import MemberState
from boragestream.policy.queue_owners import eligible_entries
from boragestream.policy.region_entries import RegionEntries
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from boragestream.serving.limited_servers import LimitedServers
from boragestream.serving.seated_servers import SeatedServers

__all__ = ["SharedLimits", "make_shared_limits"]


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """The components of one entry that enforce the limits of servers.

    :ivar limits: the known limit of each server.
    :ivar limited: obtains permits to call servers that have a limit.
    :ivar brittle: the services whose servers bear few rejected calls.
    :ivar seated: obtains seats for calls to their servers.
    :ivar handlers: the handlers of peer messages, by message type.
    """

    limits: ServerLimits
    limited: LimitedServers
    brittle: BrittleServices
    seated: SeatedServers
    handlers: Mapping[type, Handler]


def make_shared_limits(
    own: str,
    members: EntryPeers,
    links: PeerLinks,
    live: Callable[[], Sequence[str]],
    ranking_key: Callable[[Server], str],
    membership_agreed: Callable[[], bool],
    clock: Clock,
    rng: random.Random,
    permit_ended: Callable[[str, bool], None] = lambda service, granted: None,
    among: Callable[[Server, Sequence[str]], Sequence[str]] = lambda server, live: live,
    region_entries: RegionEntries | None = None,
    version: Callable[[], int] = lambda: 0,
    open_calls: Callable[[Server], int] = lambda server: 0,
) -> SharedLimits:
    """Connect this entry to its peers to enforce server limits jointly.

    :param own: this entry's name.
    :param live: returns the names of the live entries, including this one.
    :param ranking_key: returns the key by which entries are ranked for a server.
    :param membership_agreed: returns whether the other entries know the same live
        entries.
    :param permit_ended: called for each requested permit with the service and
        whether the permit was granted.
    :param among: returns those of the live entries that are ranked for a server.
    :param region_entries: selects the entries that are ranked for a server of a region;
        None if all live entries are ranked for each server.
    :param version: returns a number that changes when ``among`` may return other
        entries although the live ones are the same.
    :param open_calls: returns the number of this entry's calls at a server.
    """
    exchange = members.exchange
    limits = ServerLimits(clock, exchange.request_round)

    def region_of(server: Server) -> str:
        return region_entries.region_of(server) if region_entries is not None else ""

    def make_granters(region: str) -> Granters:
        def ranked() -> Sequence[str]:
            entries = region_entries.in_charge(region) if region else []
            return eligible_entries(entries) or live()

        def membership_uncertain() -> bool:
            suspects = members.entries.in_states((MemberState.SUSPECT,))
            if region:
                # Entries of other regions are not ranked, so that a different view of
                # them changes nothing.
                suspects = region_entries.of_region(region, suspects)
            return bool(suspects) or not membership_agreed()

        if region:
            return Granters(ranked, ranking_key, clock, membership_uncertain)
        return Granters(
            ranked, ranking_key, clock, membership_uncertain, among, version
        )

    granters = RegionGranters(region_of, make_granters)
    part = LimitsPart(limits, links, members.address, exchange.submit, granters.refresh)
    exchange.add_part(part)
    permits = ServerPermits(
        own,
        limits,
        granters,
        members.address,
        membership_agreed,
        links,
        exchange.submit,
        clock,
        permit_ended,
    )
    limited = LimitedServers(limits, permits, lambda: granters.count, clock, rng)
    brittle = BrittleServices(clock, exchange.request_round)
    exchange.add_part(BrittlePart(brittle))
    seats = ServerSeats(
        own,
        brittle,
        granters,
        members.address,
        membership_agreed,
        links,
        exchange.submit,
        clock,
        open_calls,
    )
    seated = SeatedServers(seats, limited, lambda: granters.count, clock, rng)
    handlers = {
        SeatAsk: seats.answer,
        SeatReturn: seats.answer_return,
        LimitsAsk: part.answer,
        PermitAsk: permits.answer,
        PermitReturn: permits.answer_return,
    }
    return SharedLimits(limits, limited, brittle, seated, handlers)
