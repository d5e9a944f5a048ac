"""How long each stage of each pipeline takes, as this entry has measured it.

A stage's sample holds its latest times and forgets old ones, so that quantiles follow
what the backend servers do now. The baseline is the time without queueing: the lowest
mean of a group of times in a row. Streamed answers have a baseline of their own, since
a stream lasts until its last token: measured against whole answers that come at once,
streams of 80 ms looked like a queue 50 times as long, the window closed and a stream
waited 53 ms at p50 and 782 ms at p95 on an idle server, against 1.8 and 2.3 without
(``bench.overhead``). What the times mean for a request is left to
``policy.deadlines``, what they mean for the servers to ``policy.service_window``.
"""

import threading
from collections import deque

__all__ = ["StageBaseline", "StageSample", "StageTimes"]

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


class StageBaseline:
    """The time of one stage without queueing; not safe without its owner's lock."""

    def __init__(self) -> None:
        self._group: list[float] = []
        self._baseline: float | None = None
        self._groups = 0

    @property
    def seconds(self) -> float | None:
        """Seconds without queueing; None before the first time."""
        return self._baseline

    def add(self, seconds: float) -> None:
        """Take one measured time."""
        if self._baseline is None:
            self._baseline = seconds
        self._group.append(seconds)
        if len(self._group) == BASELINE_GROUP:
            mean = sum(self._group) / BASELINE_GROUP
            self._baseline = min(self._baseline, mean)
            self._groups += 1
            self._group.clear()

    def raise_by(self, factor: float) -> None:
        """Correct a baseline that turned out to be too low."""
        if self._baseline is not None:
            self._baseline *= factor

    def take(self, seconds: float) -> None:
        """Take a baseline that another entry measured, while the own is new."""
        if self._groups < OWN_GROUPS:
            known = seconds if self._baseline is None else self._baseline
            self._baseline = min(known, seconds)


class StageSample:
    """The latest times of one stage; not safe without its owner's lock."""

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque(maxlen=SAMPLE_SIZE)
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Take one measured time."""
        self._times.append((now, seconds))

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
        """Take one measured time."""
        with self._lock:
            sample = self._samples.setdefault((pipeline, stage), StageSample())
            sample.add(seconds, now)
            self._baseline_of(pipeline, stage, streamed).add(seconds)

    def multiple(
        self, pipeline: str, stage: str, seconds: float, streamed: bool = False
    ) -> float:
        """Return a time as a multiple of the stage's baseline."""
        with self._lock:
            known = self._baselines.get((pipeline, stage, streamed))
            baseline = known.seconds if known else None
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
        """Correct the baselines of a stage that turned out to be too low."""
        with self._lock:
            for streamed in (False, True):
                known = self._baselines.get((pipeline, stage, streamed))
                if known is not None:
                    known.raise_by(factor)

    def baseline(self, pipeline: str, stage: str) -> float:
        """Return a stage's seconds without queueing; 0 where nothing is known.

        Of whole and streamed answers the longer counts.
        """
        with self._lock:
            kinds = ((pipeline, stage, streamed) for streamed in (False, True))
            known = [self._baselines[key] for key in kinds if key in self._baselines]
            return max((baseline.seconds or 0.0 for baseline in known), default=0.0)

    def baselines(self) -> dict[tuple[str, str, bool], float]:
        """Return every baseline in seconds.

        :returns: by pipeline, stage and whether the answers are streamed.
        """
        with self._lock:
            known = self._baselines.items()
            return {k: b.seconds for k, b in known if b.seconds is not None}

    def take_baseline(
        self, pipeline: str, stage: str, seconds: float, streamed: bool = False
    ) -> None:
        """Take a baseline of another entry, where it is lower and the own is new.

        An entry that starts under load has never seen its servers without a queue.
        """
        with self._lock:
            self._baseline_of(pipeline, stage, streamed).take(seconds)

    def _baseline_of(self, pipeline: str, stage: str, streamed: bool) -> StageBaseline:
        return self._baselines.setdefault((pipeline, stage, streamed), StageBaseline())
