"""The durations of the stages of each pipeline, as this entry has measured them.

A stage's sample holds its latest durations and drops old ones, so that quantiles follow
the current speed of the backend servers. The baseline is the duration without queueing:
the lowest mean of a group of consecutive durations. Streamed answers have a separate
baseline, since a stream lasts until its last token. Compared with the baseline of
answers that are sent at once, streams of 80 ms looked like a 50-fold delay by queueing,
so that the window closed. On an idle server a stream then waited 53 ms at p50 and
782 ms at p95, against 1.8 and 2.3 ms with separate baselines (``bench.overhead``).
``policy.deadlines`` derives the needs of requests from the durations,
``policy.service_window`` the load of the servers.
"""

import threading
from collections import deque

__all__ = ["StageBaseline", "StageSample", "StageTimes"]

SAMPLE_SIZE = 128
SAMPLE_SECONDS = 2.0
# With fewer durations a single outlier is the tail, and would refuse all requests.
MIN_TAIL_SAMPLE = 10
BASELINE_GROUP_SIZE = 16
# The sample is sorted again after this time at the earliest, since sorting it for each
# request costs more than the accuracy is worth.
CACHE_SECONDS = 0.1
# Below this, most of a stage's duration is delay in the entry and on the network to
# another data centre, which does not indicate a queue at the servers.
MIN_BASELINE_SECONDS = 0.02
# With this number of groups an entry's own baseline is better than another entry's.
OWN_BASELINE_GROUPS = 4


class StageBaseline:
    """The duration of one stage without queueing; the owner must hold a lock."""

    def __init__(self) -> None:
        self._group: list[float] = []
        self._baseline: float | None = None
        self._groups = 0

    @property
    def seconds(self) -> float | None:
        """Seconds without queueing; None before the first measurement."""
        return self._baseline

    def add(self, seconds: float) -> None:
        """Add one measured duration."""
        if self._baseline is None:
            self._baseline = seconds
        self._group.append(seconds)
        if len(self._group) == BASELINE_GROUP_SIZE:
            mean = sum(self._group) / BASELINE_GROUP_SIZE
            self._baseline = min(self._baseline, mean)
            self._groups += 1
            self._group.clear()

    def raise_by(self, factor: float) -> None:
        """Multiply a baseline that proved too low by a factor."""
        if self._baseline is not None:
            self._baseline *= factor

    def adopt(self, seconds: float) -> None:
        """Lower the baseline to another entry's while few groups were measured here."""
        if self._groups < OWN_BASELINE_GROUPS:
            current = seconds if self._baseline is None else self._baseline
            self._baseline = min(current, seconds)


class StageSample:
    """The latest durations of one stage; the owner must hold a lock."""

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque(maxlen=SAMPLE_SIZE)
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Add one measured duration."""
        self._times.append((now, seconds))

    def quantile(self, share: float, now: float) -> float:
        """Return a quantile in seconds; 0 without recent measurements."""
        ordered = self._ordered(now)
        if not ordered:
            return 0.0
        if len(ordered) < MIN_TAIL_SAMPLE:
            share = min(share, 0.5)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def mean(self, now: float) -> float:
        """Return the mean in seconds; 0 without recent measurements."""
        ordered = self._ordered(now)
        return sum(ordered) / len(ordered) if ordered else 0.0

    def _ordered(self, now: float) -> list[float]:
        if now - self._sorted_at >= CACHE_SECONDS:
            oldest = now - SAMPLE_SECONDS
            self._sorted = sorted(s for at, s in self._times if at >= oldest)
            self._sorted_at = now
        return self._sorted


class StageTimes:
    """The samples and baselines by pipeline and stage."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], StageSample] = {}
        # By pipeline, stage and whether the answers are streamed.
        self._baselines: dict[tuple[str, str, bool], StageBaseline] = {}
        self._lock = threading.Lock()

    def add(
        self,
        pipeline: str,
        stage: str,
        seconds: float,
        now: float,
        streamed: bool = False,
    ) -> None:
        """Add one measured duration."""
        with self._lock:
            sample = self._samples.setdefault((pipeline, stage), StageSample())
            sample.add(seconds, now)
            self._baseline_of(pipeline, stage, streamed).add(seconds)

    def multiple(
        self, pipeline: str, stage: str, seconds: float, streamed: bool = False
    ) -> float:
        """Return a duration as a multiple of the stage's baseline."""
        with self._lock:
            measured = self._baselines.get((pipeline, stage, streamed))
            baseline = measured.seconds if measured else None
        return seconds / max(baseline or seconds, MIN_BASELINE_SECONDS)

    def quantile(self, pipeline: str, stage: str, share: float, now: float) -> float:
        """Return a quantile of a stage in seconds; 0 without recent measurements."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            return sample.quantile(share, now) if sample else 0.0

    def mean(self, pipeline: str, stage: str, now: float) -> float:
        """Return the mean of a stage in seconds; 0 without recent measurements."""
        with self._lock:
            sample = self._samples.get((pipeline, stage))
            return sample.mean(now) if sample else 0.0

    def raise_baseline(self, pipeline: str, stage: str, factor: float) -> None:
        """Multiply the baselines of a stage, which proved too low, by a factor."""
        with self._lock:
            for streamed in (False, True):
                baseline = self._baselines.get((pipeline, stage, streamed))
                if baseline is not None:
                    baseline.raise_by(factor)

    def baseline(self, pipeline: str, stage: str) -> float:
        """Return a stage's seconds without queueing; 0 if never measured.

        The longer one of the baselines for whole and for streamed answers is returned.
        """
        with self._lock:
            kinds = ((pipeline, stage, streamed) for streamed in (False, True))
            present = [self._baselines[key] for key in kinds if key in self._baselines]
            return max((baseline.seconds or 0.0 for baseline in present), default=0.0)

    def baselines(self) -> dict[tuple[str, str, bool], float]:
        """Return every baseline in seconds.

        :returns: by pipeline, stage and whether the answers are streamed.
        """
        with self._lock:
            items = self._baselines.items()
            return {k: b.seconds for k, b in items if b.seconds is not None}

    def adopt_baseline(
        self, pipeline: str, stage: str, seconds: float, streamed: bool = False
    ) -> None:
        """Use another entry's baseline if it is lower and the own one is new.

        An entry that starts under load has not measured its servers without a queue.
        """
        with self._lock:
            self._baseline_of(pipeline, stage, streamed).adopt(seconds)

    def _baseline_of(self, pipeline: str, stage: str, streamed: bool) -> StageBaseline:
        return self._baselines.setdefault((pipeline, stage, streamed), StageBaseline())
