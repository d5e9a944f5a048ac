"""Decides at the door whether a request may begin.

A refusal here is true by construction: nothing of the request has left for any
backend server yet.
"""

import threading

from boragestream.base.failures import EntryLeaving, QueueFull
from boragestream.base.outcomes import Refused

__all__ = ["Admission"]

RETRY_SECONDS = 1.0


class Admission:
    """Bounds the requests in hand.

    :param limit: the most requests in hand at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_hand = 0
        self._closed = False
        self._lock = threading.Lock()

    @property
    def in_hand(self) -> int:
        """How many admitted requests have not ended."""
        return self._in_hand

    def enter(self) -> Refused | None:
        """Admit a request, or say why not; ``leave`` must follow an admission."""
        with self._lock:
            if self._closed:
                return Refused(EntryLeaving(), RETRY_SECONDS)
            if self._in_hand >= self._limit:
                return Refused(QueueFull(self._in_hand), RETRY_SECONDS)
            self._in_hand += 1
        return None

    def leave(self) -> None:
        """Count an admitted request that has ended."""
        with self._lock:
            self._in_hand -= 1

    def close(self) -> None:
        """Admit nothing more."""
        with self._lock:
            self._closed = True
