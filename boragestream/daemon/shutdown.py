"""Graceful shutdown of an entry, and its early end by a signal or the time limit.

A leaving entry is removed from the lists given to callers. It keeps serving until every
list that names it has expired, then accepts no more connections and ends when all open
requests are answered completely. ``daemon.entry`` decides which components to close.
"""

import threading
from collections.abc import Callable

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.settings import StopSettings
from boragestream.daemon.exit_codes import ExitCode

__all__ = ["ANSWER_SECONDS", "GracefulStop", "KeptAnswers"]

CHECK_SECONDS = 0.05
# Other entries may list a leaving entry until the news reaches them.
LEAVE_PROPAGATION_SECONDS = 2.0
# How long requests that are cancelled at the time limit have to be answered.
ANSWER_SECONDS = 0.25
# A request between two steps can be missed by one check, but not by two in a row.
IDLE_CHECKS = 3


class KeptAnswers:
    """Tracks until when callers may keep answers that name this entry.

    :param clock: the clock for the expiry times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = clock.now()

    @property
    def until(self) -> float:
        """The clock time, in seconds, at which the last answer expires."""
        return self._until

    def extend(self, keep_seconds: float) -> None:
        """Record an answer that callers may keep for ``keep_seconds`` from now on."""
        self._until = max(self._until, self._clock.now() + keep_seconds)


class GracefulStop:
    """Decides when a stopping entry may end.

    :param settings: the linger time and the time limit for open requests.
    :param clock: the clock for both.
    """

    def __init__(self, settings: StopSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._begun = threading.Event()
        self._forced = threading.Event()

    @property
    def begun(self) -> threading.Event:
        """The event that the first signal sets."""
        return self._begun

    def signal(self) -> None:
        """Begin the graceful shutdown; a second call ends it at once."""
        if self._begun.is_set():
            self._forced.set()
        self._begun.set()

    def linger_until(self, kept_until: float, keep_seconds: float) -> float:
        """Return the clock time, in seconds, until which to serve new requests.

        :param kept_until: when the last answer given by this entry expires.
        :param keep_seconds: how long callers may keep answers that other entries give.
        """
        now = self._clock.now()
        peers_listed_until = now + LEAVE_PROPAGATION_SECONDS + keep_seconds
        return max(now + self._settings.linger_seconds, kept_until, peers_listed_until)

    def finish(
        self,
        linger_until: float,
        stop_listening: Callable[[], None],
        in_progress: Callable[[], int],
        cancel_open: Callable[[], None],
    ) -> ExitCode:
        """Wait until the entry may end; return its exit code.

        This takes up to ``ANSWER_SECONDS`` beyond the time limit.

        :param linger_until: the clock time until which to serve new requests.
        :param stop_listening: called at that time.
        :param in_progress: returns the number of requests not yet fully answered.
        :param cancel_open: called at the time limit; ends each open request with an
            answer that says so.
        """
        self._wait(lambda: self._clock.now() >= linger_until)
        stop_listening()
        limit = self._clock.now() + self._settings.limit_seconds
        if self._drained(in_progress, limit):
            return ExitCode.WHOLE
        if self._forced.is_set():
            return self._end_early(Event.STOP_FORCED, ExitCode.FORCED, in_progress())
        code = self._end_early(Event.STOP_LIMIT_REACHED, ExitCode.LIMIT, in_progress())
        cancel_open()
        self._drained(in_progress, self._clock.now() + ANSWER_SECONDS)
        return code

    def _drained(self, in_progress: Callable[[], int], until: float) -> bool:
        """Wait until no request is open; return False on a signal or at ``until``."""
        idle_checks = 0
        while idle_checks < IDLE_CHECKS:
            idle_checks = 0 if in_progress() else idle_checks + 1
            if self._forced.is_set() or self._clock.now() >= until:
                return False
            self._forced.wait(CHECK_SECONDS)
        return True

    def _wait(self, done: Callable[[], bool]) -> None:
        while not done() and not self._forced.wait(CHECK_SECONDS):
            pass

    def _end_early(self, event: Event, code: ExitCode, count: int) -> ExitCode:
        emit(event, cut=count, exit_code=int(code))
        return code
