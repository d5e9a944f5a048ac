"""The configuration document among entries: each tells its version, the later ask.

The exchange carries version and digest; an entry that hears of a newer one asks for it
and gets a compressed difference from what it has, or the whole where that fails. What
is taken is decided by ``policy`` alone.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import msgspec

from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.document.difference import (
    Difference,
    apply_difference,
    encode_difference,
)
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import DocumentAsk, DocumentReply, Envelope
from boragestream.entry.open_questions import OpenQuestions

__all__ = ["ConfigurationRelay", "RelayedVersion", "TakeText"]

ASK_SECONDS = 3.0
DIGEST_CHARACTERS = 16
KEPT_DIFFERENCES = 4
KEPT_REFUSALS = 8

# Checks a canonical text from a peer, named second, and offers the document; True
# where the text is valid, whatever became of the offer.
TakeText = Callable[[bytes, str], bool]


class RelayedVersion(Protocol):
    """A version in force."""

    @property
    def version(self) -> int:
        """It rises with every change."""

    @property
    def digest(self) -> str:
        """The digest of its text."""


class RelayedConfiguration(Protocol):
    """Holds the version in force and the texts of the last few."""

    @property
    def current(self) -> RelayedVersion | None:
        """The version in force; None while there is none."""

    def text(self, digest: str) -> bytes | None:
        """Return the text of one of the last few versions in force."""


class VersionOffer(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has in force.

    :ivar digest: the first characters of the digest, in hexadecimal.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class NothingNewer(Failure):
    """A peer did not send a newer document."""

    peer: str


_encoder = msgspec.msgpack.Encoder()
_offers = msgspec.msgpack.Decoder(VersionOffer)


class ConfigurationRelay:
    """The part of the exchange that carries the configuration.

    :param configuration: what is in force here.
    :param take_text: takes a text from a peer.
    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    """

    name = "c"

    def __init__(
        self,
        configuration: RelayedConfiguration,
        take_text: TakeText,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
    ) -> None:
        self._configuration = configuration
        self._take_text = take_text
        self._links = links
        self._address = address
        self._submit = submit
        self._questions = OpenQuestions()
        self._refused: OrderedDict[VersionOffer, None] = OrderedDict()
        self._conflicts: OrderedDict[VersionOffer, None] = OrderedDict()
        self._differences: OrderedDict[tuple[str, str], Difference] = OrderedDict()
        self._lock = threading.Lock()

    @property
    def asking(self) -> bool:
        """Whether a question to a peer is open."""
        return bool(self._questions)

    def offer(self, budget: int) -> bytes:
        """Return the version and digest in force."""
        current = self._configuration.current
        if current is None:
            return b""
        digest = current.digest[:DIGEST_CHARACTERS]
        return _encoder.encode(VersionOffer(current.version, digest))

    def take(self, sender: str, data: bytes) -> None:
        """Ask the sender for its document where that is newer."""
        try:
            offer = _offers.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        current = self._configuration.current
        if current is not None and offer.version == current.version:
            self._note_conflict(sender, offer, current.digest[:DIGEST_CHARACTERS])
        if current is not None and offer.version <= current.version:
            return
        if offer not in self._refused and self._questions.begin(sender):
            self._submit(partial(self._ask, sender, offer))

    def answer(self, envelope: Envelope, message: DocumentAsk) -> DocumentReply:
        """Return the document in force as a difference from what the peer has."""
        current = self._configuration.current
        if current is None:
            return DocumentReply(0)
        difference = self._difference(message.base, current.digest)
        return DocumentReply(
            current.version, difference.base, difference.result, difference.data
        )

    def _ask(self, peer: str, offer: VersionOffer) -> None:
        try:
            current = self._configuration.current
            text = self._fetch(peer, current.digest if current else "")
            if isinstance(text, Failure) and current is not None:
                text = self._fetch(peer, "")
            if isinstance(text, Failure):
                emit(Event.CONFIGURATION_UNREACHABLE, failure=text.describe())
            elif not self._take_text(text, peer):
                self._remember(self._refused, offer)
        finally:
            self._questions.end(peer)

    def _fetch(self, peer: str, base: str) -> bytes | Failure:
        address = self._address(peer)
        if address is None:
            return NothingNewer(peer)
        reply = self._links.ask(address, DocumentAsk(base), ASK_SECONDS)
        if isinstance(reply, Failure):
            return reply
        if not isinstance(reply, DocumentReply) or not reply.version:
            return NothingNewer(peer)
        difference = Difference(reply.base, reply.digest, reply.data)
        return apply_difference(difference, self._configuration.text(base) or b"")

    def _difference(self, base: str, digest: str) -> Difference:
        with self._lock:
            known = self._differences.get((base, digest))
            if known is not None:
                return known
            text = self._configuration.text(digest) or b""
            difference = encode_difference(self._configuration.text(base) or b"", text)
            self._differences[base, digest] = difference
            while len(self._differences) > KEPT_DIFFERENCES:
                self._differences.popitem(last=False)
            return difference

    def _note_conflict(self, peer: str, offer: VersionOffer, digest: str) -> None:
        if offer.digest == digest or offer in self._conflicts:
            return
        self._remember(self._conflicts, offer)
        emit(
            Event.CONFIGURATION_CONFLICT,
            source=peer,
            version=offer.version,
            digest=offer.digest,
            in_force=digest,
        )

    def _remember(
        self, offers: OrderedDict[VersionOffer, None], offer: VersionOffer
    ) -> None:
        with self._lock:
            offers[offer] = None
            while len(offers) > KEPT_REFUSALS:
                offers.popitem(last=False)
