"""Replicates crash records through the exchange between entries.

The records of requests and those of parts of prompts are two parts of the exchange.
A new record is offered a bounded number of times, and the next rounds of the exchange
start early. Records that this misses, and those that a starting entry lacks, are found
by comparing a digest of the records that quarantine a request. ``policy.quarantine``
interprets the records.
"""

from collections.abc import Callable, Iterable

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.knowledge_messages import (
    PackedCrashes,
    QuarantineAsk,
    QuarantineReply,
)
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, Message
from boragestream.entry.peer_questions import PeerRequests, decode_offer
from boragestream.policy.fingerprints import FINGERPRINT_BYTES
from boragestream.policy.quarantine import CrashRecord, Quarantine

__all__ = ["QuarantinePart"]

# The most records in one message; further ones are offered in the next.
MAX_OFFERED_RECORDS = 10
# The encoded size of one record, and of the rest of an offer, is at most this.
MAX_RECORD_BYTES = 20
OFFER_OVERHEAD_BYTES = 8
# The names of the parts of the exchange.
REQUESTS_NAME, PARTS_NAME = "q", "qp"


class CrashesOffer(msgspec.Struct, frozen=True, array_like=True):
    """The content of this part in one message.

    :ivar digest: the digest of the records that every entry must hold.
    :ivar news: the records that are offered.
    """

    digest: int
    news: tuple[PackedCrashes, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(CrashesOffer)


class QuarantinePart:
    """The part of the exchange that carries crash records.

    :param links: sends requests to peers.
    :param address: returns a peer's address, given its name.
    :param submit: runs a callable, which sends a request, in the background.
    :param of_parts: whether the records are of parts of prompts, not of requests.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        of_parts: bool = False,
    ) -> None:
        self._quarantine = quarantine
        self._of_parts = of_parts
        self._peer_requests = PeerRequests(
            links,
            address,
            submit,
            lambda: QuarantineAsk(parts=of_parts),
            self._merge_reply,
        )

    @property
    def name(self) -> str:
        """The name of this part in the messages of the exchange."""
        return PARTS_NAME if self._of_parts else REQUESTS_NAME

    def offer(self, budget: int) -> bytes:
        """Return the encoded digest and as many new records as fit."""
        if self._of_parts and self._quarantine.empty:
            return b""
        room = max(0, budget - OFFER_OVERHEAD_BYTES) // MAX_RECORD_BYTES
        news = _pack(self._quarantine.next_offers(min(MAX_OFFERED_RECORDS, room)))
        data = _encoder.encode(CrashesOffer(self._quarantine.digest, news))
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge a peer's offer; request its records if the digests differ."""
        offer = decode_offer(_offers, sender, data)
        if offer is None:
            return
        self._merge(sender, offer.news)
        differs = offer.digest != self._quarantine.digest
        if differs and offer.digest:
            self._peer_requests.request(sender)

    def answer(self, envelope: Envelope, message: QuarantineAsk) -> QuarantineReply:
        """Return the records that quarantine a request."""
        return QuarantineReply(_pack(self._quarantine.replicated_records()))

    def _merge_reply(self, peer: str, reply: Message) -> None:
        if isinstance(reply, QuarantineReply):
            self._merge(peer, reply.records)

    def _merge(self, peer: str, packed: Iterable[PackedCrashes]) -> None:
        for fingerprint, freed, cleared, crashes, age_ms in packed:
            record = self._quarantine.new_record(fingerprint, freed, cleared, crashes)
            if len(fingerprint) != FINGERPRINT_BYTES or age_ms < 0:
                emit(
                    Event.PEER_FRAME_REFUSED, peer=peer, reason="malformed crash record"
                )
                continue
            if self._quarantine.merge(record, age_ms / 1000):
                emit(
                    Event.CRASHES_HEARD,
                    fingerprint=fingerprint.hex(),
                    crashes=crashes,
                    answered=freed + cleared,
                    peer=peer,
                    age_ms=age_ms,
                )


def _pack(aged: Iterable[tuple[CrashRecord, float]]) -> tuple[PackedCrashes, ...]:
    return tuple(
        (record.fingerprint, *record.rank, max(0, int(age * 1000)))
        for record, age in aged
    )
