"""Replicates the limits of servers through the exchange between entries.

A new record is offered a bounded number of times, and the next rounds of the exchange
start early. Records that this misses, and those that a starting entry lacks, are found
by comparing digests. ``policy.server_limits`` interprets the records.
"""

from collections.abc import Callable, Iterable
from functools import reduce
from operator import xor

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, Message
from boragestream.entry.peer_questions import PeerRequests, decode_offer
from boragestream.entry.permit_messages import LimitsAsk, LimitsReply, PackedLimit
from boragestream.policy.limit_records import SERVER_KEY_BYTES, LimitChange, LimitRecord
from boragestream.policy.server_limits import ServerLimits

__all__ = ["LimitsPart", "log_limit_change", "pack_limit", "unpack_limit"]

# The most records in one message; further ones are offered in the next.
MAX_OFFERED_RECORDS = 8
# The encoded size of one record, and of the rest of an offer, is at most this.
MAX_RECORD_BYTES = 24
OFFER_OVERHEAD_BYTES = 8
ENDED_HUNDREDTHS = -1


class LimitsOffer(msgspec.Struct, frozen=True, array_like=True):
    """The content of this part in one message.

    :ivar digest: the digest of the sender's records.
    """

    digest: int
    records: tuple[PackedLimit, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(LimitsOffer)


class LimitsPart:
    """The part of the exchange that carries limits.

    :param links: sends requests to peers.
    :param address: returns a peer's address, given its name.
    :param submit: runs a callable, which sends a request, in the background.
    :param each_message: called for each offer before it is encoded.
    """

    name = "l"

    def __init__(
        self,
        limits: ServerLimits,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        each_message: Callable[[], None] = lambda: None,
    ) -> None:
        self._limits = limits
        self._each_message = each_message
        self._peer_requests = PeerRequests(
            links,
            address,
            submit,
            lambda: LimitsAsk(self._limits.table.digests),
            self._merge_reply,
        )

    def offer(self, budget: int) -> bytes:
        """Return the encoded digest and as many new records as fit."""
        self._each_message()
        room = max(0, budget - OFFER_OVERHEAD_BYTES) // MAX_RECORD_BYTES
        new = self._limits.table.pending_records(min(MAX_OFFERED_RECORDS, room))
        records = self._pack(new)
        data = _encoder.encode(LimitsOffer(self._digest(), records))
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge a peer's offer; request its records if the digests differ."""
        offer = decode_offer(_offers, sender, data)
        if offer is None:
            return
        self._merge(sender, offer.records)
        differs = offer.digest != self._digest()
        if differs and offer.digest:
            self._peer_requests.request(sender)

    def answer(self, envelope: Envelope, message: LimitsAsk) -> LimitsReply:
        """Return the records of the buckets whose digests differ from the peer's."""
        table = self._limits.table
        records = table.records_in_buckets(table.differing_buckets(message.digests))
        return LimitsReply(self._pack(records))

    def _pack(self, records: Iterable[LimitRecord]) -> tuple[PackedLimit, ...]:
        return tuple(pack_limit(each, self._limits.age(each)) for each in records)

    def _digest(self) -> int:
        return reduce(xor, self._limits.table.digests)

    def _merge_reply(self, peer: str, reply: Message) -> None:
        if isinstance(reply, LimitsReply):
            self._merge(peer, reply.records)

    def _merge(self, peer: str, packed: Iterable[PackedLimit]) -> None:
        for each in packed:
            record, age = unpack_limit(each)
            malformed = len(record.server) != SERVER_KEY_BYTES or record.revision < 1
            if malformed or age < 0:
                emit(
                    Event.PEER_FRAME_REFUSED, peer=peer, reason="malformed limit record"
                )
                continue
            log_limit_change(self._limits.take(record, age), peer, age)


def pack_limit(record: LimitRecord, age_seconds: float) -> PackedLimit:
    """Return a record in its form on the wire."""
    hundredths = ENDED_HUNDREDTHS if record.hundredths is None else record.hundredths
    return record.server, record.revision, hundredths, int(age_seconds * 1000)


def unpack_limit(packed: PackedLimit) -> tuple[LimitRecord, float]:
    """Return the record of a packed limit and its age in seconds."""
    server, revision, hundredths, age_ms = packed
    limit = None if hundredths < 0 else hundredths
    return LimitRecord(server, revision, limit), age_ms / 1000


def log_limit_change(
    change: LimitChange | None, peer: str = "", age_seconds: float = 0.0
) -> None:
    """Log that a server's limit has changed.

    :param peer: the entry that sent the record; empty if a server's answer showed it.
    :param age_seconds: the time since a server's answer showed it.
    """
    if change is None:
        return
    emit(
        Event.SERVER_LIMIT_CHANGED,
        server=change.server,
        per_second=change.after,
        before=change.before,
        peer=peer,
        age_ms=int(age_seconds * 1000),
    )
