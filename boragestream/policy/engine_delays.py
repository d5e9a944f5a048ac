"""How long engines have taken to their first event lately, by kind of request.

A chain is planned backwards from its objective, and what it keeps back for the engine
decides how many answers are late. With a fixed quarter of a second, an eighth of the
answers of long prompts came late although their stages were done in time. What is kept
back is the mean and twice the mean deviation, so that few take longer.
"""

import threading
from dataclasses import dataclass

__all__ = ["EngineDelays"]

# What an engine needs where nothing is known yet.
USUAL_SECONDS = 0.25
SMOOTHING = 0.1
DEVIATIONS = 2.0
LEAST_SECONDS = 0.1
# No single slow engine may make all chains of a kind look hopeless.
MOST_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class _Delay:
    mean: float
    deviation: float


# What is kept back with it is the usual time.
FIRST_DELAY = _Delay(USUAL_SECONDS / 2, USUAL_SECONDS / 4)


class EngineDelays:
    """The delays by route, as this entry has seen them; any thread may ask."""

    def __init__(self) -> None:
        self._delays: dict[str, _Delay] = {}
        self._lock = threading.Lock()

    def note(self, route: str, seconds: float) -> None:
        """Take the seconds from a call to its first event."""
        with self._lock:
            known = self._delays.get(
                route, _Delay(USUAL_SECONDS / 2, USUAL_SECONDS / 4)
            )
            off = seconds - known.mean
            self._delays[route] = _Delay(
                known.mean + SMOOTHING * off,
                known.deviation + SMOOTHING * (abs(off) - known.deviation),
            )

    def expected(self, route: str) -> float:
        """Return the seconds to keep back for a call of a route."""
        known = self._delays.get(route)
        if known is None:
            return USUAL_SECONDS
        kept = known.mean + DEVIATIONS * known.deviation
        return min(MOST_SECONDS, max(LEAST_SECONDS, kept))
