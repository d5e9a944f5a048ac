"""Asks peers for records in which their tables differ from an entry's own.

Digests that ride on the exchange tell that two tables differ; the question is asked
beside the rounds, each peer once at a time. What is asked, and what becomes of the
reply, is left to the parts of the exchange.
"""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message
from boragestream.entry.open_questions import OpenQuestions

__all__ = ["PeerQuestions", "decode_offer"]

ASK_SECONDS = 1.0

Offer = TypeVar("Offer")


class PeerQuestions:
    """The questions of one part of the exchange.

    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    :param question: returns the message to send.
    :param take: takes a peer's reply.
    """

    def __init__(
        self,
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        question: Callable[[], Message],
        take: Callable[[str, Message], None],
    ) -> None:
        self._links = links
        self._address = address
        self._submit = submit
        self._question = question
        self._take = take
        self._open = OpenQuestions()

    def ask(self, peer: str) -> None:
        """Ask a peer, unless it is being asked."""
        if self._open.begin(peer):
            self._submit(partial(self._ask, peer))

    def _ask(self, peer: str) -> None:
        try:
            address = self._address(peer)
            if address is None:
                return
            # A peer that gives no answer is noticed by the rounds.
            self._take(peer, self._links.ask(address, self._question(), ASK_SECONDS))
        finally:
            self._open.end(peer)


def decode_offer(
    decoder: msgspec.msgpack.Decoder[Offer], peer: str, data: bytes
) -> Offer | None:
    """Return what a peer offered; None, with a log line, where it can't be read."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        emit(Event.PEER_FRAME_REFUSED, peer=peer, reason=repr(error))
        return None
