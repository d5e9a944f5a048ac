"""One forwarded request on its way: what it uses from end to end."""

from dataclasses import dataclass

from boragestream.backend.cancellation import CancelScope
from boragestream.base.failures import CentresDrained, ServersBackedOff, ServersLimited
from boragestream.base.outcomes import Failed, Failure, Refused, Unknown
from boragestream.document.calls import ForwardedRequest
from boragestream.document.routes import Route
from boragestream.policy.quarantine import RequestQuarantined, RequestSuspected
from boragestream.policy.route_table import RouteTable
from boragestream.policy.servers import Server
from boragestream.serving.piece_failures import StageSaturated
from boragestream.serving.request import SentRecord

__all__ = ["ForwardedRun", "InputsGone", "ServerDidNotRun", "outcome_of"]

# A caller that comes back after this finds a server free or another entry, where
# nothing is known of a queue.
USUAL_RETURN_SECONDS = 0.25
# Without a server a queue's wait has no end, and a caller that believed it would stay
# away for an hour. Servers that lapsed or crashed are mostly back within this time.
LONGEST_RETURN_SECONDS = 5.0
# A data centre is drained for seconds at the least. A caller with one more try that
# comes back at once has lost it.
DRAINED_RETURN_SECONDS = 2.0


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

    :ivar table: the version of the routes that the request uses from end to end.
    :ivar account: the client account's name; empty where there is none.
    :ivar priority: by client account and route; 0 is the most urgent.
    :ivar service: the service that was chosen of the route's targets.
    :ivar arrived: the clock's seconds of its first byte.
    :ivar fingerprint: tells the request from others over all its returns.
    :ivar account_regions: where alone its client account may be served; empty for
        anywhere.
    """

    request: ForwardedRequest
    route: Route
    table: RouteTable
    account: str
    priority: int
    service: str
    scope: CancelScope
    arrived: float
    sent: SentRecord
    fingerprint: bytes = b""
    account_regions: frozenset[str] = frozenset()

    @property
    def regions(self) -> frozenset[str] | None:
        """Where alone the request may be served; None for anywhere.

        Where both its route and its client account name regions, both bind.
        """
        named = [r for r in (self.route.regions, self.account_regions) if r]
        return frozenset.intersection(*named) if named else None

    @property
    def objective_at(self) -> float:
        """The clock's seconds at which the answer must begin to be worth most."""
        return self.arrived + self.route.objective_seconds

    def note_not_run(self, server: Server) -> None:
        """Take a server's word that it did not run the request."""
        self.sent.note_not_run(server.name)


def outcome_of(run: ForwardedRun, failure: Failure) -> Refused | Failed | Unknown:
    """Return the true outcome of a request that was not answered.

    It was refused, and never runs, only where no server may have run it. One that is
    quarantined has run, on servers that it crashed.
    """
    if isinstance(failure, RequestQuarantined):
        return Failed(failure, failure.left_seconds)
    if run.sent.may_have_run:
        return (
            Unknown(failure, "") if not run.route.repeatable else Failed(failure, 0.0)
        )
    wait = USUAL_RETURN_SECONDS
    if isinstance(failure, RequestSuspected):
        wait = min(LONGEST_RETURN_SECONDS, failure.left_seconds)
    if isinstance(failure, ServersBackedOff | ServersLimited):
        wait = failure.left_seconds
    if isinstance(failure, CentresDrained):
        wait = DRAINED_RETURN_SECONDS
    if isinstance(failure, StageSaturated):
        wait = min(LONGEST_RETURN_SECONDS, max(wait, failure.wait_ms / 1000))
    return Refused(failure, wait)
