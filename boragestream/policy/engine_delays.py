"""Estimates the time that engines take to their first event, by route.

A request's stages are planned backwards from its latency objective. The time reserved
for the engine therefore decides how many answers are late: with a fixed 0.25 s, an
eighth of the answers to long prompts were late although their stages ended in time. The
reserve is the mean plus twice the mean deviation, which few calls exceed.
"""

import threading
from dataclasses import dataclass

__all__ = ["EngineDelays"]

# The reserve for a route without observations.
DEFAULT_SECONDS = 0.25
SMOOTHING = 0.1
DEVIATION_FACTOR = 2.0
MIN_SECONDS = 0.1
# The upper limit keeps one slow engine from making every request of a route appear to
# miss its objective.
MAX_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class _Delay:
    mean: float
    deviation: float


# With these figures the reserve equals ``DEFAULT_SECONDS``.
INITIAL_DELAY = _Delay(DEFAULT_SECONDS / 2, DEFAULT_SECONDS / 4)


class EngineDelays:
    """The delays by route that this entry has observed; thread-safe."""

    def __init__(self) -> None:
        self._delays: dict[str, _Delay] = {}
        self._lock = threading.Lock()

    def note(self, route: str, seconds: float) -> None:
        """Record the seconds from a call to its first event."""
        with self._lock:
            current = self._delays.get(
                route, _Delay(DEFAULT_SECONDS / 2, DEFAULT_SECONDS / 4)
            )
            difference = seconds - current.mean
            self._delays[route] = _Delay(
                current.mean + SMOOTHING * difference,
                current.deviation + SMOOTHING * (abs(difference) - current.deviation),
            )

    def reserve_seconds(self, route: str) -> float:
        """Return the seconds to reserve for a call of a route."""
        delay = self._delays.get(route)
        if delay is None:
            return DEFAULT_SECONDS
        reserve = delay.mean + DEVIATION_FACTOR * delay.deviation
        return min(MAX_SECONDS, max(MIN_SECONDS, reserve))
