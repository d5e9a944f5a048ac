"""Recently superseded writes, remembered so that a restored store can't revive them.

A store restored from a copy that is some seconds old answers with writes that had
already been replaced or removed. Their revisions, which a copy keeps, distinguish them
from new writes. ``policy.held_values`` decides which writes are used instead.
"""

from collections import deque
from collections.abc import Callable

from boragestream.policy.publication import Write

__all__ = ["SupersededWrites"]

# Covers the age of a copy, which is some seconds, and an outage before the restore.
MEMORY_SECONDS = 120.0
# Covers the changes during a rolling release of thousands of servers.
MAX_WRITES = 8192


class SupersededWrites:
    """The writes that were recently replaced or removed; not thread-safe.

    :param now: returns the clock's seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._writes: set[tuple[str, Write]] = set()
        # Time, key and write, in the order in which the writes were superseded.
        self._order: deque[tuple[float, str, Write]] = deque()

    def note(self, key: str, write: Write) -> None:
        """Record that a write has just been replaced or removed."""
        if (key, write) not in self._writes:
            self._writes.add((key, write))
            self._order.append((self._now(), key, write))
        self._discard_old()

    def includes(self, key: str, write: Write) -> bool:
        """Return whether a write is known to have been superseded."""
        return (key, write) in self._writes

    def _discard_old(self) -> None:
        oldest_kept = self._now() - MEMORY_SECONDS
        while self._order and (
            self._order[0][0] < oldest_kept or len(self._order) > MAX_WRITES
        ):
            _, key, write = self._order.popleft()
            self._writes.discard((key, write))
