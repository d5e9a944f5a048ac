"""What backend servers say of themselves with answers, whatever the store says."""

from collections.abc import Callable

from boragestream.base.events import Event, emit
from boragestream.document.calls import AnswerHead
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.ejections import note_backoff

__all__ = ["server_words"]


def server_words(
    servers: ServerTable, backoffs: ServerBackoffs
) -> Callable[[Server, AnswerHead], None]:
    """Return what takes the head of each answer."""

    def heard(server: Server, head: AnswerHead) -> None:
        if head.backoff_seconds is not None:
            backoffs.note(server, head.backoff_seconds)
            note_backoff(server, head.backoff_seconds)
        if head.leaving and servers.note_leaving(server):
            emit(Event.SERVER_SAID_LEAVING, server=server.name, service=server.service)

    return heard
