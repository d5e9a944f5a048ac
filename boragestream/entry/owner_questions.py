"""Sends requests to entries that serve all others, such as the owner of a queue.

An entry that gives no answer is skipped for a short time, so that not every request
waits for its time-out. The caller decides which entry to use instead.
"""

from typing import TypeVar

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Message, Probe, ProbeReply

__all__ = ["OwnerRequests"]

# A live entry answers at once.
REPLY_TIMEOUT_SECONDS = 0.3
# Shorter, since the entry that asks another one for its role waits as well.
PROBE_TIMEOUT_SECONDS = 0.15
SKIP_SECONDS = 2.0

Reply = TypeVar("Reply")


class OwnerRequests:
    """Sends requests to other entries and remembers which gave no answer."""

    def __init__(self, links: PeerLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._skipped_until: dict[str, float] = {}

    def is_skipped(self, entry: str) -> bool:
        """Return whether an entry gave no answer in the last ``SKIP_SECONDS``."""
        return self._skipped_until.get(entry, 0.0) > self._clock.now()

    def request(
        self,
        entry: str,
        address: str,
        message: Message,
        reply_type: type[Reply],
        more_seconds: float = 0.0,
    ) -> Reply | None:
        """Send a request; return the reply, or None and skip the entry for a time.

        :param reply_type: the expected type of the reply; any other answer counts as a
            failure.
        :param more_seconds: added to the time-out for an entry that is far away.
        """
        timeout = REPLY_TIMEOUT_SECONDS + more_seconds
        return self._request(entry, address, message, reply_type, timeout)

    def answers(self, entry: str, address: str) -> bool:
        """Return whether an entry answers, and skip it for a time if it does not.

        An entry that is skipped is not asked again.
        """
        if self.is_skipped(entry):
            return False
        timeout = PROBE_TIMEOUT_SECONDS
        reply = self._request(entry, address, Probe(), ProbeReply, timeout)
        return reply is not None

    def _request(
        self,
        entry: str,
        address: str,
        message: Message,
        reply_type: type[Reply],
        timeout: float,
    ) -> Reply | None:
        answer = self._links.ask(address, message, timeout)
        if isinstance(answer, reply_type):
            return answer
        self._skipped_until[entry] = self._clock.now() + SKIP_SECONDS
        failure = answer.describe() if isinstance(answer, Failure) else repr(answer)
        emit(Event.OWNER_SILENT, entry=entry, failure=failure)
        return None
