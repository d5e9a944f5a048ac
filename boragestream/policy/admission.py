"""Decides at the door whether a request may begin, and when.

A refusal here is true by construction: nothing of the request has left for any
backend server yet. A request begins when the window of every service of its pipeline
has room; until then it waits in a fair queue that is bounded by the time it holds.
Who runs the stages, and where, is left to ``serving``.
"""

import random
import threading
from dataclasses import dataclass, field
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.failures import (
    AccountLimitReached,
    CallerGone,
    CannotMeetDeadline,
    EntryLeaving,
    QueueFull,
)
from boragestream.base.outcomes import Refused
from boragestream.document import ClientAccount, Pipeline
from boragestream.policy.admitted import Admitted, Candidate, StageEnd
from boragestream.policy.deadlines import (
    needed_seconds,
    running_seconds,
    stage_deadline,
)
from boragestream.policy.drain_rate import DrainRate
from boragestream.policy.fair_queue import FairQueue, account_weight
from boragestream.policy.retry_after import ReturnSchedule, spread
from boragestream.policy.service_window import ServiceWindow
from boragestream.policy.stage_times import StageTimes

__all__ = ["AccountGate", "Admission", "OpenGate"]

# A caller that another entry can serve at once need not wait.
ELSEWHERE_SECONDS = 0.1
UNKNOWN_SECONDS = 1.0
# A queue that used up all the time there is would leave none for an error of the
# estimate, and every error is a late answer.
WAIT_SHARE = 0.5
MAX_WAIT_SECONDS = 2.0
MIN_COST_SECONDS = 0.001


class AccountGate(Protocol):
    """Holds the client accounts' own limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Count a request in, or say why not and after how many seconds to return."""

    def leave(self, account: ClientAccount) -> None:
        """Count a request out."""


class OpenGate:
    """Holds no limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Let every request in."""
        return None

    def leave(self, account: ClientAccount) -> None:
        """Count nothing."""


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
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        rng: random.Random,
        gate: AccountGate | None = None,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._rng = rng
        self._gate = gate or OpenGate()
        self._times = StageTimes()
        self._queue: FairQueue[Waiting] = FairQueue()
        self._windows: dict[str, ServiceWindow] = {}
        self._pipelines: dict[str, Pipeline] = {}
        self._drains: dict[str, DrainRate] = {}
        self._returns: dict[str, ReturnSchedule] = {}
        self._in_hand = 0
        self._closed = False
        self._windows_hold = True
        self._lock = threading.Lock()

    @property
    def in_hand(self) -> int:
        """How many requests have come in and not ended, waiting ones included."""
        return self._in_hand

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def times(self) -> StageTimes:
        """The measured times of the stages."""
        return self._times

    @property
    def load(self) -> float:
        """How much of what this entry can take is in use, 0 to 1."""
        with self._lock:
            if len(self._queue):
                return 1.0
            used = [w.in_use / w.limit for w in self._windows.values()]
            return min(1.0, max([*used, self._in_hand / self._limit]))

    def windows(self) -> dict[str, tuple[int, int]]:
        """Return the limit and the use of every service's window, for status pages."""
        with self._lock:
            return {name: (w.limit, w.in_use) for name, w in self._windows.items()}

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
        latest = candidate.deadline - self._needed(candidate, now)
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
            for service in admitted.give_up():
                self._windows[service].release()
            self._drains[admitted.candidate.pipeline.name].end(now)
            self._out(admitted.candidate)
            self._begin_next(now)

    def retry_after(self, pipeline: Pipeline) -> float:
        """Return when a caller of a pipeline shall come back, in seconds."""
        with self._lock:
            return self._retry_after(pipeline, self._clock.now())

    def retry_unknown(self) -> float:
        """Return when to come back where nothing is known of the backlog."""
        return spread(UNKNOWN_SECONDS, self._rng)

    def close(self) -> None:
        """Admit nothing more."""
        with self._lock:
            self._closed = True

    def _refuse(self, candidate: Candidate, now: float) -> Refused | None:
        """Say why a request is refused at the door; None where it may come in."""
        if self._closed:
            return Refused(EntryLeaving(), spread(ELSEWHERE_SECONDS, self._rng))
        pipeline = candidate.pipeline
        self._pipelines[pipeline.name] = pipeline
        self._windows_hold = candidate.uses("admission")
        if self._windows_hold:
            wait = self._expected_wait(candidate, now)
            left = candidate.deadline - now - self._needed(candidate, now)
            if left < 0 or wait > self._longest_wait(candidate, left):
                return self._cannot(candidate, now, wait)
        if self._in_hand >= self._limit and not self._push_out(candidate, now):
            failure = QueueFull(self._in_hand)
            return Refused(failure, self._retry_after(pipeline, now))
        over = candidate.uses("account-limits") and self._gate.enter(candidate.account)
        return Refused(over[0], spread(over[1], self._rng)) if over else None

    def _cannot(self, candidate: Candidate, now: float, wait: float = 0.0) -> Refused:
        left = candidate.deadline - now
        needed = wait + self._needed(candidate, now)
        failure = CannotMeetDeadline(int(left * 1000), int(needed * 1000))
        return Refused(failure, self._retry_after(candidate.pipeline, now))

    def _push_out(self, candidate: Candidate, now: float) -> bool:
        """Make room by dropping from the account that holds most for its weight."""
        mine, weight = self._account(candidate)
        name, load = self._queue.heaviest()
        queued = self._queue.queued(mine, candidate.pipeline.name)
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
        for service in admitted.services:
            self._window(service).take()
        self._drains.setdefault(candidate.pipeline.name, DrainRate()).begin()
        return admitted

    def _too_late(self, candidate: Candidate, now: float) -> bool:
        return candidate.deadline - now < self._needed(candidate, now)

    def _can_begin(self, name: str) -> bool:
        if not self._windows_hold:
            return True
        stages = self._pipelines[name].stages
        return all(self._window(stage.service).open for stage in stages)

    def _cost(self, name: str) -> float:
        seconds = running_seconds(self._times, self._pipelines[name], self._clock.now())
        return max(seconds, MIN_COST_SECONDS)

    def _window(self, service: str) -> ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = ServiceWindow(self._clock.now())
            self._windows[service] = window
        return window

    def _account(self, candidate: Candidate) -> tuple[str, float]:
        if not candidate.uses("fair-queue"):
            return "", 1.0
        account = candidate.account
        priority = account.priority + candidate.pipeline.priority
        return account.name, account_weight(account.weight, priority)

    def _needed(self, candidate: Candidate, now: float) -> float:
        return needed_seconds(self._times, candidate.pipeline, now)

    def _longest_wait(self, candidate: Candidate, left: float) -> float:
        """Return the longest wait that is taken on.

        An account with nothing in the queue is within its share and may use all the
        time there is; a longer queue keeps some back for errors of the estimate.
        """
        account, _ = self._account(candidate)
        if self._queue.queued(account, candidate.pipeline.name) == 0:
            return left
        return min(MAX_WAIT_SECONDS, left * WAIT_SHARE)

    def _drain_rate(self, pipeline: Pipeline, now: float) -> float:
        drain = self._drains.get(pipeline.name)
        if drain is None:
            return 0.0
        return drain.per_second(now, running_seconds(self._times, pipeline, now))

    def _expected_wait(self, candidate: Candidate, now: float) -> float:
        pipeline = candidate.pipeline
        account, weight = self._account(candidate)
        queued = self._queue.queued(account, pipeline.name)
        if queued == 0 and self._can_begin(pipeline.name):
            return 0.0
        rate = self._drain_rate(pipeline, now)
        share = self._queue.share(account, weight, pipeline.name)
        return (queued + 1) / (rate * share) if rate > 0 else 0.0

    def _retry_after(self, pipeline: Pipeline, now: float) -> float:
        schedule = self._returns.setdefault(pipeline.name, ReturnSchedule(self._rng))
        rate = self._drain_rate(pipeline, now)
        waiting = self._queue.length(pipeline.name)
        wait = waiting / rate if rate > 0 else UNKNOWN_SECONDS
        return schedule.retry_after(now, wait, rate)

    def _stage_deadline(self, candidate: Candidate, stage: str) -> float:
        if not candidate.uses("deadline-budgets"):
            return candidate.deadline
        return stage_deadline(
            self._times,
            candidate.pipeline,
            stage,
            candidate.deadline,
            self._clock.now(),
        )

    def _stage_ended(self, admitted: Admitted, end: StageEnd) -> None:
        pipeline = admitted.candidate.pipeline
        with self._lock:
            now = self._clock.now()
            window = self._windows[end.service]
            if end.timed:
                seconds = now - end.began
                # A time that a deadline cut short says that the servers are slow, but
                # counted among the whole ones it would shut the door on requests that
                # another server can answer.
                if end.whole:
                    self._times.add(pipeline.name, end.stage, seconds, now)
                multiple = self._times.multiple(pipeline.name, end.stage, seconds)
                correction = window.observe(multiple, admitted.began, now)
                if correction is not None:
                    self._raise_baselines(end.service, correction)
            if end.passed:
                window.release()
            self._begin_next(now)

    def _raise_baselines(self, service: str, factor: float) -> None:
        for pipeline in self._pipelines.values():
            for stage in pipeline.stages:
                if stage.service == service:
                    self._times.raise_baseline(pipeline.name, stage.name, factor)
