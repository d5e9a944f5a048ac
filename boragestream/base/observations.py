"""What an entry has observed of its requests and stages: counts, latencies, costs.

One object takes what the serving code reports, feeds the histograms and the metrics,
and gives the status page its figures. Nothing is decided by it.
"""

import threading
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.histograms import Histograms, LatencySummary
from boragestream.base.metrics import Metrics, NoMetrics

__all__ = ["AccountReport", "Observations", "StageReport"]

MAX_COUNTED = 4096


@dataclass(frozen=True, slots=True)
class AccountReport:
    """What an entry has seen of one client account since it started.

    :ivar outcomes: how many requests ended in each outcome.
    :ivar latency: of the requests of the last one to two minutes, None without any.
    """

    outcomes: dict[str, int]
    latency: LatencySummary | None


@dataclass(frozen=True, slots=True)
class StageReport:
    """What an entry has seen of one stage since it started.

    :ivar attempts: calls of backend servers, retries and hedges included.
    :ivar whole: how many of them were answered whole.
    :ivar server_seconds: their durations together, the cost of the stage.
    :ivar latency: of the attempts answered whole in the last one to two minutes.
    """

    attempts: int
    whole: int
    server_seconds: float
    latency: LatencySummary | None


@dataclass(slots=True)
class _StageCount:
    attempts: int = 0
    whole: int = 0
    server_seconds: float = 0.0


class Observations:
    """The observations of one entry, safe for many threads.

    :param clock: says when the windows of the histograms end.
    :param metrics: where counts and timings go besides.
    """

    def __init__(self, clock: Clock, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or NoMetrics()
        self._account_latency = Histograms(clock)
        self._stage_latency = Histograms(clock)
        self._outcomes: dict[str, dict[str, int]] = {}
        self._stages: dict[str, _StageCount] = {}
        self._lock = threading.Lock()

    def request_ended(
        self, account: str, pipeline: str, outcome: str, seconds: float
    ) -> None:
        """Take a request that has ended.

        :param outcome: ``answered``, ``refused``, ``failed`` or ``unknown``.
        :param seconds: since it arrived.
        """
        with self._lock:
            counts = _slot(self._outcomes, account, dict)
            counts[outcome] = counts.get(outcome, 0) + 1
        self._account_latency.record(account, seconds)
        self._metrics.count(f"requests.{account}.{pipeline}.{outcome}")
        self._metrics.timing(f"request_time.{account}.{outcome}", seconds)

    def attempt_ended(
        self, pipeline: str, stage: str, whole: bool, seconds: float
    ) -> None:
        """Take an attempt of a stage that has ended.

        :param whole: whether it brought a whole answer.
        :param seconds: since it began.
        """
        name = f"{pipeline}.{stage}"
        with self._lock:
            count = _slot(self._stages, name, _StageCount)
            count.attempts += 1
            count.whole += whole
            count.server_seconds += seconds
        result = "whole" if whole else "broken"
        self._metrics.count(f"attempts.{name}.{result}")
        if whole:
            self._stage_latency.record(name, seconds)
            self._metrics.timing(f"attempt_time.{name}", seconds)

    def answer_oversized(self) -> None:
        """Take an answer that went beyond a bound."""
        self._metrics.count("oversized_answers")

    def accounts(self) -> dict[str, AccountReport]:
        """Return a report of each client account that made a request."""
        latency = self._account_latency.snapshot()
        with self._lock:
            return {
                name: AccountReport(dict(counts), latency.get(name))
                for name, counts in self._outcomes.items()
            }

    def stages(self) -> dict[str, StageReport]:
        """Return a report of each stage, by ``PIPELINE.STAGE``."""
        latency = self._stage_latency.snapshot()
        with self._lock:
            return {
                name: StageReport(
                    count.attempts,
                    count.whole,
                    round(count.server_seconds, 3),
                    latency.get(name),
                )
                for name, count in self._stages.items()
            }


def _slot(table: dict, name: str, new: type) -> object:
    """Return the value under a name; the oldest makes room where there are too many."""
    if name not in table:
        if len(table) >= MAX_COUNTED:
            del table[next(iter(table))]
        table[name] = new()
    return table[name]
