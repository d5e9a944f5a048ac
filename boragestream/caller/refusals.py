"""Refusals of what is turned down before it reaches admission.

Only a failure that passes by itself says when to come back; for any other the same
request would be refused again.
"""

from dataclasses import dataclass

from boragestream.base.failures import EntryLeaving, NoConfiguration, QueueFull
from boragestream.base.outcomes import Failure, Refused
from boragestream.caller.replies import StartResponse, outcome_reply
from boragestream.document import Pipeline
from boragestream.policy.admission import Admission
from boragestream.policy.tickets import TicketsExhausted

__all__ = ["Refusals"]

PASSING = NoConfiguration | EntryLeaving | TicketsExhausted


@dataclass(frozen=True, slots=True)
class Refusals:
    """Refuses with the time to come back that admission would give."""

    admission: Admission

    def full(self, limit: int, pipeline: Pipeline) -> Refused:
        """Return the refusal of a request for which there is no thread.

        :param limit: how many requests hold the threads.
        """
        return Refused(QueueFull(limit), self.admission.retry_after(pipeline))

    def reply(
        self, start_response: StartResponse, request_id: str, failure: Failure
    ) -> list[bytes]:
        """Answer that a request is refused."""
        passing = isinstance(failure, PASSING)
        retry_after = self.admission.retry_unknown() if passing else None
        refused = Refused(failure, retry_after)
        return outcome_reply(start_response, refused, request_id)
