"""Questions to entries that do something for all others, such as owning a queue.

An entry that gives no answer is passed over for a while, so that not every question
waits for it. Who is asked instead is left to the user.
"""

from typing import TypeVar

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message

__all__ = ["OwnerQuestions"]

# An entry that is there answers at once.
ASK_SECONDS = 0.3
PASSED_OVER_SECONDS = 2.0

Reply = TypeVar("Reply")


class OwnerQuestions:
    """The entries that were asked, as this entry sees them."""

    def __init__(self, links: PeerLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._passed_over: dict[str, float] = {}

    def is_passed_over(self, entry: str) -> bool:
        """Tell whether an entry was silent a moment ago."""
        return self._passed_over.get(entry, 0.0) > self._clock.now()

    def ask(
        self, entry: str, address: str, message: Message, reply: type[Reply]
    ) -> Reply | None:
        """Ask an entry; one that is silent is passed over, and None returned.

        :param reply: the type of its answer.
        """
        answer = self._links.ask(address, message, ASK_SECONDS)
        if isinstance(answer, reply):
            return answer
        self._passed_over[entry] = self._clock.now() + PASSED_OVER_SECONDS
        described = answer.describe() if isinstance(answer, Failure) else repr(answer)
        emit(Event.OWNER_SILENT, entry=entry, failure=described)
        return None
