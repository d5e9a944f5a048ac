"""What an entry expects of a request: the time it needs, its wait, when to return.

All of it follows from measured stage times and from the requests that ended lately.
Deciding by it is left to ``policy.admission``.
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

# A caller that another entry can serve at once need not wait.
ELSEWHERE_SECONDS = 0.1
UNKNOWN_SECONDS = 1.0
MIN_COST_SECONDS = 0.001


class Expectations:
    """The expectations by pipeline; not safe without its owner's lock.

    :param rng: spreads the times to return.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._times = StageTimes()
        self._drains: dict[str, DrainRate] = {}
        self._returns: dict[str, ReturnSchedule] = {}

    @property
    def times(self) -> StageTimes:
        """The measured times of the stages."""
        return self._times

    def begin(self, pipeline: Pipeline) -> None:
        """Count a request that begins."""
        self._drains.setdefault(pipeline.name, DrainRate()).begin()

    def end(self, pipeline: Pipeline, now: float) -> None:
        """Count a request that has ended."""
        self._drains[pipeline.name].end(now)

    def needed(self, pipeline: Pipeline, now: float) -> float:
        """Return the seconds that a request needs once it has begun.

        With none under way the latest times tell of a load that has gone. Keeping to
        them would refuse every request until they are forgotten, since only requests
        that begin can bring newer ones.
        """
        needed = needed_seconds(self._times, pipeline, now)
        drain = self._drains.get(pipeline.name)
        if drain is not None and drain.running:
            return needed
        return min(needed, idle_seconds(self._times, pipeline))

    def cost(self, pipeline: Pipeline, now: float) -> float:
        """Return what a request costs in a fair queue."""
        return max(running_seconds(self._times, pipeline, now), MIN_COST_SECONDS)

    def wait(self, pipelines: Iterable[Pipeline], ahead: float, now: float) -> float:
        """Return the seconds until a request that joins a queue begins.

        :param pipelines: those that wait for the same services.
        :param ahead: how many requests of these begin before it.
        """
        rate = sum(self._drain_rate(pipeline, now) for pipeline in pipelines)
        return (ahead + 1) / rate if rate > 0 else 0.0

    def retry_after(self, pipeline: Pipeline, waiting: int, now: float) -> float:
        """Return when one more caller of a pipeline shall come back, in seconds.

        :param waiting: how many requests of the pipeline wait.
        """
        schedule = self._returns.setdefault(pipeline.name, ReturnSchedule(self._rng))
        rate = self._drain_rate(pipeline, now)
        wait = waiting / rate if rate > 0 else UNKNOWN_SECONDS
        return schedule.retry_after(now, wait, rate)

    def retry_elsewhere(self) -> float:
        """Return when to try another entry."""
        return spread(ELSEWHERE_SECONDS, self._rng)

    def retry_unknown(self) -> float:
        """Return when to come back where nothing is known of the backlog."""
        return spread(UNKNOWN_SECONDS, self._rng)

    def retry_about(self, seconds: float) -> float:
        """Return when to come back for what is free after some seconds."""
        return spread(seconds, self._rng)

    def _drain_rate(self, pipeline: Pipeline, now: float) -> float:
        drain = self._drains.get(pipeline.name)
        if drain is None:
            return 0.0
        return drain.per_second(now, running_seconds(self._times, pipeline, now))
