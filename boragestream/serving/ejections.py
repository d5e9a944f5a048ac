"""Says in the log what keeps a server from further calls for a while.

The decisions themselves are those of ``policy.circuits`` and
``policy.server_backoffs``.
"""

from boragestream.base.events import Event, emit
from boragestream.policy.circuits import is_open
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server

__all__ = ["note_backoff", "note_ejection"]


def note_backoff(server: Server, seconds: float) -> None:
    """Log that a server wants no calls of this entry for a while."""
    emit(
        Event.SERVER_BACKED_OFF,
        server=server.name,
        service=server.service,
        seconds=round(seconds, 3),
    )


def note_ejection(loads: LoadTable, server: Server, now: float) -> None:
    """Log that a server gets no calls for a while, where a failure had that effect."""
    circuit = loads.get(server).circuit
    if is_open(circuit, now):
        emit(
            Event.SERVER_EJECTED,
            server=server.name,
            service=server.service,
            failures=circuit.failures,
            seconds=round(circuit.until - now, 3),
        )
