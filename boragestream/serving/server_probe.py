"""Sends a request without work to a server, to see whether it answers at all."""

from collections.abc import Callable

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.failures import (
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
)
from boragestream.backend.forwarded_call import (
    CallLine,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import Clock
from boragestream.policy.servers import Server
from boragestream.serving.reach_checks import ProbeResult

__all__ = ["ServerProbe"]


class ServerProbe:
    """Probes servers over the line of forwarded calls.

    :param encode: returns the bytes of the request for a server.
    """

    def __init__(
        self,
        line: CallLine,
        encode: Callable[[Server], bytes],
        watchdog: Watchdog,
        clock: Clock,
    ) -> None:
        self._line = line
        self._encode = encode
        self._watchdog = watchdog
        self._clock = clock

    def __call__(self, server: Server, seconds: float) -> ProbeResult:
        """Return what a request on a new connection showed; any answer counts."""
        scope = CancelScope(self._clock.now() + seconds)
        self._watchdog.open(scope)
        try:
            data = self._encode(server)
            call = OutgoingCall("GET", "", lambda left: data, fresh=True)
            answer = open_forwarded_call(self._line, server, call, scope)
        finally:
            self._watchdog.close(scope)
        if not isinstance(answer, AttemptFailure):
            answer.close()
            return ProbeResult(answered=True)
        timed_out = isinstance(answer, ConnectFailed) and "Timeout" in answer.reason
        hung = timed_out or isinstance(answer, AttemptCancelled)
        return ProbeResult(answered=False, hung=hung)
