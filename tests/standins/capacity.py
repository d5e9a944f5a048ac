"""What a stand-in can carry: slots, a queue before them, and time spent in a slot.

Waiting calls are taken by priority, then in order, as the engines do. A call whose
caller has gone is dropped when its turn comes or while it runs. Each call leaves a
record, so that a benchmark can account for every server-second.
"""

import heapq
import itertools
import select
import threading
import time
from dataclasses import asdict, dataclass

CHECK_SECONDS = 0.025


class QueueFullError(Exception):
    """No more calls may wait."""


@dataclass
class Work:
    """One call: seconds queued, seconds in a slot, and seconds at nominal speed."""

    request: str
    attempt: str
    began: float
    queued: float = 0.0
    busy: float = 0.0
    nominal: float = 0.0
    finished: bool = False


class Capacity:
    """The slots of one server.

    ``slowdown`` multiplies every time spent in a slot.
    """

    def __init__(self, slots, queue=None):
        """Take the number of slots and the most calls that may wait."""
        self.slowdown = 1.0
        self.works = []
        self._free = slots
        self._queue = queue
        self._waiting = []
        self._order = itertools.count()
        self._lock = threading.Lock()

    @property
    def queued(self):
        """How many calls wait for a slot."""
        return len(self._waiting)

    @property
    def busy_seconds(self):
        """Seconds spent in slots, by calls that have left."""
        return sum(work.busy for work in list(self.works))

    def report(self):
        """Return the records of all calls that have left."""
        return [asdict(work) for work in list(self.works)]

    def enter(self, priority):
        """Wait for a slot."""
        with self._lock:
            if self._free > 0:
                self._free -= 1
                return
            if self._queue is not None and len(self._waiting) >= self._queue:
                raise QueueFullError
            turn = threading.Event()
            heapq.heappush(self._waiting, (-priority, next(self._order), turn))
        turn.wait()

    def leave(self):
        """Give the slot to the next call."""
        with self._lock:
            if self._waiting:
                heapq.heappop(self._waiting)[2].set()
            else:
                self._free += 1


class Slot:
    """A slot held for one call, as a context manager."""

    def __init__(self, capacity, connection, request, attempt, priority):
        """Take the capacity, the caller's socket, the ids and the priority."""
        self._capacity = capacity
        self._connection = connection
        self._priority = priority
        self._until = 0.0
        self.work = Work(request, attempt, time.monotonic())

    def __enter__(self):
        """Wait for the slot; raise where the caller has gone meanwhile."""
        self._capacity.enter(self._priority)
        self._until = time.monotonic()
        self.work.queued = self._until - self.work.began
        if hung_up(self._connection):
            self._capacity.leave()
            self._capacity.works.append(self.work)
            raise ConnectionAbortedError
        return self

    def __exit__(self, *_):
        """Give the slot back and keep the record."""
        self.work.busy = time.monotonic() - self.work.began - self.work.queued
        self._capacity.leave()
        self._capacity.works.append(self.work)

    def spend(self, milliseconds):
        """Use the slot; ends are absolute, so that late wake-ups do not add up."""
        self.work.nominal += milliseconds / 1000
        self._until += milliseconds / 1000 * self._capacity.slowdown
        while (left := self._until - time.monotonic()) > 0:
            time.sleep(min(left, CHECK_SECONDS))
            if hung_up(self._connection):
                raise ConnectionAbortedError


def hung_up(connection):
    """Tell whether the caller has closed its side."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))
