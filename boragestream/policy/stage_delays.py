"""The recent durations of the stages of each service, waits included.

The stages of a chain are scheduled backwards from its objective. Under load the later
stages take several times their usual durations. A request that is scheduled without
regard to that ends late, after all of its work has been done.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["StageDelays"]

SMOOTHING = 0.3
# A service that has not been used for this time is taken to be idle again.
FORGET_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Delay:
    seconds: float
    measured_at: float


class StageDelays:
    """The delays by service, as this entry has measured them.

    :param now: returns the clock's seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._delays: dict[str, _Delay] = {}
        self._lock = threading.Lock()

    def record(self, service: str, seconds: float, usual: float) -> None:
        """Record the duration of a stage, from its order to its results.

        The duration is smoothed, since a single slow stage after an idle time may be
        chance. Used unsmoothed, it made an entry refuse all chains for two seconds, in
        which no new duration was measured.

        :param usual: seconds that the stage takes on an idle server.
        """
        with self._lock:
            expected = self.expected(service, usual)
            smoothed = expected + SMOOTHING * (seconds - expected)
            self._delays[service] = _Delay(smoothed, self._now())

    def expected(self, service: str, usual: float) -> float:
        """Return the expected duration of a stage, in seconds.

        :param usual: seconds that the stage takes on an idle server; the lower bound.
        """
        delay = self._delays.get(service)
        if delay is None:
            return usual
        weight = 1.0 - (self._now() - delay.measured_at) / FORGET_SECONDS
        return usual + max(0.0, weight) * max(0.0, delay.seconds - usual)
