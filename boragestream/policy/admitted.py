"""One admitted request, as the decisions at the door see it until it has ended.

Serving reports the begin and end of each stage here. What follows from the times is
left to ``policy.admission``.
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
    """A request that asks to be admitted.

    :ivar deadline: the clock's seconds by which it must be answered.
    :ivar gone: tells whether its caller has closed the connection.
    """

    account: ClientAccount
    pipeline: Pipeline
    deadline: float
    policies: Policies
    gone: Callable[[], bool] | None = None

    def uses(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is switched on for this request."""
        return mechanism not in self.policies.without


@dataclass(frozen=True, slots=True)
class StageEnd:
    """The end of one stage of an admitted request.

    :ivar began: when the stage began.
    :ivar timed: whether its time says something about the servers; a stage that
        failed at once does not.
    :ivar whole: whether it brought its result.
    :ivar saturated: whether it found no room on the service.
    :ivar streamed: whether its answer was passed on as a stream.
    :ivar passed: whether the request needs the stage's service no more.
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
    """The stages of one admitted request that are under way or to come.

    :param candidate: the request.
    :param began: when it was admitted.
    :param stage_ended: is told the end of each stage.
    :param stage_deadline: returns a stage's own deadline.
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
        self._to_come = Counter(s.service for s in candidate.pipeline.stages)
        self._under_way: dict[str, float] = {}
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
        """The services that it still needs."""
        return tuple(service for service, left in self._to_come.items() if left)

    def begin_stage(self, name: str) -> float:
        """Note that a stage begins; return its own deadline."""
        self._under_way[name] = self._now()
        if not self._stages[name].repeatable:
            # Cutting such a call early would only turn answers into unknown ones.
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
        """Note that a stage has ended; does nothing the second time."""
        service = self._stages[name].service
        with self._lock:
            began = self._under_way.pop(name, None)
            if began is None:
                return
            self._to_come[service] -= 1
            passed = self._to_come[service] == 0
        self._stage_ended(
            self,
            StageEnd(name, service, began, timed, whole, saturated, passed, streamed),
        )

    def give_up(self) -> tuple[str, ...]:
        """Return the services that it still held, and hold none any more."""
        with self._lock:
            held = self.services
            self._to_come.clear()
            self._under_way.clear()
        return held
