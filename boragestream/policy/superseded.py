"""Writes that were superseded lately, so that a copy of the store can't revive them.

A store that comes back from a copy some seconds old answers with writes that had been
replaced or removed before. They are told from new ones by their revisions, which a copy
keeps. Left out: what is used in their place, which ``policy.published_table`` decides.
"""

from collections import deque
from collections.abc import Callable

from boragestream.policy.publication import Write

__all__ = ["SupersededWrites"]

# A copy is some seconds old; an outage before the return can last as well.
MEMORY_SECONDS = 120.0
# The changes of a rolling release of thousands of servers.
MOST_WRITES = 8192


class SupersededWrites:
    """The writes that were replaced or removed lately; not thread-safe.

    :param now: returns the clock's seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._writes: set[tuple[str, Write]] = set()
        # In the order in which they were superseded, with when.
        self._order: deque[tuple[float, str, Write]] = deque()

    def note(self, key: str, write: Write) -> None:
        """Take that a write has just been replaced or removed."""
        if (key, write) not in self._writes:
            self._writes.add((key, write))
            self._order.append((self._now(), key, write))
        self._forget()

    def includes(self, key: str, write: Write) -> bool:
        """Tell whether a write is known to have been superseded."""
        return (key, write) in self._writes

    def _forget(self) -> None:
        old = self._now() - MEMORY_SECONDS
        while self._order and (
            self._order[0][0] < old or len(self._order) > MOST_WRITES
        ):
            _, key, write = self._order.popleft()
            self._writes.discard((key, write))
