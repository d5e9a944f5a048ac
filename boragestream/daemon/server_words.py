"""What backend servers say of themselves with answers, whatever the store says."""

from collections.abc import Callable

from boragestream.base.events import Event, emit
from boragestream.document.calls import AnswerHead, LimitMalformed
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.ejections import note_backoff

__all__ = ["server_words"]


def server_words(
    servers: ServerTable, backoffs: ServerBackoffs
) -> Callable[[Server, AnswerHead], None]:
    """Return what takes the head of each answer."""
    limits: dict[tuple[str, str, str], float] = {}

    def note_limit(server: Server, limit: float | None) -> None:
        before = limits.get(server.identity)
        if limit == before:
            return
        if limit is None:
            del limits[server.identity]
        else:
            limits[server.identity] = limit
        emit(
            Event.SERVER_LIMIT_CHANGED,
            server=server.name,
            service=server.service,
            per_second=limit,
            before=before,
        )

    def heard(server: Server, head: AnswerHead) -> None:
        if head.backoff_seconds is not None:
            backoffs.note(server, head.backoff_seconds)
            note_backoff(server, head.backoff_seconds)
        if head.leaving and servers.note_leaving(server):
            emit(Event.SERVER_SAID_LEAVING, server=server.name, service=server.service)
        if not isinstance(head.request_limit, LimitMalformed):
            note_limit(server, head.request_limit)

    return heard
