"""One byte budget for everything that an entry holds for others.

It answers the load of callers and servers that send much, read slowly or read nothing:
what they leave behind is counted by kind, and what can still be refused is refused
before the process reaches the memory limit at which the platform ends it.

Not counted are the interpreter's objects, which the budget leaves out beforehand.
"""

import contextlib
import enum
import threading
from collections import Counter, deque
from collections.abc import Callable, Iterator

from boragestream.base.clock import Clock

__all__ = [
    "MemoryBudget",
    "MemoryCharge",
    "MemoryKind",
    "budget_bytes",
]

MEGABYTE = 1_048_576
# An entry with its libraries, threads and published values.
PROCESS_BYTES = 96 * MEGABYTE
# The allocator keeps part of what was freed, and buffers grow in steps: this share of
# the memory that is left may be charged.
USABLE_SHARE = 0.75
# The platform's smallest entries must still be able to answer small requests.
MIN_BUDGET_BYTES = 4 * MEGABYTE
# Requests up to this size may use memory that larger ones leave free.
SMALL_BYTES = 65_536
# The shares of the budget up to which more bytes are granted. What was admitted must
# still be answered, so that answers may use more than requests; and callers with large
# bodies or answers, or that read nothing, leave memory for the others. What is above
# the share of answers is for bytes that are charged without being granted: what the
# kernel has received is counted once a second, and grows under thousands of callers.
LARGE_REQUEST_SHARE = 0.5
UNREAD_SHARE = 0.6
# Beyond that share, unread output is closed down to this one, so that callers who read
# don't wait again at once.
FREED_SHARE = 0.5
LARGE_ANSWER_SHARE = 0.65
SMALL_REQUEST_SHARE = 0.8
ANSWER_SHARE = 0.85
# The releases of this many seconds predict when bytes become free.
RATE_SECONDS = 2.0
MIN_RETRY_SECONDS = 0.05
# Another entry can serve the caller before this one has memory again. Callers return to
# an entry of the directory's choice, and those with a second left wait a third of it.
MAX_RETRY_SECONDS = 0.3
POLL_SECONDS = 0.05
DEFAULT_MAX_WAITING = 64


class MemoryKind(enum.Enum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"
    OUTPUT = "output"
    PEER = "peer"


# Takes the bytes that were not granted.
ShortListener = Callable[[MemoryKind, int], None]


class MemoryBudget:
    """The bytes that an entry holds for others, by kind.

    :param limit: the bytes that may be held.
    :param max_waiting: how many threads may wait for memory at once, so that others
        are left for requests that need none.
    """

    def __init__(
        self, limit: int, clock: Clock, max_waiting: int = DEFAULT_MAX_WAITING
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._max_waiting = max_waiting
        self._waiting = 0
        self._charged: Counter[MemoryKind] = Counter()
        self._total = 0
        self._released: deque[tuple[float, int]] = deque()
        self._changed = threading.Condition()
        self._on_short: ShortListener = lambda kind, size: None

    @property
    def limit(self) -> int:
        """The bytes that may be held."""
        return self._limit

    @property
    def total(self) -> int:
        """The bytes that are held."""
        return self._total

    @property
    def grants_unread(self) -> bool:
        """Whether output may grow that its caller does not read."""
        return self._total <= self._limit * UNREAD_SHARE

    @property
    def frees_enough(self) -> bool:
        """Whether enough unread output has been closed."""
        return self._total <= self._limit * FREED_SHARE

    def charged(self, kind: MemoryKind) -> int:
        """Return the bytes that are held for one purpose."""
        return self._charged[kind]

    def grants(self, kind: MemoryKind, size: int) -> bool:
        """Return whether bytes would be granted now."""
        return self._total + size <= self._ceiling(kind, size)

    def on_short(self, free: ShortListener) -> None:
        """Have a function called, without a lock, when bytes are waited for."""
        self._on_short = free

    def reserve(self, kind: MemoryKind, size: int, whole: int = 0) -> bool:
        """Charge bytes if the budget grants them.

        :param whole: the size of what the bytes are a part of, if larger.
        """
        with self._changed:
            granted = self._total + size <= self._ceiling(kind, max(size, whole))
            if granted:
                self._add(kind, size)
        return granted

    def wait_and_reserve(
        self,
        kind: MemoryKind,
        size: int,
        seconds: float,
        cancelled: Callable[[], bool],
        whole: int = 0,
    ) -> bool:
        """Charge bytes as soon as the budget grants them.

        :param seconds: the longest time to wait.
        :param cancelled: whether to stop waiting.
        :param whole: the size of what the bytes are a part of, if larger.
        """
        if self.reserve(kind, size, whole):
            return True
        end = self._clock.now() + seconds
        with self.waiting() as may_wait:
            while may_wait and not cancelled() and self._clock.now() < end:
                self._on_short(kind, size)
                with self._changed:
                    self._changed.wait(POLL_SECONDS)
                if self.reserve(kind, size, whole):
                    return True
        return False

    @contextlib.contextmanager
    def waiting(self) -> Iterator[bool]:
        """Count a thread that waits for memory; tell whether it may."""
        with self._changed:
            may_wait = self._waiting < self._max_waiting
            self._waiting += may_wait
        try:
            yield may_wait
        finally:
            with self._changed:
                self._waiting -= may_wait

    def charge(self, kind: MemoryKind, size: int) -> None:
        """Charge bytes that are held already, whether or not they are granted."""
        with self._changed:
            self._add(kind, size)

    def release(self, kind: MemoryKind, size: int) -> None:
        """Return bytes to the budget."""
        if not size:
            return
        with self._changed:
            self._add(kind, -size)
            self._released.append((self._clock.now(), size))
            self._drop_old_releases()
            self._changed.notify_all()

    def retry_seconds(self, size: int) -> float:
        """Return after how many seconds a caller should return.

        By then the bytes are probably granted, or another entry serves it.
        """
        with self._changed:
            self._drop_old_releases()
            rate = sum(released for _, released in self._released) / RATE_SECONDS
            missing = self._total + size - self._ceiling(MemoryKind.REQUEST, size)
        if rate <= 0:
            return MAX_RETRY_SECONDS
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, missing / rate))

    def _add(self, kind: MemoryKind, size: int) -> None:
        self._charged[kind] += size
        self._total += size

    def _ceiling(self, kind: MemoryKind, size: int) -> float:
        small = size <= SMALL_BYTES
        if kind is MemoryKind.REQUEST:
            share = SMALL_REQUEST_SHARE if small else LARGE_REQUEST_SHARE
        elif small or self._holds_no_answer:
            share = ANSWER_SHARE
        else:
            share = LARGE_ANSWER_SHARE
        return self._limit * share

    @property
    def _holds_no_answer(self) -> bool:
        held = self._charged[MemoryKind.ANSWER] + self._charged[MemoryKind.OUTPUT]
        return held <= SMALL_BYTES

    def _drop_old_releases(self) -> None:
        oldest = self._clock.now() - RATE_SECONDS
        while self._released and self._released[0][0] < oldest:
            self._released.popleft()


class MemoryCharge:
    """The bytes that one holder has charged; released once, however often it ends."""

    def __init__(self, budget: MemoryBudget, kind: MemoryKind) -> None:
        self._budget = budget
        self._kind = kind
        self._size = 0
        self._ended = False
        self._lock = threading.Lock()

    @property
    def budget(self) -> MemoryBudget:
        """The budget to which the bytes are charged."""
        return self._budget

    @property
    def size(self) -> int:
        """The bytes that are charged."""
        return self._size

    def reserve(self, size: int) -> bool:
        """Charge further bytes if the budget grants them."""
        with self._lock:
            if self._ended:
                return False
            granted = self._budget.reserve(self._kind, size, self._size + size)
            if granted:
                self._size += size
            return granted

    def wait_and_reserve(
        self, size: int, seconds: float, cancelled: Callable[[], bool]
    ) -> bool:
        """Charge further bytes as soon as the budget grants them."""
        whole = self._size + size
        kind = self._kind
        if not self._budget.wait_and_reserve(kind, size, seconds, cancelled, whole):
            return False
        with self._lock:
            self._size += size
            ended = self._ended
        if ended:
            self.release()
        return not ended

    def add(self, size: int) -> None:
        """Charge further bytes, which are held already."""
        with self._lock:
            if not self._ended:
                self._size += size
                self._budget.charge(self._kind, size)

    def give(self, size: int) -> None:
        """Return some of the bytes, which another charge counts from now on."""
        with self._lock:
            size = min(size, self._size)
            self._size -= size
            self._budget.release(self._kind, size)

    def set(self, size: int) -> None:
        """Charge exactly this many bytes, which are held already."""
        with self._lock:
            if self._ended:
                return
            change, self._size = size - self._size, size
            if change > 0:
                self._budget.charge(self._kind, change)
            else:
                self._budget.release(self._kind, -change)

    def release(self) -> None:
        """Return all bytes to the budget, and charge none any more."""
        with self._lock:
            self._ended = True
            size, self._size = self._size, 0
            self._budget.release(self._kind, size)


def budget_bytes(memory_mb: int) -> int:
    """Return the bytes that an entry may hold for others.

    :param memory_mb: the memory at which the platform ends the process.
    """
    left = memory_mb * MEGABYTE - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, int(left * USABLE_SHARE))
