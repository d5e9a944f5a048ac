"""Says in the log when a failure keeps a server from further calls for a while.

The decision itself is that of ``policy.circuits``.
"""

from boragestream.base.events import Event, emit
from boragestream.policy.circuits import is_open
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server

__all__ = ["note_ejection"]


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
