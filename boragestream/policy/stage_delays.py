"""How long the stages of each service have taken lately, their waits included.

A chain is planned backwards from its objective. Under load the later stages of a chain
take several times their usual time, and a request that begins its first stage without
regard to that is late at the end, after all of its work is done.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["StageDelays"]

SMOOTHING = 0.3
# A service that nobody has used for so long is taken to be idle again.
FORGET_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Delay:
    seconds: float
    measured_at: float


class StageDelays:
    """The delays by service, as this entry has seen them.

    :param now: returns the clock's seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._delays: dict[str, _Delay] = {}
        self._lock = threading.Lock()

    def note(self, service: str, seconds: float, usual: float) -> None:
        """Take how long a stage took from its order to its results.

        One slow stage after a quiet while may be chance: taken whole, it had an entry
        refuse all chains for two seconds, in which nothing was measured anew.

        :param usual: what it takes on an idle server.
        """
        with self._lock:
            expected = self.expected(service, usual)
            smoothed = expected + SMOOTHING * (seconds - expected)
            self._delays[service] = _Delay(smoothed, self._now())

    def expected(self, service: str, usual: float) -> float:
        """Return how long a stage is expected to take, in seconds.

        :param usual: what it takes on an idle server; never less is expected.
        """
        known = self._delays.get(service)
        if known is None:
            return usual
        trust = 1.0 - (self._now() - known.measured_at) / FORGET_SECONDS
        return usual + max(0.0, trust) * max(0.0, known.seconds - usual)
