"""Estimates of a request's duration, wait and retry time.

The estimates are derived from measured stage durations and from the requests that ended
recently. ``policy.admission`` decides by them.
"""

import random
from collections.abc import Iterable

from boragestream.document import Pipeline
from boragestream.policy.deadlines import (
    idle_seconds,
    needed_seconds,
    running_seconds,
)
from boragestream.policy.drain_rate import DrainRate
from boragestream.policy.retry_after import ReturnSchedule, spread
from boragestream.policy.stage_times import StageTimes

__all__ = ["Expectations"]

# Another entry can serve the caller at once, so that it need not wait.
RETRY_ELSEWHERE_SECONDS = 0.1
RETRY_UNKNOWN_SECONDS = 1.0
MIN_COST_SECONDS = 0.001


class Expectations:
    """The estimates by pipeline; the owner must hold a lock.

    :param rng: randomizes the retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._times = StageTimes()
        self._drains: dict[str, DrainRate] = {}
        self._returns: dict[str, ReturnSchedule] = {}

    @property
    def times(self) -> StageTimes:
        """The measured durations of the stages."""
        return self._times

    def begin(self, pipeline: Pipeline) -> None:
        """Record that a request begins."""
        self._drains.setdefault(pipeline.name, DrainRate()).begin()

    def end(self, pipeline: Pipeline, now: float) -> None:
        """Record that a request has ended."""
        self._drains[pipeline.name].end(now)

    def needed(self, pipeline: Pipeline, now: float) -> float:
        """Return the seconds that a request needs once it has begun.

        If no request is in progress, the latest durations reflect a load that has
        ended, and the durations on idle servers apply as an upper bound. Otherwise all
        requests would be refused until the durations expire, since only requests that
        begin can produce new ones.
        """
        needed = needed_seconds(self._times, pipeline, now)
        drain = self._drains.get(pipeline.name)
        if drain is not None and drain.running:
            return needed
        return min(needed, idle_seconds(self._times, pipeline))

    def cost(self, pipeline: Pipeline, now: float) -> float:
        """Return the cost of a request in a fair queue."""
        return max(running_seconds(self._times, pipeline, now), MIN_COST_SECONDS)

    def wait(self, pipelines: Iterable[Pipeline], ahead: float, now: float) -> float:
        """Return the seconds until a new request in a queue is expected to begin.

        :param pipelines: the pipelines that compete for the same services.
        :param ahead: the number of requests of these that begin before it.
        """
        rate = sum(self._drain_rate(pipeline, now) for pipeline in pipelines)
        return (ahead + 1) / rate if rate > 0 else 0.0

    def retry_after(self, pipeline: Pipeline, waiting: int, now: float) -> float:
        """Return the seconds after which another caller of a pipeline should retry.

        :param waiting: the number of waiting requests of the pipeline.
        """
        schedule = self._returns.setdefault(pipeline.name, ReturnSchedule(self._rng))
        rate = self._drain_rate(pipeline, now)
        wait = waiting / rate if rate > 0 else RETRY_UNKNOWN_SECONDS
        return schedule.retry_after(now, wait, rate)

    def retry_elsewhere(self) -> float:
        """Return the seconds until a retry at another entry."""
        return spread(RETRY_ELSEWHERE_SECONDS, self._rng)

    def retry_unknown(self) -> float:
        """Return the seconds until a retry if the backlog is unknown."""
        return spread(RETRY_UNKNOWN_SECONDS, self._rng)

    def retry_after_seconds(self, seconds: float) -> float:
        """Return the seconds until a retry for capacity that is free after a time."""
        return spread(seconds, self._rng)

    def _drain_rate(self, pipeline: Pipeline, now: float) -> float:
        drain = self._drains.get(pipeline.name)
        if drain is None:
            return 0.0
        return drain.per_second(now, running_seconds(self._times, pipeline, now))
