"""Refusals of requests before they reach admission.

Only a transient failure carries a retry time; after any other failure the same request
would be refused again.
"""

from dataclasses import dataclass

from boragestream.base.failures import (
    EntryLeaving,
    MemoryExhausted,
    NoConfiguration,
    QueueFull,
)
from boragestream.base.outcomes import Failure, Refused
from boragestream.caller.replies import StartResponse, outcome_reply
from boragestream.document import Pipeline
from boragestream.policy.admission import Admission
from boragestream.policy.tickets import TicketsExhausted

__all__ = ["Refusals"]

TRANSIENT_FAILURES = NoConfiguration | EntryLeaving | MemoryExhausted | TicketsExhausted


@dataclass(frozen=True, slots=True)
class Refusals:
    """Refuses requests with the retry time that admission would give."""

    admission: Admission

    def full(self, limit: int, pipeline: Pipeline) -> Refused:
        """Return the refusal of a request for which no thread is free.

        :param limit: the number of requests that occupy the threads.
        """
        return Refused(QueueFull(limit), self.admission.retry_after(pipeline))

    def reply(
        self, start_response: StartResponse, request_id: str, failure: Failure
    ) -> list[bytes]:
        """Reply that a request is refused."""
        transient = isinstance(failure, TRANSIENT_FAILURES)
        retry_after = self.admission.retry_unknown() if transient else None
        refused = Refused(failure, retry_after)
        return outcome_reply(start_response, refused, request_id)
