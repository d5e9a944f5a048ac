"""Latency histograms that forget: one for each client account and each stage.

Each keeps two windows and drops the older one when a window ends, so that a status
page shows the last one to two minutes. The precision is one digit and the range is
fixed, so that 730 client accounts cost a few megabytes. Naming the series is left to
``base.observations``.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from boragestream.base.clock import Clock

__all__ = ["Histograms", "LatencySummary", "merge_summaries"]

WINDOW_SECONDS = 60.0
UNITS_PER_SECOND = 10_000
LONGEST_UNITS = 600 * UNITS_PER_SECOND
DIGITS = 1
COUNTER_BYTES = 4
MAX_SERIES = 4096
SHOWN_PERCENTILES = (50, 95, 99)


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """What a histogram shows; milliseconds, within 7 in 100 of the true value.

    :ivar count: how many values the last one to two windows hold.
    :ivar encoded: the histogram itself in HdrHistogram's format, to be merged.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float
    encoded: str


class _Windows:
    """The current and the previous window of one series."""

    def __init__(self, now: float) -> None:
        self.began = now
        self.current = _new_histogram()
        self.previous: HdrHistogram | None = None

    def rotate(self, now: float) -> None:
        """Begin a new window where the current one has ended."""
        age = now - self.began
        if age < WINDOW_SECONDS:
            return
        self.previous = self.current if age < 2 * WINDOW_SECONDS else None
        self.current = _new_histogram()
        self.began = now

    def merged(self) -> HdrHistogram:
        """Return both windows in one."""
        both = _new_histogram()
        both.add(self.current)
        if self.previous is not None:
            both.add(self.previous)
        return both


class Histograms:
    """Histograms by name, safe for many threads.

    :param clock: says when a window ends.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._series: dict[str, _Windows] = {}
        self._lock = threading.Lock()

    def record(self, name: str, seconds: float) -> None:
        """Add a value to a series; a value beyond the range counts as its end.

        A new series is left out while there are ``MAX_SERIES`` others in use.
        """
        now = self._clock.now()
        units = min(max(1, int(seconds * UNITS_PER_SECOND)), LONGEST_UNITS)
        with self._lock:
            windows = self._series.get(name) or self._add(name, now)
            if windows is None:
                return
            windows.rotate(now)
            windows.current.record_value(units)

    def snapshot(self) -> dict[str, LatencySummary]:
        """Return a summary of each series that had values of late."""
        now = self._clock.now()
        with self._lock:
            self._drop_idle(now)
            merged = {name: w.merged() for name, w in self._series.items()}
        return {name: _summary(histogram) for name, histogram in merged.items()}

    def _add(self, name: str, now: float) -> _Windows | None:
        if len(self._series) >= MAX_SERIES:
            self._drop_idle(now)
        if len(self._series) >= MAX_SERIES:
            return None
        windows = self._series[name] = _Windows(now)
        return windows

    def _drop_idle(self, now: float) -> None:
        for name, windows in list(self._series.items()):
            windows.rotate(now)
            used = windows.current.get_total_count() or windows.previous
            if not used:
                del self._series[name]


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_UNITS, DIGITS, word_size=COUNTER_BYTES)


def _summary(histogram: HdrHistogram) -> LatencySummary:
    units = [histogram.get_value_at_percentile(p) for p in SHOWN_PERCENTILES]
    units.append(histogram.get_max_value())
    milliseconds = (round(u * 1000 / UNITS_PER_SECOND, 1) for u in units)
    encoded = histogram.encode().decode()
    return LatencySummary(histogram.get_total_count(), *milliseconds, encoded)


def merge_summaries(summaries: Iterable[LatencySummary]) -> LatencySummary | None:
    """Return one summary of several entries' values; None for no entries.

    :param summaries: from entries, which are trusted to encode histograms.
    """
    merged = _new_histogram()
    for summary in summaries:
        merged.decode_and_add(summary.encoded)
    return _summary(merged) if merged.get_total_count() else None
