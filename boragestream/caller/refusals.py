"""Refusals of what is turned down before it reaches admission.

Only a failure that passes by itself says when to come back; for any other the same
request would be refused again.
"""

from dataclasses import dataclass

from boragestream.base.failures import NoConfiguration
from boragestream.base.outcomes import Failure, Refused
from boragestream.caller.replies import StartResponse, outcome_reply
from boragestream.policy.admission import Admission

__all__ = ["Refusals"]

PASSING = NoConfiguration


@dataclass(frozen=True, slots=True)
class Refusals:
    """Refuses with the time to come back that admission would give."""

    admission: Admission

    def reply(
        self, start_response: StartResponse, request_id: str, failure: Failure
    ) -> list[bytes]:
        """Answer that a request is refused."""
        passing = isinstance(failure, PASSING)
        retry_after = self.admission.retry_unknown() if passing else None
        refused = Refused(failure, retry_after)
        return outcome_reply(start_response, refused, request_id)
