"""Requests from peers the records in which their tables differ from this entry's.

Digests in the messages of the exchange show that two tables differ. The request is then
sent independently of the rounds, one at a time to each peer. The parts of the exchange
provide the request and handle the reply.
"""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message
from boragestream.entry.open_questions import OpenRequests

__all__ = ["PeerRequests", "decode_offer"]

REPLY_TIMEOUT_SECONDS = 1.0

Offer = TypeVar("Offer")


class PeerRequests:
    """Sends the requests of one part of the exchange.

    :param links: sends requests to peers.
    :param address: returns a peer's address, given its name.
    :param submit: runs a callable, which sends a request, in the background.
    :param make_request: returns the message to send.
    :param on_reply: called with the peer's name and its reply.
    """

    def __init__(
        self,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        make_request: Callable[[], Message],
        on_reply: Callable[[str, Message], None],
    ) -> None:
        self._links = links
        self._address = address
        self._submit = submit
        self._make_request = make_request
        self._on_reply = on_reply
        self._open_requests = OpenRequests()

    def request(self, peer: str) -> None:
        """Send a request to a peer unless one is in progress."""
        if self._open_requests.begin(peer):
            self._submit(partial(self._ask, peer))

    def _ask(self, peer: str) -> None:
        try:
            address = self._address(peer)
            if address is None:
                return
            # The rounds of the exchange detect a peer that gives no answer.
            self._on_reply(
                peer,
                self._links.ask(address, self._make_request(), REPLY_TIMEOUT_SECONDS),
            )
        finally:
            self._open_requests.end(peer)


def decode_offer(
    decoder: msgspec.msgpack.Decoder[Offer], peer: str, data: bytes
) -> Offer | None:
    """Return the decoded offer of a peer; log it and return None if malformed."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        emit(Event.PEER_FRAME_REFUSED, peer=peer, reason=repr(error))
        return None
