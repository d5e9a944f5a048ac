"""Remembers for a while how requests without a ticket ended that may have run.

Their callers were told "unknown" and where to ask. Nothing is decided by this memory:
the oldest entries are dropped when it is full, and what is not in it is "unknown".
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Answered, Failure
from boragestream.policy.ticket_book import Ended

__all__ = ["RequestForgotten", "RequestMemory"]

MAX_REQUESTS = 4096
MAX_KEPT_BYTES = 8 * 1_048_576
REMEMBER_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class RequestForgotten(Failure):
    """Nothing is remembered of the request; it may have run."""


class RequestMemory:
    """The latest requests whose outcome was unknown to their callers.

    :param clock: when each is dropped.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: OrderedDict[str, tuple[float, str, Ended]] = OrderedDict()
        self._kept_bytes = 0
        self._lock = threading.Lock()

    def remember(self, account: str, ended: Ended) -> None:
        """Remember how a request ended.

        :param ended: an answer's body is JSON text as ``msgspec.Raw``.
        """
        until = self._clock.now() + REMEMBER_SECONDS
        with self._lock:
            self._kept[ended.request_id] = (until, account, ended)
            self._kept_bytes += _size(ended)
            while self._is_too_full():
                _, (_, _, dropped) = self._kept.popitem(last=False)
                self._kept_bytes -= _size(dropped)

    def find(self, request_id: str, account: str) -> Ended | RequestForgotten:
        """Return how a request of a client account ended."""
        until, owner, ended = self._kept.get(request_id, (0.0, "", None))
        if ended is None or owner != account or until <= self._clock.now():
            return RequestForgotten()
        return ended

    def _is_too_full(self) -> bool:
        if len(self._kept) > MAX_REQUESTS or self._kept_bytes > MAX_KEPT_BYTES:
            return True
        oldest = next(iter(self._kept.values()), None)
        return oldest is not None and oldest[0] <= self._clock.now()


def _size(ended: Ended) -> int:
    answered = isinstance(ended.outcome, Answered)
    return len(bytes(ended.outcome.body)) if answered else 0
