"""Crash records on the exchange between entries.

A new record is offered a bounded number of times and brings the next rounds forward.
What that misses, and what an entry that starts has to learn, is found by a digest of
the records that quarantine a request. What the records mean is decided by
``policy.quarantine``.
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
from boragestream.entry.peer_questions import PeerQuestions, decode_offer
from boragestream.policy.fingerprints import FINGERPRINT_BYTES
from boragestream.policy.quarantine import CrashRecord, Quarantine

__all__ = ["QuarantinePart"]

# Records in one message; what does not fit is offered in the next.
NEWS = 10
# What a record and all else of an offer take at the most.
RECORD_BYTES = 20
OFFER_BYTES = 8


class CrashesOffer(msgspec.Struct, frozen=True, array_like=True):
    """What one message says.

    :ivar digest: of the records that every entry must know.
    """

    digest: int
    news: tuple[PackedCrashes, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(CrashesOffer)


class QuarantinePart:
    """The part of the exchange that carries crash records.

    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    """

    name = "q"

    def __init__(
        self,
        quarantine: Quarantine,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
    ) -> None:
        self._quarantine = quarantine
        self._questions = PeerQuestions(
            links, address, submit, QuarantineAsk, self._take_reply
        )

    def offer(self, budget: int) -> bytes:
        """Return the digest and some news."""
        room = max(0, budget - OFFER_BYTES) // RECORD_BYTES
        news = _pack(self._quarantine.news(min(NEWS, room)))
        data = _encoder.encode(CrashesOffer(self._quarantine.digest, news))
        return data if len(data) <= budget else b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge what a peer offered, and ask it for more where digests differ."""
        offer = decode_offer(_offers, sender, data)
        if offer is None:
            return
        self._merge(sender, offer.news)
        differs = offer.digest != self._quarantine.digest
        if differs and offer.digest:
            self._questions.ask(sender)

    def answer(self, envelope: Envelope, message: QuarantineAsk) -> QuarantineReply:
        """Return the records that quarantine a request."""
        return QuarantineReply(_pack(self._quarantine.lasting()))

    def _take_reply(self, peer: str, reply: Message) -> None:
        if isinstance(reply, QuarantineReply):
            self._merge(peer, reply.records)

    def _merge(self, peer: str, packed: Iterable[PackedCrashes]) -> None:
        for of, freed, cleared, crashes, age_ms in packed:
            record = CrashRecord(of, freed, cleared, crashes)
            if len(of) != FINGERPRINT_BYTES or age_ms < 0:
                emit(Event.PEER_FRAME_REFUSED, peer=peer, reason="no crash record")
                continue
            if self._quarantine.take(record, age_ms / 1000):
                emit(
                    Event.CRASHES_HEARD,
                    fingerprint=of.hex(),
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
