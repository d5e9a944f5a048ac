"""Puts together what holds servers' limits over all entries."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.entry.limits import LimitsPart
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.permit_messages import LimitsAsk, PermitAsk, PermitReturn
from boragestream.entry.server_permits import ServerPermits
from boragestream.policy.granters import Granters
from boragestream.policy.membership import MemberState
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from boragestream.serving.limited_servers import LimitedServers

__all__ = ["JoinedLimits", "join_limits"]


@dataclass(frozen=True, slots=True)
class JoinedLimits:
    """The limits of servers at one entry.

    :ivar handlers: what answers the messages of peers.
    """

    limits: ServerLimits
    limited: LimitedServers
    handlers: Mapping[type, Handler]


def join_limits(
    own: str,
    members: EntryPeers,
    links: PeerLinks,
    live: Callable[[], Sequence[str]],
    subject: Callable[[Server], str],
    agreed: Callable[[], bool],
    clock: Clock,
    rng: random.Random,
    permit_ended: Callable[[str, bool], None] = lambda service, granted: None,
) -> JoinedLimits:
    """Have the entries hold the limits of servers together.

    :param own: this entry's name.
    :param live: returns the names of the live entries, the own one included.
    :param subject: returns by what the entries are ranked for a server.
    :param agreed: tells whether other entries know the same live ones.
    :param permit_ended: takes the service of each permit that was asked for, and
        whether it was granted.
    """
    exchange = members.exchange
    limits = ServerLimits(clock, exchange.hurry)

    def divided() -> bool:
        silent = members.entries.in_states((MemberState.SUSPECT,))
        return bool(silent) or not agreed()

    granters = Granters(live, subject, clock, divided)
    part = LimitsPart(
        limits, links, members.address, exchange.submit, granters.look_again
    )
    exchange.add_part(part)
    permits = ServerPermits(
        own,
        limits,
        granters,
        members.address,
        agreed,
        links,
        exchange.submit,
        clock,
        permit_ended,
    )
    limited = LimitedServers(limits, permits, lambda: granters.count, clock, rng)
    handlers = {
        LimitsAsk: part.answer,
        PermitAsk: permits.answer,
        PermitReturn: permits.answer_return,
    }
    return JoinedLimits(limits, limited, handlers)
