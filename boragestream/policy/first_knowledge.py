"""Handling of requests by an entry that has just started and has no published values.

Load pattern: all entries were lost, and the waiting callers connect as soon as an entry
listens. Two conditions would cause needless refusals. The first answers of the platform
take some milliseconds, so a request is held for that time. While the platform is
unreachable, the next entry has no values either, so a caller told to retry at once
fails again. On days on which all entries were lost and the store stayed down for two to
four seconds longer, a retry delay of 2 s instead of 0.05 s raised the value that these
callers obtained over the whole day by a tenth.
"""

import threading

from boragestream.base.clock import Clock

__all__ = ["StartupReadiness"]

# The platform answers within about 5 ms, and a request waits for the slowest answer. A
# longer wait would take a considerable share of the shortest latency objective, 0.3 s.
HOLD_SECONDS = 0.1
# Limits of the retry delay. The remaining time of an outage is estimated as its
# duration so far, but as no less than the first value.
MIN_RETRY_SECONDS = 2.0
MAX_RETRY_SECONDS = 5.0


class StartupReadiness:
    """Tracks whether the first answers of the platform are pending; thread-safe.

    :param clock: measures the time since the start.
    :param awaited: the names of the values required before requests can be served.
    :param hold_seconds: how long a request waits for them at most.
    """

    def __init__(
        self,
        clock: Clock,
        awaited: tuple[str, ...],
        hold_seconds: float = HOLD_SECONDS,
    ) -> None:
        self._clock = clock
        self._hold_seconds = hold_seconds
        self._started_at = clock.now()
        self._awaited = set(awaited)
        self._settled = threading.Event()
        self._lock = threading.Lock()

    def note_known(self, name: str) -> None:
        """Record that a required value is known."""
        if self._settled.is_set():
            return
        with self._lock:
            self._awaited.discard(name)
            if not self._awaited:
                self._settled.set()

    def note_unreachable(self) -> None:
        """Record that the platform gave no answer, and stop holding requests."""
        self._settled.set()

    def wait_for_first_answers(self) -> None:
        """Wait for the first answers, for a limited time."""
        self._settled.wait(self._hold_seconds)

    def retry_delay_seconds(self) -> float:
        """Return the retry delay in seconds of a request that can't be served yet."""
        elapsed = self._clock.now() - self._started_at
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, elapsed))
