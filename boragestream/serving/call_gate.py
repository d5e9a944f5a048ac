"""Decides whether a backend server may be called, right before the first byte.

A server is chosen some time before its call is sent: threads, permits and connections
are waited for, and the process may be paused. Each path to a server asks here with its
connection made: forwarded requests, streams and their resumption, hedged attempts,
batches of pieces, releases of results and questions for reports. Requests that are
delegated to another entry are checked there. Probes, which look whether a server
answers at all, are not checked here but in ``serving.limited_probes`` and
``serving.seated_probes``.

Which server a call is sent to is decided elsewhere, as is whether its request may run.
"""

from typing import Protocol

from boragestream.backend.failures import (
    AttemptFailure,
    Ran,
    ServerBackedOff,
    ServerCold,
    ServerLeft,
    ServerLimited,
)
from boragestream.entry.server_permits import Permit
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving.limited_servers import LimitedServers

__all__ = ["GateParts", "question_refusal", "release_refusal", "work_refusal"]


class GateParts(Protocol):
    """The parts of the entry that know the state of its servers."""

    servers: ServerTable
    backoffs: ServerBackoffs
    limited: LimitedServers


def work_refusal(
    parts: GateParts,
    server: Server,
    permit: Permit | None,
    cold: ColdServers | None = None,
) -> AttemptFailure | None:
    """Return why a server may not be sent work now; None if it may.

    :param permit: the permit to call the server; None if it has no limit.
    :param cold: the servers that have just started, of which one call is counted; None
        where they are not known.
    """
    if not parts.servers.takes_work(server):
        return ServerLeft(server.name, Ran.NOT_SENT)
    if not parts.backoffs.takes_calls(server):
        return ServerBackedOff(server.name, Ran.NOT_SENT)
    if cold is not None and not cold.admit(server):
        return ServerCold(server.name, Ran.NOT_SENT)
    if not parts.limited.permits.is_valid(server, permit):
        return ServerLimited(server.name, Ran.NOT_SENT)
    return None


def release_refusal(parts: GateParts, server: Server) -> AttemptFailure | None:
    """Return why a server may not be sent a release of results now; None if it may."""
    if not parts.servers.takes_work(server):
        return ServerLeft(server.name, Ran.NOT_SENT)
    return question_refusal(parts, server)


def question_refusal(parts: GateParts, server: Server) -> AttemptFailure | None:
    """Return why a server may not be asked for a report now; None if it may.

    A server that is leaving may still work on the call that the question is about.
    """
    if server.data_centre in parts.servers.drained:
        return ServerLeft(server.name, Ran.NOT_SENT)
    if not parts.backoffs.takes_calls(server):
        return ServerBackedOff(server.name, Ran.NOT_SENT)
    if parts.limited.limits.limit(server) is not None:
        return ServerLimited(server.name, Ran.NOT_SENT)
    return None
