"""Replication of the membership and leaving-server tables between entries.

Each message carries the sender's own record, some recent changes and one digest of each
table. An entry that sees a different digest requests the differing buckets from the
sender, at most once per ``MIN_REPAIR_INTERVAL_SECONDS``, since tables differ briefly
while changes are still being propagated.
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

MIN_REPAIR_INTERVAL_SECONDS = 1.0
# Maximum records in one message; the remaining ones follow in later messages.
MEMBERS_PER_MESSAGE = 6
SERVERS_PER_MESSAGE = 4
MEMBERS = "members"
SERVERS = "servers"

PackedMember = tuple[str, str, int, int, MemberState]
PackedServer = tuple[str, str, str]


class MembersOffer(msgspec.Struct, frozen=True, array_like=True):
    """Content of one message.

    :ivar own: the sender's record of itself.
    :ivar digest: the digest of its table of entries.
    :ivar servers_digest: the digest of its table of leaving servers.
    """

    own: PackedMember
    digest: int
    servers_digest: int
    members: tuple[PackedMember, ...] = ()
    servers: tuple[PackedServer, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offer_decoder = msgspec.msgpack.Decoder(MembersOffer)
_members_decoder = msgspec.msgpack.Decoder(tuple[PackedMember, ...])
_servers_decoder = msgspec.msgpack.Decoder(tuple[PackedServer, ...])


class MembershipPart:
    """The part of the exchange that carries membership.

    :param entries: the table of entries.
    :param servers: the table of leaving servers.
    :param take_server: called with each leaving server that another entry reports.
    :param ask_repair: requests the differing records from the named peer.
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
        self._on_leaving_server = take_server
        self._request_repair = ask_repair
        self._clock = clock
        self._repair_requested_at = -MIN_REPAIR_INTERVAL_SECONDS
        self._lock = threading.Lock()

    def offer(self, budget: int) -> bytes:
        """Return the entry's own record, the digests and some recent changes."""
        table = self._entries.table
        offer = MembersOffer(
            _pack_member(self._entries.own),
            reduce(xor, table.digests),
            reduce(xor, self._servers.digests),
            tuple(_pack_member(m) for m in table.pending_records(MEMBERS_PER_MESSAGE)),
            tuple(
                _pack_server(s)
                for s in self._servers.pending_records(SERVERS_PER_MESSAGE)
            ),
        )
        data = _encoder.encode(offer)
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge a peer's offer, and request a repair where the tables differ."""
        try:
            offer = _offer_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for packed in (offer.own, *offer.members):
            self._entries.merge(Member(*packed))
        for packed in offer.servers:
            self._on_leaving_server(LeavingServer(*packed))
        same = offer.digest == reduce(xor, self._entries.table.digests)
        servers_same = offer.servers_digest == reduce(xor, self._servers.digests)
        if not (same and servers_same) and self._may_request_repair():
            self._request_repair(sender)

    def repair(self) -> Repair:
        """Return a request for the records that differ from this entry's."""
        digests = {
            MEMBERS: self._entries.table.digests,
            SERVERS: self._servers.digests,
        }
        return Repair(digests)

    def answer_repair(self, envelope: Envelope, message: Repair) -> RepairReply:
        """Return the records of the buckets that differ from the peer's."""
        table = self._entries.table
        members = table.records_in_buckets(
            table.differing_buckets(message.digests.get(MEMBERS, ()))
        )
        differing = self._servers.differing_buckets(message.digests.get(SERVERS, ()))
        servers = self._servers.records_in_buckets(differing)
        return RepairReply(
            {
                MEMBERS: _encoder.encode([_pack_member(m) for m in members]),
                SERVERS: _encoder.encode([_pack_server(s) for s in servers]),
            }
        )

    def merge_repair(self, reply: RepairReply) -> None:
        """Merge the records that a peer sent."""
        for packed in _members_decoder.decode(reply.records[MEMBERS]):
            self._entries.merge(Member(*packed))
        for packed in _servers_decoder.decode(reply.records[SERVERS]):
            self._on_leaving_server(LeavingServer(*packed))

    def _may_request_repair(self) -> bool:
        with self._lock:
            now = self._clock.now()
            if now - self._repair_requested_at < MIN_REPAIR_INTERVAL_SECONDS:
                return False
            self._repair_requested_at = now
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
