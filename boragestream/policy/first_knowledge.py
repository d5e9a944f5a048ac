"""What an entry that has just started does with requests while it knows nothing yet.

Load pattern: all entries were lost, and callers that have waited meanwhile come the
moment an entry listens. Two things would refuse them needlessly. The first answers of
the platform take some milliseconds: a request is held for that long. And while the
platform is out of reach the next entry knows no more than this one: a caller that is
told to come back at once has lost its next try too. On days with all entries lost while
the store is down for two to four seconds more, callers that were told to come back
after 2 s in place of 0.05 s had a tenth more worth of the whole day.
"""

import threading

from boragestream.base.clock import Clock

__all__ = ["FirstKnowledge"]

# The platform answers within some 5 ms, a request waits for the slowest of its answers;
# a longer wait would be a noticeable part of the shortest objectives, 0.3 s.
HOLD_SECONDS = 0.1
# An outage that has lasted for some time lasts about as long again, and never is it
# expected to end sooner than this.
LEAST_RETURN_SECONDS = 2.0
MOST_RETURN_SECONDS = 5.0


class FirstKnowledge:
    """Whether the first answers of the platform are still awaited; any thread may ask.

    :param clock: tells for how long nothing is known.
    :param awaited: names of what must be known before requests can be served.
    """

    def __init__(self, clock: Clock, awaited: tuple[str, ...]) -> None:
        self._clock = clock
        self._began = clock.now()
        self._awaited = set(awaited)
        self._settled = threading.Event()
        self._lock = threading.Lock()

    def note_known(self, name: str) -> None:
        """Take that something is known now."""
        if self._settled.is_set():
            return
        with self._lock:
            self._awaited.discard(name)
            if not self._awaited:
                self._settled.set()

    def note_unreachable(self) -> None:
        """Take that the platform gave no answer: waiting longer is no use."""
        self._settled.set()

    def hold(self) -> None:
        """Wait for the first answers, for a moment at the most."""
        self._settled.wait(HOLD_SECONDS)

    def return_seconds(self) -> float:
        """Return when a caller shall come back for which nothing is known here."""
        away = self._clock.now() - self._began
        return min(MOST_RETURN_SECONDS, max(LEAST_RETURN_SECONDS, away))
