"""Limits of servers on the exchange between entries.

A new record is offered a bounded number of times and brings the next rounds forward.
What that misses, and what an entry that starts has to learn, is found by digests. What
the records mean is decided by ``policy.server_limits``.
"""

from collections.abc import Callable, Iterable
from functools import reduce
from operator import xor

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, Message
from boragestream.entry.peer_questions import PeerQuestions, decode_offer
from boragestream.entry.permit_messages import LimitsAsk, LimitsReply, PackedLimit
from boragestream.policy.limit_records import SERVER_KEY_BYTES, LimitChange, LimitRecord
from boragestream.policy.server_limits import ServerLimits

__all__ = ["LimitsPart", "note_limit_change", "pack_limit", "unpack_limit"]

# Records in one message; what does not fit is offered in the next.
NEW_RECORDS = 8
# What a record and all else of an offer take at the most.
RECORD_BYTES = 24
OFFER_BYTES = 8
ENDED = -1


class LimitsOffer(msgspec.Struct, frozen=True, array_like=True):
    """What one message says.

    :ivar digest: of the sender's records.
    """

    digest: int
    records: tuple[PackedLimit, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(LimitsOffer)


class LimitsPart:
    """The part of the exchange that carries limits.

    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    :param each_message: called with each message that is made up.
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
        self._questions = PeerQuestions(
            links,
            address,
            submit,
            lambda: LimitsAsk(self._limits.table.digests),
            self._take_reply,
        )

    def offer(self, budget: int) -> bytes:
        """Return the digest and some new records."""
        self._each_message()
        room = max(0, budget - OFFER_BYTES) // RECORD_BYTES
        new = self._limits.table.news(min(NEW_RECORDS, room))
        records = self._pack(new)
        data = _encoder.encode(LimitsOffer(self._digest(), records))
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge what a peer offered, and ask it for more where digests differ."""
        offer = decode_offer(_offers, sender, data)
        if offer is None:
            return
        self._merge(sender, offer.records)
        differs = offer.digest != self._digest()
        if differs and offer.digest:
            self._questions.ask(sender)

    def answer(self, envelope: Envelope, message: LimitsAsk) -> LimitsReply:
        """Return the records of the buckets in which a peer differs."""
        table = self._limits.table
        records = table.in_buckets(table.differing(message.digests))
        return LimitsReply(self._pack(records))

    def _pack(self, records: Iterable[LimitRecord]) -> tuple[PackedLimit, ...]:
        return tuple(pack_limit(each, self._limits.age(each)) for each in records)

    def _digest(self) -> int:
        return reduce(xor, self._limits.table.digests)

    def _take_reply(self, peer: str, reply: Message) -> None:
        if isinstance(reply, LimitsReply):
            self._merge(peer, reply.records)

    def _merge(self, peer: str, packed: Iterable[PackedLimit]) -> None:
        for each in packed:
            record, age = unpack_limit(each)
            malformed = len(record.server) != SERVER_KEY_BYTES or record.revision < 1
            if malformed or age < 0:
                emit(Event.PEER_FRAME_REFUSED, peer=peer, reason="no limit")
                continue
            note_limit_change(self._limits.take(record, age), peer, age)


def pack_limit(record: LimitRecord, age_seconds: float) -> PackedLimit:
    """Return a record as messages carry it."""
    hundredths = ENDED if record.hundredths is None else record.hundredths
    return record.server, record.revision, hundredths, int(age_seconds * 1000)


def unpack_limit(packed: PackedLimit) -> tuple[LimitRecord, float]:
    """Return a record that a message carries, and its age in seconds."""
    server, revision, hundredths, age_ms = packed
    limit = None if hundredths < 0 else hundredths
    return LimitRecord(server, revision, limit), age_ms / 1000


def note_limit_change(
    change: LimitChange | None, peer: str = "", age_seconds: float = 0.0
) -> None:
    """Log that a server's limit has changed.

    :param peer: the entry from which this is known; empty where an answer showed it.
    :param age_seconds: how long ago an answer showed it.
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
