"""Sends a call to a server that makes no work there, and reads its whole answer."""

from collections.abc import Callable
from http import HTTPStatus

from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.failures import AttemptFailure, Ran, ServerErred
from boragestream.backend.forwarded_call import (
    CallLine,
    OutgoingCall,
    open_forwarded_call,
)
from boragestream.base.clock import Clock
from boragestream.document.calls import RunClaim
from boragestream.policy.servers import Server

__all__ = ["ask_server", "call_without_id"]


def call_without_id(
    method: str, encode: Callable[[float], bytes | AttemptFailure]
) -> OutgoingCall:
    """Return a call with a connection of its own.

    Such calls carry no id, so that on a kept connection an extra answer that arrives
    late would be taken for the answer to the next call.
    """
    return OutgoingCall(method, "", encode, fresh=True, kept=False)


def ask_server(
    line: CallLine,
    watchdog: Watchdog,
    clock: Clock,
    server: Server,
    call: OutgoingCall,
    seconds: float,
) -> bytes | AttemptFailure:
    """Return the body of a successful answer, or why there is none.

    :param seconds: how long the whole call may take.
    """
    scope = CancelScope(clock.now() + seconds)
    watchdog.open(scope)
    try:
        answer = open_forwarded_call(line, server, call, scope)
        if isinstance(answer, AttemptFailure):
            return answer
        body, head = answer.read(), answer.head
    finally:
        watchdog.close(scope)
    if isinstance(body, bytes) and head.status != HTTPStatus.OK:
        not_run = head.claim is not RunClaim.RAN
        ran = Ran.NOT_RUN if not_run else Ran.MAY_HAVE_RUN
        return ServerErred(server.name, ran, head.status)
    return body
