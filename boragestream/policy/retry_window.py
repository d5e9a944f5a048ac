"""Bounds how often requests are sent once more, over all entries together.

A service may get, in any window of a few seconds, repeats up to a share of its
requests and some slack. Each entry keeps to its part: the share of its own requests
and the slack divided by the entries that it knows of.
"""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["RetryBounds", "RetryWindows"]

# The part of the bound that is used. An entry that was restarted has forgotten what its
# predecessor sent in the same window, and a request can end just outside of it.
USED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """The bound for one service, over all entries.

    :ivar share: repeats as a share of its requests.
    :ivar window_seconds: the length of the window.
    :ivar slack: repeats in a window besides.
    """

    share: float
    window_seconds: float
    slack: float


@dataclass(slots=True)
class _Counts:
    requests: deque[float]
    repeats: deque[float]


class RetryWindows:
    """The repeats that this entry may still send, by service.

    :param now: returns the clock's seconds.
    :param bounds: returns the bound in force.
    :param entries: returns how many entries share it.
    """

    def __init__(
        self,
        now: Callable[[], float],
        bounds: Callable[[], RetryBounds],
        entries: Callable[[], int],
    ) -> None:
        self._now = now
        self._bounds = bounds
        self._entries = entries
        self._counts: dict[str, _Counts] = {}
        self._lock = threading.Lock()

    def note_request(self, service: str, count: int = 1) -> None:
        """Count what was asked of a service: callers' requests, or pieces of a stage.

        The owner of a stage service's queue repeats for all entries. Were their pieces
        not counted with it, its part of the slack alone would be left to it: two
        repeats in ten seconds among 195 entries. On a day of these with lost answers
        and spoilt results 189 of 12,500 staged requests failed for that.
        """
        with self._lock:
            self._of(service).requests.extend([self._now()] * count)

    def spend(self, service: str, count: int = 1) -> bool:
        """Take some repeats; False, and none taken, where the bound forbids them."""
        bounds = self._bounds()
        with self._lock:
            counts = self._of(service)
            oldest = self._now() - bounds.window_seconds
            _forget(counts.requests, oldest)
            _forget(counts.repeats, oldest)
            slack = bounds.slack / max(1, self._entries())
            allowed = USED_SHARE * (bounds.share * len(counts.requests) + slack)
            if len(counts.repeats) + count > allowed:
                return False
            counts.repeats.extend([self._now()] * count)
            return True

    def _of(self, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = _Counts(deque(), deque())
        return counts


def _forget(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
