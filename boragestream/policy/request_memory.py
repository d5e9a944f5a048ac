"""Keeps for a time the outcomes of requests without a ticket that may have run.

The callers of these requests were answered "unknown", with the path to query the
outcome. No decision depends on these records: the oldest are evicted when the limits
are reached, and a request without a record is "unknown".
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
RETENTION_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class RequestForgotten(Failure):
    """Nothing is remembered of the request; it may have run."""


class RequestMemory:
    """The latest requests whose outcome was unknown to their callers.

    :param clock: determines when a record expires.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._outcomes: OrderedDict[str, tuple[float, str, Ended]] = OrderedDict()
        self._kept_bytes = 0
        self._lock = threading.Lock()

    def remember(self, account: str, ended: Ended) -> None:
        """Record how a request ended.

        :param ended: an answer's body is JSON text as ``msgspec.Raw``.
        """
        until = self._clock.now() + RETENTION_SECONDS
        with self._lock:
            self._outcomes[ended.request_id] = (until, account, ended)
            self._kept_bytes += _size(ended)
            while self._must_evict():
                _, (_, _, dropped) = self._outcomes.popitem(last=False)
                self._kept_bytes -= _size(dropped)

    def find(self, request_id: str, account: str) -> Ended | RequestForgotten:
        """Return how a request of a client account ended."""
        until, owner, ended = self._outcomes.get(request_id, (0.0, "", None))
        if ended is None or owner != account or until <= self._clock.now():
            return RequestForgotten()
        return ended

    def answer_bytes(self, request_id: str) -> int:
        """Return the size of a request's kept answer; 0 if there is none."""
        record = self._outcomes.get(request_id)
        return _size(record[2]) if record is not None else 0

    def _must_evict(self) -> bool:
        if len(self._outcomes) > MAX_REQUESTS or self._kept_bytes > MAX_KEPT_BYTES:
            return True
        oldest = next(iter(self._outcomes.values()), None)
        return oldest is not None and oldest[0] <= self._clock.now()


def _size(ended: Ended) -> int:
    answered = isinstance(ended.outcome, Answered)
    return len(bytes(ended.outcome.body)) if answered else 0
