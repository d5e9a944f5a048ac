"""One request in progress: its account, pipeline, input, deadline and sent calls.

The record of the sent calls determines the outcome that is reported after a failure.
"""

import math
import threading
from dataclasses import dataclass
from typing import Any

from boragestream.backend.cancellation import CancelScope
from boragestream.base.failures import (
    ServersBackedOff,
    ServersFull,
    ServersLimited,
)
from boragestream.base.outcomes import Failed, Failure, Outcome, Refused, Unknown
from boragestream.document import ClientAccount, Pipeline
from boragestream.policy.admitted import Admitted
from boragestream.policy.configuration import DocumentInForce
from boragestream.policy.quarantine import RequestQuarantined, RequestSuspected
from boragestream.policy.waiting import ServiceSaturated
from boragestream.serving.delegation_failures import DelegateRefused

__all__ = ["RequestRecord", "SentRecord"]

# The failures that know when the caller should return.
TIMED_REFUSALS = (
    DelegateRefused | RequestSuspected | ServersBackedOff | ServersFull | ServersLimited
)


class SentRecord:
    """Records which calls of one request were sent and may have run."""

    def __init__(self) -> None:
        self._any_sent = False
        # Whether another entry may run the request, and whether it may run only once.
        self._delegated = False
        self._delegated_once = False
        self._unrepeatable: set[str] = set()
        self._possibly_run: set[str] = set()
        self._runs = 0
        self._lock = threading.Lock()

    @property
    def runs(self) -> int:
        """The number of servers to which the whole request went and may have run."""
        return self._runs

    @property
    def any(self) -> bool:
        """Whether any byte was sent to a backend server, maybe by another entry."""
        return self._any_sent or self._delegated

    @property
    def unrepeatable_may_have_run(self) -> bool:
        """Whether a call that may not be repeated may have run."""
        return bool(self._unrepeatable) or self._delegated_once

    @property
    def delegation_may_have_run(self) -> bool:
        """Whether another entry may have run the request."""
        return self._delegated

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt that was sent may have run."""
        return bool(self._possibly_run) or self._delegated

    def begin_delegation(self, repeatable: bool) -> None:
        """Record that the request is about to be sent to another entry."""
        with self._lock:
            self._delegated = True
            self._delegated_once = not repeatable

    def end_delegation(self) -> None:
        """Record that the other entry states that it did not run the request."""
        with self._lock:
            self._delegated = self._delegated_once = False

    def note_sending(self, attempt_id: str, repeatable: bool) -> None:
        """Record an attempt that is about to be sent; called before the first byte."""
        with self._lock:
            self._any_sent = True
            self._possibly_run.add(attempt_id)
            if not repeatable:
                self._unrepeatable.add(attempt_id)

    def note_run(self) -> None:
        """Record that a server to which the whole request went may have run it."""
        with self._lock:
            self._runs += 1

    def note_not_run(self, attempt_id: str) -> None:
        """Record that an attempt has certainly not run; other attempts may have."""
        with self._lock:
            self._unrepeatable.discard(attempt_id)
            self._possibly_run.discard(attempt_id)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request.

    :ivar in_force: the document that the request uses from beginning to end.
    :ivar body: the caller's input as JSON data.
    :ivar scope: cancels the request and holds its deadline.
    :ivar sent: the calls that were sent for the request.
    :ivar admitted: records the beginning and end of each stage.
    :ivar run_by: the time, in seconds of the clock, after which no call that may not be
        repeated is sent; the expiry of the ticket if there is one.
    :ivar ask: the path at which a caller can query the outcome of the request.
    :ivar fingerprint: identifies the request, also when its caller sends it again.
    :ivar delegated_by: the entry that delegated the request to this one; empty if a
        caller sent it.
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
    status_path: str = ""
    fingerprint: bytes = b""
    delegated_by: str = ""

    @property
    def is_streamable(self) -> bool:
        """Whether an engine runs the last stage, so that its answer can be streamed."""
        last = self.pipeline.stages[-1]
        return self.in_force.services[last.service].kind == "engine"

    def outcome_of(self, failure: Failure, retry_after: float) -> Outcome:
        """Return the outcome of a failed request, according to what was sent for it.

        :param retry_after: the wait in seconds that is suggested to the caller unless
            the failure itself names one.
        """
        if self.sent.unrepeatable_may_have_run:
            return Unknown(failure, self.status_path)
        if isinstance(failure, RequestQuarantined):
            # The request has run, on the servers that it crashed.
            return Failed(failure, failure.left_seconds)
        if isinstance(failure, TIMED_REFUSALS):
            retry_after = failure.left_seconds or retry_after
        if isinstance(failure, ServiceSaturated):
            retry_after = failure.retry_after
        if self.sent.any:
            return Failed(failure, retry_after)
        return Refused(failure, retry_after)
