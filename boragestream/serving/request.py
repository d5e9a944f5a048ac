"""One request on its way: who asks for what, until when, and what was sent for it.

The record of what was sent decides which outcome is true when something fails.
"""

import math
import threading
from dataclasses import dataclass
from typing import Any

from boragestream.backend.cancellation import CancelScope
from boragestream.base.failures import ServersBackedOff, ServersLimited
from boragestream.base.outcomes import Failed, Failure, Outcome, Refused, Unknown
from boragestream.document import ClientAccount, Pipeline
from boragestream.policy.admitted import Admitted
from boragestream.policy.configuration import DocumentInForce
from boragestream.policy.quarantine import RequestQuarantined, RequestSuspected
from boragestream.policy.waiting import ServiceSaturated

__all__ = ["RequestRecord", "SentRecord"]


class SentRecord:
    """What has left for backend servers on behalf of one request."""

    def __init__(self) -> None:
        self._any = False
        self._unrepeatable: set[str] = set()
        self._open: set[str] = set()
        self._lock = threading.Lock()

    @property
    def any(self) -> bool:
        """Whether any byte left for a backend server."""
        return self._any

    @property
    def unrepeatable(self) -> bool:
        """Whether a call that may not be repeated may have run."""
        return bool(self._unrepeatable)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt was sent that did not certainly fail to run."""
        return bool(self._open)

    def note_sending(self, attempt_id: str, repeatable: bool) -> None:
        """Note that a call is about to be sent; called before the first byte."""
        with self._lock:
            self._any = True
            self._open.add(attempt_id)
            if not repeatable:
                self._unrepeatable.add(attempt_id)

    def note_not_run(self, attempt_id: str) -> None:
        """Note that an attempt has certainly not run; others may have."""
        with self._lock:
            self._unrepeatable.discard(attempt_id)
            self._open.discard(attempt_id)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request.

    :ivar in_force: the document that the request uses from end to end.
    :ivar body: the caller's input, JSON data.
    :ivar scope: cancels the request; holds its deadline.
    :ivar admitted: is told the begin and end of each stage.
    :ivar run_by: the clock's seconds after which no call that may not be repeated is
        sent; the expiry of the ticket where there is one.
    :ivar ask: the path under which a caller can ask what became of it.
    :ivar fingerprint: tells the request from others over all its returns.
    """

    request_id: str
    account: ClientAccount
    pipeline: Pipeline
    in_force: DocumentInForce
    body: Any
    scope: CancelScope
    sent: SentRecord
    admitted: Admitted
    run_by: float = math.inf
    ask: str = ""
    fingerprint: bytes = b""

    @property
    def is_streamable(self) -> bool:
        """Whether the last stage generates, so that its answer can be streamed."""
        last = self.pipeline.stages[-1]
        return self.in_force.services[last.service].kind == "engine"

    def outcome_of(self, failure: Failure, retry_after: float) -> Outcome:
        """Return the true outcome of a request that could not be answered."""
        if self.sent.unrepeatable:
            return Unknown(failure, self.ask)
        if isinstance(failure, RequestQuarantined):
            # It has run, on servers that it crashed.
            return Failed(failure, failure.left_seconds)
        if isinstance(failure, RequestSuspected | ServersBackedOff | ServersLimited):
            retry_after = failure.left_seconds
        if isinstance(failure, ServiceSaturated):
            retry_after = failure.retry_after
        if self.sent.any:
            return Failed(failure, retry_after)
        return Refused(failure, retry_after)
