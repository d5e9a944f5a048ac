"""The graceful shutdown of an entry, and the ways in which it is cut short.

A leaving entry is no longer named to callers, serves on for as long as an answer that
named it may be kept, then accepts no connection and ends when everything in progress
is answered whole. Which parts the entry closes is left to ``daemon.entry``.
"""

import threading
from collections.abc import Callable

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.settings import StopSettings
from boragestream.daemon.exit_codes import ExitCode

__all__ = ["GracefulStop", "KeptAnswers"]

CHECK_SECONDS = 0.05
# Other entries may name a leaving entry until they have heard of it.
HEARD_SECONDS = 2.0
# A request may be between two steps at one look; it is at neither at two.
QUIET_CHECKS = 3


class KeptAnswers:
    """Until when callers may keep answers that name this entry.

    :param clock: the clock of the answers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = clock.now()

    @property
    def until(self) -> float:
        """The clock's seconds at which the last answer given expires."""
        return self._until

    def give(self, keep_seconds: float) -> None:
        """Note an answer that may be kept for some seconds from now on."""
        self._until = max(self._until, self._clock.now() + keep_seconds)


class GracefulStop:
    """Decides when a stopping entry may end.

    :param settings: how long to linger and to wait.
    :param clock: the clock of both.
    """

    def __init__(self, settings: StopSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._begun = threading.Event()
        self._forced = threading.Event()

    @property
    def begun(self) -> threading.Event:
        """Set from the first signal on."""
        return self._begun

    def signal(self) -> None:
        """Begin to stop; a second call ends it at once."""
        if self._begun.is_set():
            self._forced.set()
        self._begun.set()

    def linger_until(self, kept_until: float, keep_seconds: float) -> float:
        """Return the clock's seconds until which new requests are served.

        :param kept_until: when the last answer that this entry gave expires.
        :param keep_seconds: how long answers may be kept that others give meanwhile.
        """
        now = self._clock.now()
        others = now + HEARD_SECONDS + keep_seconds
        return max(now + self._settings.linger_seconds, kept_until, others)

    def finish(
        self,
        linger_until: float,
        stop_listening: Callable[[], None],
        in_progress: Callable[[], int],
    ) -> ExitCode:
        """Wait until the entry may end; return how it ends.

        :param linger_until: until when new requests are served.
        :param stop_listening: called after that.
        :param in_progress: counts requests that are not answered whole.
        """
        self._wait(lambda: self._clock.now() >= linger_until)
        stop_listening()
        limit = self._clock.now() + self._settings.limit_seconds
        quiet = 0
        while quiet < QUIET_CHECKS:
            count = in_progress()
            quiet = 0 if count else quiet + 1
            if self._forced.is_set():
                return self._cut(Event.STOP_FORCED, ExitCode.FORCED, count)
            if self._clock.now() >= limit:
                return self._cut(Event.STOP_LIMIT_REACHED, ExitCode.LIMIT, count)
            self._forced.wait(CHECK_SECONDS)
        return ExitCode.WHOLE

    def _wait(self, done: Callable[[], bool]) -> None:
        while not done() and not self._forced.wait(CHECK_SECONDS):
            pass

    def _cut(self, event: Event, code: ExitCode, count: int) -> ExitCode:
        emit(event, cut=count, exit_code=int(code))
        return code
