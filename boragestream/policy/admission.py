"""Decides at the door whether a request may begin, and when.

A refusal here is true by construction: nothing of the request has left for any
backend server yet. A request begins when the window of every service of its pipeline
has room; until then it waits in a fair queue that is bounded by the time it holds.
Who runs the stages, and where, is left to ``serving``.
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

# A queue that used up all the time there is would leave none for an error of the
# estimate, and every error is a late answer.
WAIT_SHARE = 0.5
SHORT_QUEUE = 3
MAX_WAIT_SECONDS = 2.0


@dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue.

    :ivar verdict: what became of it; None while it waits.
    """

    candidate: Candidate
    decided: threading.Event = field(default_factory=threading.Event)
    verdict: Admitted | Refused | None = None


class Admission:
    """The door of an entry.

    :param limit: the most requests in hand at once, waiting ones included; each
        holds a thread.
    :param gate: holds the client accounts' own limits.
    :param share: returns this entry's share of a service's slots; 0 for not known.
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        rng: random.Random,
        gate: AccountGate | None = None,
        share: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._gate = gate or OpenGate()
        self._expected = Expectations(rng)
        self._windows = ServiceWindows(self._expected.times, share)
        self._queue: FairQueue[Waiting] = FairQueue()
        self._pipelines: dict[str, Pipeline] = {}
        self._in_hand = 0
        self._closed = False
        self._windows_hold = True
        self._lock = threading.Lock()

    @property
    def times(self) -> StageTimes:
        """The measured times of the stages."""
        return self._expected.times

    @property
    def in_hand(self) -> int:
        """How many requests have come in and not ended, waiting ones included."""
        return self._in_hand

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """How much of what this entry can take is in use, 0 to 1."""
        with self._lock:
            if len(self._queue):
                return 1.0
            used = [use / limit for limit, use in self._windows.used().values()]
            return min(1.0, max([*used, self._in_hand / self._limit]))

    def windows(self) -> dict[str, tuple[int, int]]:
        """Return the limit and the use of every service's window, for status pages."""
        with self._lock:
            return self._windows.used()

    def enter(self, candidate: Candidate) -> Admitted | Refused:
        """Admit a request, at once or after a wait, or say why not.

        ``leave`` must follow an admission.
        """
        now = self._clock.now()
        with self._lock:
            refused = self._refuse(candidate, now)
            if refused is not None:
                return refused
            waiting = Waiting(candidate)
            self._in_hand += 1
            self._push(waiting, now)
            self._begin_next(now)
            verdict = waiting.verdict
        if verdict is not None:
            return verdict
        latest = candidate.deadline - self._expected.needed(candidate.pipeline, now)
        waiting.decided.wait(max(0.0, latest - now))
        with self._lock:
            if waiting.verdict is None:
                self._remove(waiting)
                self._drop(waiting, self._cannot(candidate, self._clock.now()))
            return waiting.verdict

    def leave(self, admitted: Admitted) -> None:
        """Count an admitted request that has ended."""
        with self._lock:
            now = self._clock.now()
            self._windows.give_up(admitted)
            self._expected.end(admitted.candidate.pipeline, now)
            self._out(admitted.candidate)
            self._begin_next(now)

    def look_again(self) -> None:
        """Begin what may begin now that more is known of the servers' slots."""
        with self._lock:
            self._begin_next(self._clock.now())

    def retry_after(self, pipeline: Pipeline) -> float:
        """Return when a caller of a pipeline shall come back, in seconds."""
        with self._lock:
            return self._retry_after(pipeline, self._clock.now())

    def retry_unknown(self) -> float:
        """Return when to come back where nothing is known of the backlog."""
        return self._expected.retry_unknown()

    def close(self) -> None:
        """Admit nothing more."""
        with self._lock:
            self._closed = True

    def _refuse(self, candidate: Candidate, now: float) -> Refused | None:
        """Say why a request is refused at the door; None where it may come in."""
        if self._closed:
            return Refused(EntryLeaving(), self._expected.retry_elsewhere())
        pipeline = candidate.pipeline
        self._pipelines[pipeline.name] = pipeline
        self._windows_hold = candidate.uses("admission")
        if self._windows_hold:
            wait = self._expected_wait(candidate, now)
            left = self._left(candidate, now)
            if left < 0 or wait > self._longest_wait(candidate, left):
                return self._cannot(candidate, now, wait)
        if self._in_hand >= self._limit and not self._push_out(candidate, now):
            failure = QueueFull(self._in_hand)
            return Refused(failure, self._retry_after(pipeline, now))
        over = candidate.uses("account-limits") and self._gate.enter(candidate.account)
        if not over:
            return None
        return Refused(over[0], self._expected.retry_about(over[1]))

    def _cannot(self, candidate: Candidate, now: float, wait: float = 0.0) -> Refused:
        left = candidate.deadline - now
        needed = wait + self._expected.needed(candidate.pipeline, now)
        failure = CannotMeetDeadline(int(left * 1000), int(needed * 1000))
        return Refused(failure, self._retry_after(candidate.pipeline, now))

    def _push_out(self, candidate: Candidate, now: float) -> bool:
        """Make room by dropping from the account that holds most for its weight."""
        mine, weight = self._account(candidate)
        name, load = self._queue.heaviest()
        queued = self._queue.queued(mine, self._pipelines)
        if not name or name == mine or load <= (queued + 1) / weight:
            return False
        latest = self._queue.take_latest(name)
        failure = QueueFull(self._in_hand)
        retry_after = self._retry_after(latest.candidate.pipeline, now)
        self._drop(latest, Refused(failure, retry_after))
        return True

    def _push(self, waiting: Waiting, now: float) -> None:
        candidate = waiting.candidate
        account, weight = self._account(candidate)
        fair = candidate.uses("fair-queue")
        order = candidate.deadline if fair else now
        self._queue.push(account, weight, candidate.pipeline.name, order, waiting)

    def _remove(self, waiting: Waiting) -> None:
        account, _ = self._account(waiting.candidate)
        self._queue.remove(account, waiting.candidate.pipeline.name, waiting)

    def _drop(self, waiting: Waiting, verdict: Refused) -> None:
        self._out(waiting.candidate)
        waiting.verdict = verdict
        waiting.decided.set()

    def _out(self, candidate: Candidate) -> None:
        self._in_hand -= 1
        if candidate.uses("account-limits"):
            self._gate.leave(candidate.account)

    def _begin_next(self, now: float) -> None:
        """Begin what may begin, and drop what can't be answered in time any more."""
        while True:
            waiting = self._queue.pop(self._can_begin, self._cost)
            if waiting is None:
                return
            candidate = waiting.candidate
            if candidate.gone is not None and candidate.gone():
                self._drop(waiting, Refused(CallerGone()))
            elif candidate.uses("admission") and self._too_late(candidate, now):
                self._drop(waiting, self._cannot(candidate, now))
            else:
                waiting.verdict = self._begin(candidate, now)
                waiting.decided.set()

    def _begin(self, candidate: Candidate, now: float) -> Admitted:
        admitted = Admitted(
            candidate, now, self._clock.now, self._stage_ended, self._stage_deadline
        )
        self._windows.take(admitted, now)
        self._expected.begin(candidate.pipeline)
        return admitted

    def _too_late(self, candidate: Candidate, now: float) -> bool:
        return self._left(candidate, now) < 0

    def _can_begin(self, name: str) -> bool:
        pipeline = self._pipelines[name]
        now = self._clock.now()
        return not self._windows_hold or self._windows.open_for(pipeline, now)

    def _cost(self, name: str) -> float:
        return self._expected.cost(self._pipelines[name], self._clock.now())

    def _account(self, candidate: Candidate) -> tuple[str, float]:
        if not candidate.uses("fair-queue"):
            return "", 1.0
        account = candidate.account
        priority = account.priority + candidate.pipeline.priority
        return account.name, account_weight(account.weight, priority)

    def _left(self, candidate: Candidate, now: float) -> float:
        """Return the seconds that a request can wait and still be answered in time."""
        needed = self._expected.needed(candidate.pipeline, now)
        return candidate.deadline - now - needed

    def _longest_wait(self, candidate: Candidate, left: float) -> float:
        """Return the longest wait that is taken on.

        An account with a few requests in the queue is taken to have come in a burst
        and may use all the time there is; a longer queue keeps some back for errors of
        the estimate.
        """
        account, _ = self._account(candidate)
        if self._queue.queued(account, self._pipelines) < SHORT_QUEUE:
            return left
        return min(MAX_WAIT_SECONDS, left * WAIT_SHARE)

    def _expected_wait(self, candidate: Candidate, now: float) -> float:
        pipeline = candidate.pipeline
        account, weight = self._account(candidate)
        related = self._related(pipeline)
        names = {other.name for other in related}
        queued = self._queue.queued(account, names)
        if queued == 0 and self._can_begin(pipeline.name):
            return 0.0
        rivals = self._queue.rivals(account, names)
        # An account with nothing in the queue is next in its turn, however small its
        # share; one with a queue waits until its share has drained it.
        ahead = queued * (1 + sum(rivals) / weight) + len(rivals)
        return self._expected.wait(related, ahead, now)

    def _related(self, pipeline: Pipeline) -> list[Pipeline]:
        """Return the pipelines that share a service with one, itself included."""
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
            # A time that a deadline cut short says that the servers are slow, but
            # counted among the whole ones it would shut the door on requests that
            # another server can answer.
            if end.whole:
                seconds = now - end.began
                times = self._expected.times
                times.add(pipeline.name, end.stage, seconds, now, end.streamed)
            self._windows.end_stage(admitted, end, now)
            self._begin_next(now)
