"""Entries that know different others tell each other all addresses at once.

Load pattern: all of hundreds of entries are lost and start again, or one of them does.
The addresses that ride on each message are a few; by these alone 195 entries knew one
another after some 25 seconds, and for that long four or five of them took themselves
for the owner of the same queue: their calls met at the servers, and half of all
requests were late. A digest of the names goes with each message, and where it differs
the whole book is asked for; after two or three rounds all know all.

Left out: what the addresses mean (``entry.addresses``), and how the entries are.
"""

import threading
from collections.abc import Callable
from functools import partial

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.entry.addresses import AddressBook
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import AddressesAsk, AddressesReply, Envelope

__all__ = ["AddressSync"]

ASK_SECONDS = 1.0
# A book of 370 entries has some 20 KB. Names under way differ for a moment; asked for
# more often than this, it would be sent for what the next message tells anyhow.
GAP_SECONDS = 0.4

_encoder = msgspec.msgpack.Encoder()
_digests = msgspec.msgpack.Decoder(int)


class AddressSync:
    """The part of the exchange that finds differences between address books.

    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    """

    name = "b"

    def __init__(
        self,
        book: AddressBook,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
    ) -> None:
        self._book = book
        self._links = links
        self._address = address
        self._submit = submit
        self._clock = clock
        self._not_before = clock.now()
        self._lock = threading.Lock()

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
        if digest == self._book.digest or not self._may_ask():
            return
        self._submit(partial(self._ask, sender))

    def answer(self, envelope: Envelope, message: AddressesAsk) -> AddressesReply:
        """Return the whole book."""
        return AddressesReply(self._book.packed())

    def _ask(self, peer: str) -> None:
        address = self._address(peer)
        if address is None:
            return
        reply = self._links.ask(address, AddressesAsk(), ASK_SECONDS)
        # A peer that gives no answer is noticed by the rounds.
        if isinstance(reply, AddressesReply):
            self._book.take(peer, reply.records)

    def _may_ask(self) -> bool:
        with self._lock:
            now = self._clock.now()
            if now < self._not_before:
                return False
            self._not_before = now + GAP_SECONDS
            return True
