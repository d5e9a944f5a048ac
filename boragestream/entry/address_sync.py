"""Entries that know different others tell each other all addresses until they agree.

Load pattern: all of hundreds of entries are lost and start again, or one of them does.
The addresses that ride on each message are a few; by these alone 195 entries knew one
another after some 25 seconds, and for that long four or five of them took themselves
for the owner of the same queue: their calls met at the servers, and half of all
requests were late. A digest of the names goes with each message. While it differs from
a peer's, or nobody has agreed yet, one peer after the other is asked for its book and
told of this entry, so that a crowd agrees as soon as its last member has asked.

Left out: what the addresses mean (``entry.addresses``), and how the entries are.
"""

import random
import threading
from collections.abc import Callable
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

# A peer that is there answers in milliseconds; one that is not yet must not hold up the
# question to the next.
ASK_SECONDS = 0.4
# A compressed book of 370 entries has some 4 KB.
GAP_SECONDS = 0.2
# In a crowd that starts two entries can know the same few others.
ENOUGH = 3
MAX_BOOK_BYTES = 1_048_576

_encoder = msgspec.msgpack.Encoder()
_digests = msgspec.msgpack.Decoder(int)


class AddressSync:
    """The part of the exchange that finds differences between address books.

    :param links: carries the questions.
    :param submit: has a question asked beside the rounds.
    :param rng: chooses whom to ask.
    """

    name = "b"

    def __init__(
        self,
        book: AddressBook,
        links: PeerLinks,
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._links = links
        self._submit = submit
        self._clock = clock
        self._rng = rng
        # Answers in a row that agreed since books were found to differ.
        self._agreed = 0
        self._not_before = clock.now()
        self._lock = threading.Lock()

    @property
    def agreed(self) -> bool:
        """Whether the last few entries that were asked know the same ones."""
        return self._agreed >= ENOUGH or not self._book.others()

    def offer(self, budget: int) -> bytes:
        """Return the digest of the known names."""
        return _encoder.encode(self._book.digest)

    def take(self, sender: str, data: bytes) -> None:
        """Ask the sender for its book where that differs."""
        try:
            digest = _digests.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        if digest != self._book.digest:
            self._agreed = 0
            self._begin(sender)

    def look_again(self) -> None:
        """Ask some entry while too few have agreed since books were found to differ."""
        if self._agreed >= ENOUGH:
            return
        others = self._book.others()
        if others:
            self._begin(self._rng.choice(others))

    def answer(self, envelope: Envelope, message: AddressesAsk) -> AddressesReply:
        """Take the sender's record, and return the whole book where books differ."""
        if message.record:
            self._book.take(envelope.sender, message.record)
        if message.digest == self._book.digest:
            return AddressesReply()
        self._agreed = 0
        packed = zstandard.ZstdCompressor().compress(self._book.packed())
        return AddressesReply(packed)

    def _begin(self, address: str) -> None:
        with self._lock:
            now = self._clock.now()
            if now < self._not_before:
                return
            self._not_before = now + GAP_SECONDS
        self._submit(partial(self._ask, address))

    def _ask(self, address: str) -> None:
        message = AddressesAsk(self._book.digest, self._book.packed_own())
        reply = self._links.ask(address, message, ASK_SECONDS)
        # A peer that gives no answer is noticed by the rounds.
        if not isinstance(reply, AddressesReply):
            return
        if not reply.book:
            self._agreed += 1
            return
        self._agreed = 0
        unpack = zstandard.ZstdDecompressor().decompress
        try:
            book = unpack(reply.book, max_output_size=MAX_BOOK_BYTES)
        except zstandard.ZstdError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=address, reason=repr(error))
            return
        self._book.take(address, book)
