"""Applies what responses of a backend server show of it, in their heads or sizes."""

from http import HTTPStatus

from boragestream.backend.forwarded_call import NoteHead, NoteOversized
from boragestream.base.events import Event, emit
from boragestream.base.route_metrics import RouteMetrics
from boragestream.document.calls import AnswerHead, LimitMalformed, RunClaim
from boragestream.entry.brittle import log_brittle_change
from boragestream.entry.limits import log_limit_change
from boragestream.policy.brittle_services import BrittleServices
from boragestream.policy.oversized_answers import OversizedAnswers
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.ejections import log_backoff

__all__ = ["log_oversized", "response_hints"]


def log_oversized(
    metrics: RouteMetrics, suspects: OversizedAnswers | None = None
) -> NoteOversized:
    """Return a callback that logs and counts answers that go beyond a bound.

    :param suspects: takes their servers; None for those of other entries.
    """

    def note_oversized(server: Server, bound: str) -> None:
        metrics.answer_oversized(bound)
        emit(Event.ANSWER_OVERSIZED, server=server.name, bound=bound)
        if suspects is not None:
            suspects.note(server)

    return note_oversized


def response_hints(
    servers: ServerTable,
    backoffs: ServerBackoffs,
    limits: ServerLimits,
    brittle: BrittleServices,
) -> NoteHead:
    """Return a callback that applies the hints in the head of each answer."""

    def note_head(server: Server, head: AnswerHead, sent_at: float) -> None:
        if head.backoff_seconds is not None:
            backoffs.note(server, head.backoff_seconds)
            log_backoff(server, head.backoff_seconds)
        if head.leaving and servers.note_leaving(server):
            emit(Event.SERVER_SAID_LEAVING, server=server.name, service=server.service)
        limit = head.request_limit
        # If another server has the address now, the limit belongs to that server.
        same_server = head.claim is not RunClaim.OTHER_SERVER
        if same_server and not isinstance(limit, LimitMalformed):
            succeeded = head.status == HTTPStatus.OK
            log_limit_change(limits.note_answer(server, limit, sent_at, succeeded))
        if same_server:
            whole = head.status == HTTPStatus.OK
            change = brittle.note_answer(server, head.brittle, sent_at, whole)
            log_brittle_change(change)

    return note_head
