"""Reaches the entries that own the queues of stage services.

All live entries rank each other alike for a service, and the first owns its queue. One
that is silent is passed over for a while; at the last this entry does the work itself.
What is asked of an owner is left to ``serving.piece_orders`` and
``serving.piece_bookings``.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message
from boragestream.entry.owner_questions import OwnerQuestions
from boragestream.entry.piece_messages import PiecesAnswer
from boragestream.policy.queue_owners import owner_order

__all__ = ["OwnerLinks", "milliseconds"]

MESSAGE_SECONDS = 0.5
MESSAGE_THREADS = 16


class OwnerLinks:
    """The owners of queues, as this entry sees them.

    :param own: this entry's name, its address for other entries.
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
        self._questions = OwnerQuestions(links, clock)
        self._messages = ThreadPoolExecutor(MESSAGE_THREADS, "piece messages")

    @property
    def own(self) -> str:
        """This entry's name."""
        return self._own

    def owners(self, service: str, known: str = "") -> list[str]:
        """Return the entries to ask, in their order.

        :param known: the owner that took an order; it stays the owner while it is
            there, whoever ranks before it since, so that nothing is made twice.
        """
        ranked = owner_order(service, self._live())
        if known in ranked:
            ranked.remove(known)
            ranked.insert(0, known)
        answering = [e for e in ranked if not self._questions.is_passed_over(e)]
        # This entry itself is the last resort, wherever it ranks.
        until_own = answering
        if self._own in answering:
            until_own = answering[: answering.index(self._own) + 1]
        return until_own if self._own in until_own else [*until_own, self._own]

    def ask(self, owner: str, message: Message) -> PiecesAnswer | None:
        """Ask an owner; one that is silent is passed over, and None returned."""
        return self._questions.ask(owner, owner, message, PiecesAnswer)

    def send(self, entry: str, message: Message) -> None:
        """Send a message that needs no answer, without waiting for it."""
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
    """Return a time as messages between entries carry it."""
    return int(min(seconds, 3600.0) * 1000)
