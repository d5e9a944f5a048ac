"""The state of one admitted request, as admission control tracks it until its end.

``serving`` reports the begin and the end of each stage to it. ``policy.admission``
evaluates the durations.
"""

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.document import ClientAccount, Pipeline
from boragestream.document.records import Mechanism, Policies

__all__ = ["Admitted", "Candidate", "StageEnd"]


@dataclass(frozen=True, slots=True, eq=False)
class Candidate:
    """A request for which admission is requested.

    :ivar deadline: the clock's seconds by which it must be answered.
    :ivar caller_gone: returns whether its caller has closed the connection.
    """

    account: ClientAccount
    pipeline: Pipeline
    deadline: float
    policies: Policies
    caller_gone: Callable[[], bool] | None = None

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled for this request."""
        return mechanism not in self.policies.without


@dataclass(frozen=True, slots=True)
class StageEnd:
    """The end of one stage of an admitted request.

    :ivar began: when the stage began.
    :ivar timed: whether its duration reflects the speed of the servers; that of a stage
        that failed at once does not.
    :ivar whole: whether it returned a complete result.
    :ivar saturated: whether no server of the service had room for it.
    :ivar streamed: whether its answer was forwarded as a stream.
    :ivar passed: whether no remaining stage of the request uses its service.
    """

    stage: str
    service: str
    began: float
    timed: bool
    whole: bool
    saturated: bool
    passed: bool
    streamed: bool


class Admitted:
    """The stages of one admitted request that run or have not begun.

    :param candidate: the request.
    :param began: when it was admitted.
    :param stage_ended: called at the end of each stage.
    :param stage_deadline: returns the deadline of a stage.
    """

    def __init__(
        self,
        candidate: Candidate,
        began: float,
        now: Callable[[], float],
        stage_ended: Callable[["Admitted", StageEnd], None],
        stage_deadline: Callable[[Candidate, str], float],
    ) -> None:
        self._candidate = candidate
        self._began = began
        self._now = now
        self._stage_ended = stage_ended
        self._stage_deadline = stage_deadline
        self._stages = {stage.name: stage for stage in candidate.pipeline.stages}
        self._stages_left = Counter(s.service for s in candidate.pipeline.stages)
        self._began_at: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def candidate(self) -> Candidate:
        """The request."""
        return self._candidate

    @property
    def began(self) -> float:
        """When it was admitted."""
        return self._began

    @property
    def services(self) -> tuple[str, ...]:
        """The services of the stages that have not ended."""
        return tuple(service for service, left in self._stages_left.items() if left)

    def begin_stage(self, name: str) -> float:
        """Record that a stage begins; return the deadline of the stage."""
        self._began_at[name] = self._now()
        if not self._stages[name].repeatable:
            # Aborting such a call early would only turn answers into unknown outcomes.
            return self._candidate.deadline
        return self._stage_deadline(self._candidate, name)

    def end_stage(
        self,
        name: str,
        timed: bool,
        whole: bool,
        saturated: bool = False,
        streamed: bool = False,
    ) -> None:
        """Record that a stage has ended; further calls for it have no effect."""
        service = self._stages[name].service
        with self._lock:
            began = self._began_at.pop(name, None)
            if began is None:
                return
            self._stages_left[service] -= 1
            passed = self._stages_left[service] == 0
        self._stage_ended(
            self,
            StageEnd(name, service, began, timed, whole, saturated, passed, streamed),
        )

    def release_services(self) -> tuple[str, ...]:
        """Drop all stages that have not ended; return the services of these."""
        with self._lock:
            held = self.services
            self._stages_left.clear()
            self._began_at.clear()
        return held
