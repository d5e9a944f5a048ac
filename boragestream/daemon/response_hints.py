"""Applies the hints about a backend server from the headers of its responses."""

from http import HTTPStatus

from boragestream.backend.forwarded_call import NoteHead
from boragestream.base.events import Event, emit
from boragestream.document.calls import AnswerHead, LimitMalformed, RunClaim
from boragestream.entry.brittle import log_brittle_change
from boragestream.entry.limits import log_limit_change
from boragestream.policy.brittle_services import BrittleServices
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.ejections import log_backoff

__all__ = ["response_hints"]


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
