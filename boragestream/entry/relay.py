"""Distribution of the configuration document between entries.

The exchange carries the version and digest in force at the sender. An entry that sees a
newer version requests the document and receives a compressed difference from its own
version, or the whole document if that fails. ``policy`` alone decides which documents
are accepted.
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
from boragestream.entry.open_questions import OpenRequests

__all__ = ["ConfigurationRelay", "RelayedVersion", "TakeText"]

REQUEST_TIMEOUT_SECONDS = 3.0
DIGEST_CHARACTERS = 16
MAX_CACHED_DIFFERENCES = 4
MAX_REMEMBERED_OFFERS = 8

# Validates a canonical text from a peer, whose name is the second argument, and offers
# the document to the configuration. Returns True if the text is valid, whether or not
# the document is accepted.
TakeText = Callable[[bytes, str], bool]


class RelayedVersion(Protocol):
    """A version of the configuration in force."""

    @property
    def version(self) -> int:
        """The version number; it increases with every change."""

    @property
    def digest(self) -> str:
        """The digest of its text."""


class RelayedConfiguration(Protocol):
    """Holds the version in force and the texts of the last few versions."""

    @property
    def current(self) -> RelayedVersion | None:
        """The version in force; None while there is none."""

    def text(self, digest: str) -> bytes | None:
        """Return the text of one of the last few versions in force."""


class VersionOffer(msgspec.Struct, frozen=True, array_like=True):
    """The version in force at an entry.

    :ivar digest: the first characters of the digest, in hexadecimal.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class NothingNewer(Failure):
    """A peer did not send a newer document."""

    peer: str


_encoder = msgspec.msgpack.Encoder()
_offer_decoder = msgspec.msgpack.Decoder(VersionOffer)


class ConfigurationRelay:
    """The part of the exchange that carries the configuration.

    :param configuration: the configuration in force at this entry.
    :param take_text: processes a text received from a peer.
    :param links: carries the requests.
    :param address: returns a peer's address by its name.
    :param submit: runs a request in the background, independently of the rounds.
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
        self._open_requests = OpenRequests()
        self._invalid_offers: OrderedDict[VersionOffer, None] = OrderedDict()
        self._reported_conflicts: OrderedDict[VersionOffer, None] = OrderedDict()
        self._differences: OrderedDict[tuple[str, str], Difference] = OrderedDict()
        self._lock = threading.Lock()

    @property
    def request_in_progress(self) -> bool:
        """Whether a request to a peer is in progress."""
        return bool(self._open_requests)

    def offer(self, budget: int) -> bytes:
        """Return the version and digest in force."""
        current = self._configuration.current
        if current is None:
            return b""
        digest = current.digest[:DIGEST_CHARACTERS]
        return _encoder.encode(VersionOffer(current.version, digest))

    def take(self, sender: str, data: bytes) -> None:
        """Request the sender's document if its version is newer."""
        try:
            offer = _offer_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        current = self._configuration.current
        if current is not None and offer.version == current.version:
            self._note_conflict(sender, offer, current.digest[:DIGEST_CHARACTERS])
        if current is not None and offer.version <= current.version:
            return
        if offer not in self._invalid_offers and self._open_requests.begin(sender):
            self._submit(partial(self._request_document, sender, offer))

    def answer(self, envelope: Envelope, message: DocumentAsk) -> DocumentReply:
        """Return the document in force as a difference from the peer's version."""
        current = self._configuration.current
        if current is None:
            return DocumentReply(0)
        difference = self._difference(message.base, current.digest)
        return DocumentReply(
            current.version, difference.base, difference.result, difference.data
        )

    def _request_document(self, peer: str, offer: VersionOffer) -> None:
        try:
            current = self._configuration.current
            text = self._fetch(peer, current.digest if current else "")
            if isinstance(text, Failure) and current is not None:
                text = self._fetch(peer, "")
            if isinstance(text, Failure):
                emit(Event.CONFIGURATION_UNREACHABLE, failure=text.describe())
            elif not self._take_text(text, peer):
                self._remember(self._invalid_offers, offer)
        finally:
            self._open_requests.end(peer)

    def _fetch(self, peer: str, base: str) -> bytes | Failure:
        address = self._address(peer)
        if address is None:
            return NothingNewer(peer)
        reply = self._links.ask(address, DocumentAsk(base), REQUEST_TIMEOUT_SECONDS)
        if isinstance(reply, Failure):
            return reply
        if not isinstance(reply, DocumentReply) or not reply.version:
            return NothingNewer(peer)
        difference = Difference(reply.base, reply.digest, reply.data)
        return apply_difference(difference, self._configuration.text(base) or b"")

    def _difference(self, base: str, digest: str) -> Difference:
        with self._lock:
            cached = self._differences.get((base, digest))
            if cached is not None:
                return cached
            text = self._configuration.text(digest) or b""
            difference = encode_difference(self._configuration.text(base) or b"", text)
            self._differences[base, digest] = difference
            while len(self._differences) > MAX_CACHED_DIFFERENCES:
                self._differences.popitem(last=False)
            return difference

    def _note_conflict(self, peer: str, offer: VersionOffer, digest: str) -> None:
        if offer.digest == digest or offer in self._reported_conflicts:
            return
        self._remember(self._reported_conflicts, offer)
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
            while len(offers) > MAX_REMEMBERED_OFFERS:
                offers.popitem(last=False)
