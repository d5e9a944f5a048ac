"""Asks a server of the project's own interface whether it answers at all."""

import http.client

from boragestream.backend.connections import ConnectionKeeper, is_unreachable
from boragestream.base.clock import Clock
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server
from boragestream.serving.reach_checks import ProbeResult

__all__ = ["HealthProbe"]

# Any answer will do, also that there is no such page.
HEALTH_PATH = "/health"


class HealthProbe:
    """Probes servers, each on a new connection."""

    def __init__(self, reach: ServerReach, clock: Clock) -> None:
        self._reach = reach
        self._clock = clock

    def __call__(self, server: Server, seconds: float) -> ProbeResult:
        """Return what a request without work showed; any answer counts."""
        began = self._clock.now()
        connections = ConnectionKeeper(seconds)
        try:
            connection = connections.connect(server.host, seconds)
        except OSError as error:
            if is_unreachable(error, seconds):
                self._reach.note_failure(server, True, began)
            return ProbeResult(answered=False, hung=isinstance(error, TimeoutError))
        call = self._reach.begin(server, fresh=True)
        try:
            connection.sock.settimeout(seconds)
            # A server may send its answer byte by byte.
            connection.limit_answer(seconds)
            connection.request("GET", HEALTH_PATH)
            connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            hung = isinstance(error, TimeoutError)
            # Bytes that are no answer show that the server is reached.
            self._reach.end(call, failed=isinstance(error, OSError) and not hung)
            return ProbeResult(answered=False, hung=hung)
        finally:
            connection.close()
        self._reach.note_answer(call)
        self._reach.end(call, failed=False)
        return ProbeResult(answered=True)
