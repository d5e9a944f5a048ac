"""Membership and leaving servers on the exchange between entries.

Each message carries the sender's own record, some news, and one digest of each table.
Where digests differ, the entry that sees it asks the other for the buckets that do;
not more often than ``REPAIR_GAP_SECONDS``, since news under way differs for a moment.
"""

import threading
from collections.abc import Callable
from functools import reduce
from operator import xor

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.entry.messages import Envelope, Repair, RepairReply
from boragestream.policy.gossip import GossipTable
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.membership import Member, MemberState
from boragestream.policy.peers import EntryTable

__all__ = ["MembershipPart"]

REPAIR_GAP_SECONDS = 1.0
# Records in one message; what does not fit is offered in the next.
NEWS_MEMBERS = 6
NEWS_SERVERS = 4
MEMBERS = "members"
SERVERS = "servers"

PackedMember = tuple[str, str, int, int, MemberState]
PackedServer = tuple[str, str, str]


class MembersOffer(msgspec.Struct, frozen=True, array_like=True):
    """What one message says.

    :ivar own: the sender's record of itself.
    :ivar digest: of its table of entries.
    :ivar servers_digest: of its table of leaving servers.
    """

    own: PackedMember
    digest: int
    servers_digest: int
    members: tuple[PackedMember, ...] = ()
    servers: tuple[PackedServer, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(MembersOffer)
_member_lists = msgspec.msgpack.Decoder(tuple[PackedMember, ...])
_server_lists = msgspec.msgpack.Decoder(tuple[PackedServer, ...])


class MembershipPart:
    """The part of the exchange that carries membership.

    :param entries: the table of entries.
    :param servers: the table of leaving servers.
    :param take_server: takes a leaving server that another entry told of.
    :param ask_repair: asks a peer, by its name, for what differs.
    """

    name = "m"

    def __init__(
        self,
        entries: EntryTable,
        servers: GossipTable[LeavingServer],
        take_server: Callable[[LeavingServer], None],
        ask_repair: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._entries = entries
        self._servers = servers
        self._take_server = take_server
        self._ask_repair = ask_repair
        self._clock = clock
        self._repaired_at = -REPAIR_GAP_SECONDS
        self._lock = threading.Lock()

    def offer(self, budget: int) -> bytes:
        """Return the own record, the digests and some news."""
        table = self._entries.table
        offer = MembersOffer(
            _pack_member(self._entries.own),
            reduce(xor, table.digests),
            reduce(xor, self._servers.digests),
            tuple(_pack_member(m) for m in table.news(NEWS_MEMBERS)),
            tuple(_pack_server(s) for s in self._servers.news(NEWS_SERVERS)),
        )
        data = _encoder.encode(offer)
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge what a peer offered, and ask it for more where tables differ."""
        try:
            offer = _offers.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for packed in (offer.own, *offer.members):
            self._entries.take(Member(*packed))
        for packed in offer.servers:
            self._take_server(LeavingServer(*packed))
        same = offer.digest == reduce(xor, self._entries.table.digests)
        servers_same = offer.servers_digest == reduce(xor, self._servers.digests)
        if not (same and servers_same) and self._may_repair():
            self._ask_repair(sender)

    def repair(self) -> Repair:
        """Return the question for what differs."""
        digests = {
            MEMBERS: self._entries.table.digests,
            SERVERS: self._servers.digests,
        }
        return Repair(digests)

    def answer_repair(self, envelope: Envelope, message: Repair) -> RepairReply:
        """Return the records of the buckets in which a peer differs."""
        table = self._entries.table
        members = table.in_buckets(table.differing(message.digests.get(MEMBERS, ())))
        differing = self._servers.differing(message.digests.get(SERVERS, ()))
        servers = self._servers.in_buckets(differing)
        return RepairReply(
            {
                MEMBERS: _encoder.encode([_pack_member(m) for m in members]),
                SERVERS: _encoder.encode([_pack_server(s) for s in servers]),
            }
        )

    def take_repair(self, reply: RepairReply) -> None:
        """Merge the records that a peer sent."""
        for packed in _member_lists.decode(reply.records[MEMBERS]):
            self._entries.take(Member(*packed))
        for packed in _server_lists.decode(reply.records[SERVERS]):
            self._take_server(LeavingServer(*packed))

    def _may_repair(self) -> bool:
        with self._lock:
            now = self._clock.now()
            if now - self._repaired_at < REPAIR_GAP_SECONDS:
                return False
            self._repaired_at = now
            return True


def _pack_member(member: Member) -> PackedMember:
    return (
        member.name,
        member.incarnation,
        member.generation,
        member.counter,
        member.state,
    )


def _pack_server(server: LeavingServer) -> PackedServer:
    return (server.name, server.host, server.incarnation)
