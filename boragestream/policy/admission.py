"""Admission control: decides whether and when an arriving request may begin.

A request that is refused here has certainly not run, since no byte of it has been sent
to a backend server. A request begins when the window of every service of its pipeline
has room. Until then it waits in a fair queue, whose length is bounded by the expected
wait. ``serving`` runs the stages and chooses the servers.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.failures import (
    CallerGone,
    CannotMeetDeadline,
    EntryLeaving,
    QueueFull,
)
from boragestream.base.outcomes import Refused
from boragestream.document import Pipeline
from boragestream.policy.account_gate import AccountGate, OpenGate
from boragestream.policy.admitted import Admitted, Candidate, StageEnd
from boragestream.policy.deadlines import stage_deadline
from boragestream.policy.expectations import Expectations
from boragestream.policy.fair_queue import FairQueue, account_weight
from boragestream.policy.service_windows import ServiceWindows
from boragestream.policy.stage_times import StageTimes

__all__ = ["Admission"]

# The share of a request's slack that a longer queue may use. The rest is a margin for
# errors of the estimate, each of which would otherwise make an answer late.
WAIT_SHARE = 0.5
BURST_QUEUE_LENGTH = 3
MAX_WAIT_SECONDS = 2.0
# Of the requests in progress that are allowed, the shares above which the entry is
# busy, and above which others go short.
BUSY_SHARE, SHORT_SHARE = 0.5, 0.9


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue.

    :ivar verdict: the admission or the refusal; None while the request waits.
    """

    candidate: Candidate
    decided: threading.Event = field(default_factory=threading.Event)
    verdict: Admitted | Refused | None = None


class Admission:
    """The admission control of an entry.

    :param limit: the maximum number of requests in progress, waiting ones included;
        each occupies a thread.
    :param gate: enforces the limits of the client accounts.
    :param share: returns this entry's share of a service's slots; 0 if unknown.
    :param limited_wait: returns the seconds in which no server of a service can be
        called, because all of them have a limit on their requests.
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        rng: random.Random,
        gate: AccountGate | None = None,
        share: Callable[[str], float] = lambda service: 0.0,
        limited_wait: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._gate = gate or OpenGate()
        self._limited_wait = limited_wait
        self._expected = Expectations(rng)
        self._windows = ServiceWindows(self._expected.times, share)
        self._queue: FairQueue[QueuedRequest] = FairQueue()
        self._pipelines: dict[str, Pipeline] = {}
        self._in_hand = 0
        self._closed = False
        self._windows_enforced = True
        self._lock = threading.Lock()

    @property
    def times(self) -> StageTimes:
        """The measured durations of the stages."""
        return self._expected.times

    @property
    def in_hand(self) -> int:
        """The number of requests in progress, waiting ones included."""
        return self._in_hand

    @property
    def busy(self) -> bool:
        """Whether many requests are in progress."""
        return self._in_hand > self._limit * BUSY_SHARE

    @property
    def excess(self) -> int:
        """By how many requests others go short of room; 0 if they don't."""
        return max(0, self._in_hand - int(self._limit * SHORT_SHARE))

    @property
    def queued(self) -> int:
        """The number of requests that wait."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """The used share of this entry's capacity, 0 to 1."""
        with self._lock:
            if len(self._queue):
                return 1.0
            used = [use / limit for limit, use in self._windows.used().values()]
            return min(1.0, max([*used, self._in_hand / self._limit]))

    def windows(self) -> dict[str, tuple[int, int]]:
        """Return limit and usage of each service's window, for status pages."""
        with self._lock:
            return self._windows.used()

    def enter(self, candidate: Candidate) -> Admitted | Refused:
        """Admit a request, at once or after a wait, or return a refusal.

        Each admitted request must be passed to ``leave`` when it has ended.
        """
        now = self._clock.now()
        with self._lock:
            refused = self._refusal(candidate, now)
            if refused is not None:
                return refused
            waiting = QueuedRequest(candidate)
            self._in_hand += 1
            self._enqueue(waiting, now)
            self._admit_queued(now)
            verdict = waiting.verdict
        if verdict is not None:
            return verdict
        latest = candidate.deadline - self._expected.needed(candidate.pipeline, now)
        waiting.decided.wait(max(0.0, latest - now))
        with self._lock:
            if waiting.verdict is None:
                self._dequeue(waiting)
                self._reject(
                    waiting, self._deadline_refusal(candidate, self._clock.now())
                )
            return waiting.verdict

    def leave(self, admitted: Admitted) -> None:
        """Record that an admitted request has ended."""
        with self._lock:
            now = self._clock.now()
            self._windows.release_all(admitted)
            self._expected.end(admitted.candidate.pipeline, now)
            self._count_end(admitted.candidate)
            self._admit_queued(now)

    def recheck_queue(self) -> None:
        """Admit waiting requests after the known slots of the servers have changed."""
        with self._lock:
            self._admit_queued(self._clock.now())

    def retry_after(self, pipeline: Pipeline) -> float:
        """Return the seconds after which a caller of a pipeline should retry."""
        with self._lock:
            return self._retry_after(pipeline, self._clock.now())

    def retry_unknown(self) -> float:
        """Return the seconds until a retry if the backlog is unknown."""
        return self._expected.retry_unknown()

    def close(self) -> None:
        """Stop admitting requests."""
        with self._lock:
            self._closed = True

    def _refusal(self, candidate: Candidate, now: float) -> Refused | None:
        """Return the refusal of an arriving request; None if it may be queued."""
        if self._closed:
            return Refused(EntryLeaving(), self._expected.retry_elsewhere())
        pipeline = candidate.pipeline
        self._pipelines[pipeline.name] = pipeline
        self._windows_enforced = candidate.uses("admission")
        if self._windows_enforced:
            wait = self._expected_wait(candidate, now)
            left = self._slack(candidate, now)
            too_long = left < 0 or wait > self._max_wait(candidate, left)
            if too_long or self._permits_too_late(candidate, now):
                return self._deadline_refusal(candidate, now, wait)
        if self._in_hand >= self._limit and not self._evict_for(candidate, now):
            failure = QueueFull(self._in_hand)
            return Refused(failure, self._retry_after(pipeline, now))
        exceeded = candidate.uses("account-limits") and self._gate.enter(
            candidate.account
        )
        if not exceeded:
            return None
        return Refused(exceeded[0], self._expected.retry_after_seconds(exceeded[1]))

    def _deadline_refusal(
        self, candidate: Candidate, now: float, wait: float = 0.0
    ) -> Refused:
        left = candidate.deadline - now
        needed = wait + self._expected.needed(candidate.pipeline, now)
        needed = max(needed, self._permit_wait(candidate.pipeline))
        failure = CannotMeetDeadline(int(left * 1000), int(needed * 1000))
        return Refused(failure, self._retry_after(candidate.pipeline, now))

    def _evict_for(self, candidate: Candidate, now: float) -> bool:
        """Refuse a request of the account with the most requests for its weight.

        :returns: whether a request was refused to make room for the candidate.
        """
        own, weight = self._account_and_weight(candidate)
        name, load = self._queue.heaviest()
        queued = self._queue.queued(own, self._pipelines)
        if not name or name == own or load <= (queued + 1) / weight:
            return False
        latest = self._queue.pop_latest(name)
        failure = QueueFull(self._in_hand)
        retry_after = self._retry_after(latest.candidate.pipeline, now)
        self._reject(latest, Refused(failure, retry_after))
        return True

    def _enqueue(self, waiting: QueuedRequest, now: float) -> None:
        candidate = waiting.candidate
        account, weight = self._account_and_weight(candidate)
        fair = candidate.uses("fair-queue")
        order = candidate.deadline if fair else now
        self._queue.push(account, weight, candidate.pipeline.name, order, waiting)

    def _dequeue(self, waiting: QueuedRequest) -> None:
        account, _ = self._account_and_weight(waiting.candidate)
        self._queue.remove(account, waiting.candidate.pipeline.name, waiting)

    def _reject(self, waiting: QueuedRequest, verdict: Refused) -> None:
        self._count_end(waiting.candidate)
        waiting.verdict = verdict
        waiting.decided.set()

    def _count_end(self, candidate: Candidate) -> None:
        self._in_hand -= 1
        if candidate.uses("account-limits"):
            self._gate.leave(candidate.account)

    def _admit_queued(self, now: float) -> None:
        """Admit waiting requests; refuse those that can't meet their deadlines."""
        while True:
            waiting = self._queue.pop(self._can_begin, self._cost)
            if waiting is None:
                return
            candidate = waiting.candidate
            if candidate.caller_gone is not None and candidate.caller_gone():
                self._reject(waiting, Refused(CallerGone()))
            elif candidate.uses("admission") and self._is_too_late(candidate, now):
                self._reject(waiting, self._deadline_refusal(candidate, now))
            else:
                waiting.verdict = self._admit(candidate, now)
                waiting.decided.set()

    def _admit(self, candidate: Candidate, now: float) -> Admitted:
        admitted = Admitted(
            candidate, now, self._clock.now, self._stage_ended, self._stage_deadline
        )
        self._windows.take(admitted, now)
        self._expected.begin(candidate.pipeline)
        return admitted

    def _is_too_late(self, candidate: Candidate, now: float) -> bool:
        return self._slack(candidate, now) < 0 or self._permits_too_late(candidate, now)

    def _can_begin(self, name: str) -> bool:
        pipeline = self._pipelines[name]
        now = self._clock.now()
        return not self._windows_enforced or self._windows.open_for(pipeline, now)

    def _cost(self, name: str) -> float:
        return self._expected.cost(self._pipelines[name], self._clock.now())

    def _account_and_weight(self, candidate: Candidate) -> tuple[str, float]:
        if not candidate.uses("fair-queue"):
            return "", 1.0
        account = candidate.account
        priority = account.priority + candidate.pipeline.priority
        return account.name, account_weight(account.weight, priority)

    def _slack(self, candidate: Candidate, now: float) -> float:
        """Return the seconds that a request can wait and still meet its deadline."""
        needed = self._expected.needed(candidate.pipeline, now)
        return candidate.deadline - now - needed

    def _permits_too_late(self, candidate: Candidate, now: float) -> bool:
        """Return whether a stage can't call its servers before the deadline.

        The measured durations lag behind the wait for permits. Requests that began in
        the meantime would run their earlier stages in vain.
        """
        return candidate.deadline - now < self._permit_wait(candidate.pipeline)

    def _permit_wait(self, pipeline: Pipeline) -> float:
        return max(self._limited_wait(stage.service) for stage in pipeline.stages)

    def _max_wait(self, candidate: Candidate, left: float) -> float:
        """Return the longest expected wait with which a request is queued.

        Few queued requests of an account are taken for a burst, and may wait for all
        of their slack. A longer queue reserves a margin for errors of the estimate.
        """
        account, _ = self._account_and_weight(candidate)
        if self._queue.queued(account, self._pipelines) < BURST_QUEUE_LENGTH:
            return left
        return min(MAX_WAIT_SECONDS, left * WAIT_SHARE)

    def _expected_wait(self, candidate: Candidate, now: float) -> float:
        pipeline = candidate.pipeline
        account, weight = self._account_and_weight(candidate)
        related = self._competing_pipelines(pipeline)
        names = {other.name for other in related}
        queued = self._queue.queued(account, names)
        if queued == 0 and self._can_begin(pipeline.name):
            return 0.0
        competing_weights = self._queue.competing_weights(account, names)
        # The first request of an account is served at the account's next turn, however
        # small its share. Further ones wait until its share has drained those ahead.
        ahead = queued * (1 + sum(competing_weights) / weight) + len(competing_weights)
        return self._expected.wait(related, ahead, now)

    def _competing_pipelines(self, pipeline: Pipeline) -> list[Pipeline]:
        """Return the pipelines that share a service with this one, itself included."""
        services = {stage.service for stage in pipeline.stages}
        return [
            other
            for other in self._pipelines.values()
            if any(stage.service in services for stage in other.stages)
        ]

    def _retry_after(self, pipeline: Pipeline, now: float) -> float:
        waiting = self._queue.length(pipeline.name)
        return self._expected.retry_after(pipeline, waiting, now)

    def _stage_deadline(self, candidate: Candidate, stage: str) -> float:
        if not candidate.uses("deadline-budgets"):
            return candidate.deadline
        return stage_deadline(
            self._expected.times,
            candidate.pipeline,
            stage,
            candidate.deadline,
            self._clock.now(),
        )

    def _stage_ended(self, admitted: Admitted, end: StageEnd) -> None:
        pipeline = admitted.candidate.pipeline
        with self._lock:
            now = self._clock.now()
            # A stage that was cut off by its deadline shows that the servers are slow.
            # Its duration isn't added to those of complete stages, since that would
            # refuse requests that another server can answer.
            if end.whole:
                seconds = now - end.began
                times = self._expected.times
                times.add(pipeline.name, end.stage, seconds, now, end.streamed)
            self._windows.end_stage(admitted, end, now)
            self._admit_queued(now)
