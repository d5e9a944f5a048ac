"""Sends messages to the entries that own the queues of stage services.

All entries compute the same ranking of the live entries for a service, and the first in
rank owns its queue. An entry that does not answer is skipped for some time; this entry
itself is the last resort. ``serving.piece_orders`` and ``serving.piece_bookings``
define what an owner is asked.
"""

import math
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message
from boragestream.entry.owner_questions import OwnerRequests
from boragestream.entry.piece_messages import PiecesAnswer
from boragestream.policy.queue_owners import owner_ranking

__all__ = ["OwnerLinks", "milliseconds", "seconds_or_unknown"]

MESSAGE_SECONDS = 0.5
MESSAGE_THREADS = 16


class OwnerLinks:
    """The owners of queues, as this entry sees them.

    :param own: this entry's name, which is its address for other entries.
    :param live: returns the names of the live entries that can own queues.
    """

    def __init__(
        self,
        own: str,
        live: Callable[[], Sequence[str]],
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._own = own
        self._live = live
        self._links = links
        self._questions = OwnerRequests(links, clock)
        self._messages = ThreadPoolExecutor(MESSAGE_THREADS, "piece messages")

    @property
    def own(self) -> str:
        """This entry's name."""
        return self._own

    def owners(self, service: str, current: str = "") -> list[str]:
        """Return the entries to ask, first choice first; the last is this entry.

        :param current: the owner that accepted an order. It remains the first choice
            while it is live, even if another entry ranks before it by now, so that
            no piece is made twice.
        """
        ranked = owner_ranking(service, self._live())
        if current in ranked:
            ranked.remove(current)
            ranked.insert(0, current)
        responsive = [e for e in ranked if not self._questions.is_skipped(e)]
        # This entry itself is the last resort, whatever its rank.
        candidates = responsive
        if self._own in responsive:
            candidates = responsive[: responsive.index(self._own) + 1]
        return candidates if self._own in candidates else [*candidates, self._own]

    def ask(self, owner: str, message: Message) -> PiecesAnswer | None:
        """Ask an owner; return None and skip it for some time if it does not answer."""
        return self._questions.request(owner, owner, message, PiecesAnswer)

    def send(self, entry: str, message: Message) -> None:
        """Send a message in the background; its reply is not needed."""
        self._messages.submit(self._deliver, entry, message)

    def _deliver(self, entry: str, message: Message) -> None:
        try:
            reply = self._links.ask(entry, message, MESSAGE_SECONDS)
        except Exception as error:
            emit(Event.TASK_FAILED, task="pieces", error=describe_error(error))
            return
        if isinstance(reply, Failure):
            name = type(message).__name__
            emit(
                Event.PIECE_MESSAGE_LOST,
                entry=entry,
                message=name,
                failure=reply.describe(),
            )


def milliseconds(seconds: float) -> int:
    """Return seconds as whole milliseconds for a message; at most an hour."""
    return int(min(seconds, 3600.0) * 1000)


def seconds_or_unknown(milliseconds: int) -> float:
    """Return the seconds of a message's field; infinite for 0, which means unknown."""
    return milliseconds / 1000 if milliseconds else math.inf
