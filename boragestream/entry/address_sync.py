"""Synchronisation of whole address books between entries.

Load pattern: hundreds of entries restart together, or a single one does. The exchange
carries only a few addresses in each message. With these alone, 195 entries took some
25 seconds to learn of one another. During that time four or five of them considered
themselves the owner of the same queue, their calls collided at the servers, and half of
all requests were late. Each message therefore carries a digest of the names. While the
digest differs from a peer's, or too few peers have agreed yet, an entry requests the
books of one peer after another and sends each its own record, so that all entries of a
group agree as soon as the last one has made its request.

The meaning of the addresses (``entry.addresses``) and the state of the entries are out
of scope here.
"""

import random
import threading
from collections.abc import Callable, Sequence
from functools import partial

import msgspec
import zstandard

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.entry.addresses import AddressBook
from boragestream.entry.knowledge_messages import AddressesAsk, AddressesReply
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope

__all__ = ["AddressSync"]

# A reachable peer answers within milliseconds; one that has not started yet must not
# delay the request to the next.
REQUEST_TIMEOUT_SECONDS = 0.4
# Limits the traffic: a compressed book of 370 entries has some 4 KB.
MIN_REQUEST_INTERVAL_SECONDS = 0.2
# One agreeing peer is not enough: while many entries start, two of them can know the
# same few others.
REQUIRED_AGREEMENTS = 3
MAX_BOOK_BYTES = 1_048_576

_encoder = msgspec.msgpack.Encoder()
_digest_decoder = msgspec.msgpack.Decoder(int)


class AddressSync:
    """The part of the exchange that detects differences between address books.

    :param links: carries the requests.
    :param submit: runs a request in the background, independently of the rounds.
    :param rng: chooses the peer to contact.
    :param preferred: returns the addresses that are requested without a difference, so
        that a start of many entries requests books within each region.
    """

    name = "b"

    def __init__(
        self,
        book: AddressBook,
        links: PeerLinks,
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
        rng: random.Random,
        preferred: Callable[[Sequence[str]], Sequence[str]] = lambda addresses: (
            addresses
        ),
    ) -> None:
        self._preferred = preferred
        self._book = book
        self._links = links
        self._submit = submit
        self._clock = clock
        self._rng = rng
        # Consecutive agreeing answers since books were last found to differ.
        self._agreements = 0
        self._next_request_at = clock.now()
        self._lock = threading.Lock()

    @property
    def has_converged(self) -> bool:
        """Whether the last few peers that answered know the same entries."""
        return (
            self._agreements >= REQUIRED_AGREEMENTS or not self._book.other_addresses()
        )

    def offer(self, budget: int) -> bytes:
        """Return the digest of the known names."""
        return _encoder.encode(self._book.digest)

    def take(self, sender: str, data: bytes) -> None:
        """Request the sender's book if its digest differs."""
        try:
            digest = _digest_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        if digest != self._book.digest:
            self._agreements = 0
            self._start_request(sender)

    def request_until_agreed(self) -> None:
        """Request a random entry's book until enough peers in a row have agreed."""
        if self._agreements >= REQUIRED_AGREEMENTS:
            return
        other_addresses = self._book.other_addresses()
        if other_addresses:
            preferred = self._preferred(other_addresses)
            self._start_request(self._rng.choice(preferred or other_addresses))

    def answer(self, envelope: Envelope, message: AddressesAsk) -> AddressesReply:
        """Add the sender's record, and return the whole book if the books differ."""
        if message.record:
            self._book.take(envelope.sender, message.record)
        if message.digest == self._book.digest:
            return AddressesReply()
        self._agreements = 0
        encoded_records = zstandard.ZstdCompressor().compress(
            self._book.encoded_records()
        )
        return AddressesReply(encoded_records)

    def _start_request(self, address: str) -> None:
        with self._lock:
            now = self._clock.now()
            if now < self._next_request_at:
                return
            self._next_request_at = now + MIN_REQUEST_INTERVAL_SECONDS
        self._submit(partial(self._request_book, address))

    def _request_book(self, address: str) -> None:
        message = AddressesAsk(self._book.digest, self._book.encoded_own_record())
        reply = self._links.ask(address, message, REQUEST_TIMEOUT_SECONDS)
        # The rounds of the exchange detect a peer that gives no answer.
        if not isinstance(reply, AddressesReply):
            return
        if not reply.book:
            self._agreements += 1
            return
        self._agreements = 0
        decompress = zstandard.ZstdDecompressor().decompress
        try:
            book = decompress(reply.book, max_output_size=MAX_BOOK_BYTES)
        except zstandard.ZstdError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=address, reason=repr(error))
            return
        self._book.take(address, book)
