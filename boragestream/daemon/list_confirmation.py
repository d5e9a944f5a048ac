"""Confirms by a read of the store that the server list is current.

One read serves all that ask before it begins, so that the number of reads does not grow
with the number of streams that are taken up at once.
"""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.outcomes import Failure

__all__ = ["ListConfirmation"]

# A caller that has its stream refused can go to another entry meanwhile.
ANSWER_SECONDS = 0.2
# Between the beginnings of two reads.
MIN_GAP_SECONDS = 0.05
# While the store gives no answer it is called this often, and nobody waits for it.
RETRY_SECONDS = 0.5


class ListConfirmation:
    """Confirms the server list; thread-safe.

    :param refresh: applies all that was published so far, given the seconds that an
        answer of the store may take; returns why something may be missing, or None.
    :param answer_seconds: the longest that ``confirm`` waits.
    """

    def __init__(
        self,
        refresh: Callable[[float], Failure | None],
        clock: Clock,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> None:
        self._refresh = refresh
        self._clock = clock
        self._answer_seconds = answer_seconds
        self._next: Future[bool] | None = None
        self._failing = False
        self._retry_at = 0.0
        self._begun_at = 0.0
        self._lock = threading.Lock()
        self._reader = ThreadPoolExecutor(1, "list-confirmation")

    def confirm(self) -> bool:
        """Return whether all that was published before this call is known here."""
        with self._lock:
            now = self._clock.now()
            if self._failing and now < self._retry_at:
                return False
            if self._next is None:
                self._retry_at = now + RETRY_SECONDS
                self._next = self._reader.submit(self._read)
            read, failing = self._next, self._failing
        if failing:
            return False
        wait([read], self._answer_seconds)
        return read.done() and read.result()

    def _read(self) -> bool:
        time.sleep(max(0.0, self._begun_at + MIN_GAP_SECONDS - self._clock.now()))
        with self._lock:
            self._next = None
            self._begun_at = self._clock.now()
        failed = True
        try:
            failure = self._refresh(self._answer_seconds)
            failed = failure is not None
            if failed and not self._failing:
                emit(Event.LIST_UNCONFIRMED, failure=failure.describe())
        except Exception as error:
            reason = describe_error(error)
            emit(Event.TASK_FAILED, task="list confirmation", error=reason)
        self._failing = failed
        return not failed
