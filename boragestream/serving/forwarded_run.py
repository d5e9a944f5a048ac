"""The state of one forwarded request, and its outcome when it is not answered."""

from dataclasses import dataclass

from boragestream.backend.cancellation import CancelScope
from boragestream.base.failures import (
    AccountOverShare,
    CentresDrained,
    ServersBackedOff,
    ServersFull,
    ServersLimited,
)
from boragestream.base.outcomes import Failed, Failure, Refused, Unknown
from boragestream.document.calls import ForwardedRequest
from boragestream.document.routes import CallKind, Route
from boragestream.policy.outstanding import WorkSize
from boragestream.policy.prompt_parts import PartQuarantined
from boragestream.policy.quarantine import RequestQuarantined, RequestSuspected
from boragestream.policy.route_table import ServiceTable
from boragestream.policy.servers import Server
from boragestream.serving.delegation_failures import DelegateRefused
from boragestream.serving.piece_failures import StageSaturated
from boragestream.serving.request import SentRecord

__all__ = ["ForwardedRun", "InputsGone", "ServerDidNotRun", "outcome_of"]

# Used where the length of a queue is not known: within this time a server becomes free
# or the caller reaches another entry.
DEFAULT_RETRY_AFTER_SECONDS = 0.25
# Without a server a queue's expected wait is unbounded, and a caller would be told to
# stay away for an hour. Servers that lapsed or crashed mostly return within this time.
MAX_RETRY_AFTER_SECONDS = 5.0
# A data centre stays drained for at least some seconds. A caller with a single retry
# left would waste it by returning at once.
DRAINED_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ServerDidNotRun(Failure):
    """The last server asked says that it did not run the request."""

    server: str
    status: int


@dataclass(frozen=True, slots=True)
class InputsGone(Failure):
    """The results of the stages were gone before the server read them."""

    server: str


@dataclass(frozen=True, slots=True)
class ForwardedRun:
    """One request.

    :ivar table: the services of the version that applies to the whole request.
    :ivar account: the client account's name; empty if there is none.
    :ivar priority: set by client account and route; 0 is the most urgent.
    :ivar service: the service chosen from the route's targets.
    :ivar arrived: the clock's time of the first byte, in seconds.
    :ivar fingerprint: identifies the request across all its repeats.
    :ivar delegated_by: the entry that delegated the request to this one; empty if a
        caller sent it.
    :ivar earlier_runs: the attempts of that entry that may have run.
    :ivar version: the only software version that may go on with the stream; None for
        any.
    :ivar account_regions: the only regions where its client account may be served;
        empty for no restriction.
    """

    request: ForwardedRequest
    route: Route
    table: ServiceTable
    account: str
    priority: int
    service: str
    scope: CancelScope
    arrived: float
    sent: SentRecord
    fingerprint: bytes = b""
    account_regions: frozenset[str] = frozenset()
    delegated_by: str = ""
    earlier_runs: int = 0
    version: str | None = None

    @property
    def regions(self) -> frozenset[str] | None:
        """The only regions where the request may be served; None for all regions.

        If both its route and its client account name regions, both restrictions apply.
        """
        restrictions = [r for r in (self.route.regions, self.account_regions) if r]
        return frozenset.intersection(*restrictions) if restrictions else None

    @property
    def has_stages(self) -> bool:
        """Whether stage servers work on it before its server does."""
        return bool(self.route.stages) and any(self.request.pieces)

    @property
    def may_be_taken_up(self) -> bool:
        """Whether it is a stream that may go on in another attempt."""
        return self.route.kind is CallKind.STREAM and self.route.repeatable

    @property
    def takes_up_stream(self) -> bool:
        """Whether its caller goes on with a stream that began in another attempt."""
        return self.may_be_taken_up and self.request.takes_up_stream

    @property
    def objective_at(self) -> float:
        """The clock's time, in seconds, by which the answer should begin.

        A caller that takes a stream up has its first event, so that only its deadline
        counts. Half of the time until then is left for the rest of the stream.
        """
        objective_at = self.arrived + self.route.objective_seconds
        if not self.takes_up_stream:
            return objective_at
        return max(objective_at, (self.arrived + self.scope.deadline) / 2)

    @property
    def work_size(self) -> WorkSize:
        """What the request makes a server hold."""
        tokens = sum(part.tokens for part in self.request.prompt)
        return WorkSize(len(self.request.body), tokens)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts of its prompt that other requests may share: all but the last."""
        return tuple(part.identity for part in self.request.prompt[:-1])

    def note_not_run(self, server: Server) -> None:
        """Record that a server states that it did not run the request."""
        self.sent.note_not_run(server.name)


def outcome_of(run: ForwardedRun, failure: Failure) -> Refused | Failed | Unknown:
    """Return the outcome of a request that was not answered.

    The outcome is a refusal, after which the request never runs, only if no server may
    have run it. A quarantined request has run, on the servers that it crashed.
    """
    if isinstance(failure, RequestQuarantined):
        return Failed(failure, failure.left_seconds)
    if run.sent.may_have_run:
        return (
            Unknown(failure, "") if not run.route.repeatable else Failed(failure, 0.0)
        )
    retry_after = DEFAULT_RETRY_AFTER_SECONDS
    if isinstance(failure, RequestSuspected | PartQuarantined):
        retry_after = min(MAX_RETRY_AFTER_SECONDS, failure.left_seconds)
    if isinstance(failure, DelegateRefused):
        return Refused(failure, failure.left_seconds or retry_after)
    if isinstance(failure, ServersBackedOff | ServersFull | ServersLimited):
        retry_after = failure.left_seconds
    if isinstance(failure, CentresDrained):
        retry_after = DRAINED_RETRY_AFTER_SECONDS
    if isinstance(failure, StageSaturated) and failure.planned:
        # The queue knows how long this caller can stay away.
        return Refused(failure, max(retry_after, failure.wait_ms / 1000))
    if isinstance(failure, StageSaturated | AccountOverShare):
        retry_after = min(
            MAX_RETRY_AFTER_SECONDS, max(retry_after, failure.wait_ms / 1000)
        )
    return Refused(failure, retry_after)
