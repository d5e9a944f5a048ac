"""Logs the back-offs and ejections that suspend calls to a server.

The decisions are made by ``policy.circuits`` and ``policy.server_backoffs``.
"""

from boragestream.base.events import Event, emit
from boragestream.policy.circuits import is_open
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server

__all__ = ["log_backoff", "log_ejection"]


def log_backoff(server: Server, seconds: float) -> None:
    """Log that a server asked this entry to send no calls for some seconds."""
    emit(
        Event.SERVER_BACKED_OFF,
        server=server.name,
        service=server.service,
        seconds=round(seconds, 3),
    )


def log_ejection(loads: LoadTable, server: Server, now: float) -> None:
    """Log the ejection of a server if its circuit is open after a failure."""
    circuit = loads.get(server).circuit
    if is_open(circuit, now):
        emit(
            Event.SERVER_EJECTED,
            server=server.name,
            service=server.service,
            failures=circuit.failures,
            seconds=round(circuit.until - now, 3),
        )
