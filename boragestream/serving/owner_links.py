"""Sends messages to the entries that own the queues of stage services.

All entries compute the same ranking of the live entries for a queue, and the first in
rank owns it. An entry that does not answer is skipped for some time. This entry itself
is the last resort, but not for a queue of another region that has entries: if those
can't be reached, neither can the region's servers. ``serving.piece_orders`` and
``serving.piece_bookings`` define what an owner is asked.
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
from boragestream.policy.queue_owners import StageQueue, owner_ranking
from boragestream.policy.region_links import RegionLinks

__all__ = ["OwnerLinks", "milliseconds", "seconds_or_unknown"]

MESSAGE_SECONDS = 0.5
MESSAGE_THREADS = 16


class OwnerLinks:
    """The owners of queues, as this entry sees them.

    :param own: this entry's name, which is its address for other entries.
    :param live: returns the names of the live entries that can own queues of a region;
        the region is empty for the queues over all regions.
    :param region_links: the links to other regions; None if there is only one.
    :param region_of: returns the region of an entry; empty if it is not known.
    :param reaches: returns whether an entry reaches the servers of a service. The owner
        of a queue must reach them.
    """

    def __init__(
        self,
        own: str,
        live: Callable[[str], Sequence[str]],
        links: PeerLinks,
        clock: Clock,
        region_links: RegionLinks | None = None,
        region_of: Callable[[str], str] = lambda entry: "",
        reaches: Callable[[str, str], bool] = lambda entry, service: True,
    ) -> None:
        self._own = own
        self._reaches = reaches
        self._live = live
        self._links = links
        self._region_links = region_links
        self._own_region = region_links.regions.own if region_links is not None else ""
        self._region_of = region_of
        self._questions = OwnerRequests(links, clock)
        self._messages = ThreadPoolExecutor(MESSAGE_THREADS, "piece messages")

    @property
    def own(self) -> str:
        """This entry's name."""
        return self._own

    def owners(self, queue: StageQueue, current: str = "") -> list[str]:
        """Return the entries to ask, first choice first.

        The last is this entry. There may be none for a queue of another region, if its
        entries gave no answer.

        :param current: the owner that accepted an order. It remains the first choice
            while it is live, even if another entry ranks before it by now, so that
            no piece is made twice.
        """
        ranked = self._ranked(queue)
        if current in ranked:
            ranked.remove(current)
            ranked.insert(0, current)
        responsive = [e for e in ranked if not self._questions.is_skipped(e)]
        # This entry itself is the last resort, whatever its rank.
        if self._own in responsive:
            return responsive[: responsive.index(self._own) + 1]
        if queue.region and queue.region != self._own_region and ranked:
            return responsive
        return [*responsive, self._own]

    def lender(self, queue: StageQueue) -> str:
        """Return the owner that a borrowed order is offered to.

        Only the first in rank is asked. The next one would not know the orders of the
        owner, and could not tell which of its capacity is spare.

        :returns: empty if it gave no answer a short time ago.
        """
        first = self._ranked(queue)[0]
        return "" if self._questions.is_skipped(first) else first

    def can_own(self, entry: str, queue: StageQueue) -> bool:
        """Return whether an entry reaches the servers of a queue."""
        return self._reaches(entry, queue.service)

    def ask(self, owner: str, message: Message) -> PiecesAnswer | None:
        """Ask an owner; return None and skip it for some time if it does not answer."""
        region = self._other_region(owner)
        seconds = self._region_links.round_trip_seconds(region) if region else 0.0
        return self._questions.request(owner, owner, message, PiecesAnswer, seconds)

    def send(self, entry: str, message: Message) -> None:
        """Send a message in the background; its reply is not needed."""
        self._messages.submit(self._deliver, entry, message)

    def _ranked(self, queue: StageQueue) -> list[str]:
        live = self._live(queue.region)
        reaching = [entry for entry in live if self._reaches(entry, queue.service)]
        return owner_ranking(queue.ranking_key, reaching or live)

    def _other_region(self, entry: str) -> str:
        """Return the region of an entry; empty if it is this entry's own or unknown."""
        if self._region_links is None or not self._region_links.regions.several:
            return ""
        region = self._region_of(entry)
        return "" if region == self._own_region else region

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
