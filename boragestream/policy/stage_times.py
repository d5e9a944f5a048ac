"""How long each stage of each pipeline takes, as this entry has measured it.

A stage's sample holds its latest times and forgets old ones, so that quantiles follow
what the backend servers do now. The baseline is the time without queueing: the lowest
mean of a group of times in a row. What the times mean for a request is left to
``policy.deadlines``, what they mean for the servers to ``policy.service_window``.
"""

import threading
from collections import deque

__all__ = ["StageSample", "StageTimes"]

SAMPLE_SIZE = 128
SAMPLE_SECONDS = 2.0
# The tail of fewer times is one odd time, and would close the door on all requests.
MIN_TAIL_SAMPLE = 10
BASELINE_GROUP = 16
# Quantiles are sorted out again after this long at the most; sorting for every request
# would cost more than the answer is worth.
CACHE_SECONDS = 0.1
# Below this the entry's own delays and the way to another data centre are most of a
# stage's time, and say nothing of a queue at the servers.
MIN_BASELINE_SECONDS = 0.02
# So many groups of times make an entry's own baseline better than that of another.
OWN_GROUPS = 4


class StageSample:
    """The latest times of one stage; not safe without its owner's lock."""

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque(maxlen=SAMPLE_SIZE)
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")
        self._group: list[float] = []
        self._baseline: float | None = None
        self._groups = 0

    @property
    def baseline(self) -> float | None:
        """Seconds without queueing; None before the first time."""
        return self._baseline

    def add(self, seconds: float, now: float) -> None:
        """Take one measured time."""
        self._times.append((now, seconds))
        if self._baseline is None:
            self._baseline = seconds
        self._group.append(seconds)
        if len(self._group) == BASELINE_GROUP:
            mean = sum(self._group) / BASELINE_GROUP
            self._baseline = min(self._baseline, mean)
            self._groups += 1
            self._group.clear()

    def raise_baseline(self, factor: float) -> None:
        """Correct a baseline that turned out to be too low."""
        if self._baseline is not None:
            self._baseline *= factor

    def take_baseline(self, seconds: float) -> None:
        """Take a baseline that another entry measured, while the own is new."""
        if self._groups < OWN_GROUPS:
            known = seconds if self._baseline is None else self._baseline
            self._baseline = min(known, seconds)

    def quantile(self, share: float, now: float) -> float:
        """Return a quantile in seconds; 0 where nothing recent is known."""
        ordered = self._ordered(now)
        if not ordered:
            return 0.0
        if len(ordered) < MIN_TAIL_SAMPLE:
            share = min(share, 0.5)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def mean(self, now: float) -> float:
        """Return the mean in seconds; 0 where nothing recent is known."""
        ordered = self._ordered(now)
        return sum(ordered) / len(ordered) if ordered else 0.0

    def _ordered(self, now: float) -> list[float]:
        if now - self._sorted_at >= CACHE_SECONDS:
            oldest = now - SAMPLE_SECONDS
            self._sorted = sorted(s for at, s in self._times if at >= oldest)
            self._sorted_at = now
        return self._sorted


class StageTimes:
    """The samples by pipeline and stage."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], StageSample] = {}
        self._lock = threading.Lock()

    def add(self, pipeline: str, stage: str, seconds: float, now: float) -> None:
        """Take one measured time."""
        with self._lock:
            sample = self._samples.setdefault((pipeline, stage), StageSample())
            sample.add(seconds, now)

    def multiple(self, pipeline: str, stage: str, seconds: float) -> float:
        """Return a time as a multiple of the stage's baseline."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            baseline = sample.baseline if sample else None
        return seconds / max(baseline or seconds, MIN_BASELINE_SECONDS)

    def quantile(self, pipeline: str, stage: str, share: float, now: float) -> float:
        """Return a quantile of a stage in seconds; 0 where nothing is known."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            return sample.quantile(share, now) if sample else 0.0

    def mean(self, pipeline: str, stage: str, now: float) -> float:
        """Return the mean of a stage in seconds; 0 where nothing is known."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            return sample.mean(now) if sample else 0.0

    def raise_baseline(self, pipeline: str, stage: str, factor: float) -> None:
        """Correct a baseline that turned out to be too low."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            if sample is not None:
                sample.raise_baseline(factor)

    def baseline(self, pipeline: str, stage: str) -> float:
        """Return a stage's seconds without queueing; 0 where nothing is known."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            return (sample.baseline if sample else None) or 0.0

    def baselines(self) -> dict[tuple[str, str], float]:
        """Return every baseline in seconds, by pipeline and stage."""
        with self._lock:
            known = self._samples.items()
            return {k: s.baseline for k, s in known if s.baseline is not None}

    def take_baseline(self, pipeline: str, stage: str, seconds: float) -> None:
        """Take a baseline of another entry, where it is lower and the own is new.

        An entry that starts under load has never seen its servers without a queue.
        """
        with self._lock:
            sample = self._samples.setdefault((pipeline, stage), StageSample())
            sample.take_baseline(seconds)
