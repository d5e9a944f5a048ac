"""One attempt of a call on one backend server.

An answer counts only when it is whole, in time and echoes the attempt's own ids.
Whatever else comes back is a typed failure that says whether the server may have run
the call. Nothing is retried here; reading the answer is left to ``backend.answer``.
"""

import http.client
import socket
from collections.abc import Callable
from typing import Protocol

from boragestream.backend.answer import OpenAnswer, broken
from boragestream.backend.calls import (
    ATTEMPT_HEADER,
    BRITTLE_HEADER,
    DEADLINE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    RETRY_AFTER_HEADER,
    StageCall,
)
from boragestream.backend.cancellation import CancelScope
from boragestream.backend.connections import ConnectionKeeper, is_unreachable
from boragestream.backend.failures import (
    AnswerCrossed,
    AnswerCut,
    AnswerTooLarge,
    AttemptCancelled,
    AttemptFailure,
    ConnectFailed,
    Ran,
    ServerBackedOff,
    ServerErred,
    ServerLeft,
    ServerLimited,
    ServerRefused,
)
from boragestream.base.answer_head import AnswerHeaders
from boragestream.base.answer_reader import AnswerReader
from boragestream.base.clock import Clock
from boragestream.base.failures import DeadlinePassed
from boragestream.document.calls import LimitMalformed
from boragestream.policy.brittle_services import parse_brittle
from boragestream.policy.limit_records import parse_limit
from boragestream.policy.server_backoffs import parse_backoff
from boragestream.policy.tickets import TicketExpired

__all__ = [
    "AnswerCrossed",
    "AnswerCut",
    "AnswerTooLarge",
    "AttemptCancelled",
    "AttemptFailure",
    "ConnectFailed",
    "OpenAnswer",
    "Ran",
    "ServerBackedOff",
    "ServerErred",
    "ServerLeft",
    "ServerLimited",
    "ServerRefused",
    "open_attempt",
    "says_leaving",
]


# Takes the requests a second that a server names, None for no limit; when its call was
# sent, in the clock's seconds; and whether it answers with success.
NoteLimit = Callable[[float | None, float, bool], None]
# The same for whether a server states that rejected calls make it crash.
NoteBrittle = Callable[[bool, float, bool], None]


class AttemptObserver(Protocol):
    """Takes how the connection of an attempt goes."""

    def unreached(self, since: float) -> None:
        """Take that no connection could be opened."""

    def sent(self, fresh: bool) -> None:
        """Take that the call is about to be sent, maybe on a new connection."""

    def answered(self) -> None:
        """Take that the head of the answer has arrived."""

    def ended(self, failed: bool) -> None:
        """Take that the attempt has ended, maybe because its connection failed."""


def open_attempt(
    call: StageCall,
    server: str,
    host: str,
    attempt_id: str,
    connections: ConnectionKeeper,
    scope: CancelScope,
    clock: Clock,
    sending: Callable[[], AttemptFailure | None],
    note_limit: NoteLimit = lambda limit, sent_at, whole: None,
    note_brittle: NoteBrittle = lambda brittle, sent_at, whole: None,
    observer: AttemptObserver | None = None,
) -> OpenAnswer | AttemptFailure:
    """Send a call and wait for the headers of its answer.

    :param call: what to send.
    :param server: the server's name, for failures.
    :param host: the server's ``address:port``.
    :param attempt_id: an id that no other attempt has.
    :param scope: cancels the attempt; its deadline is the attempt's.
    :param sending: called directly before the first byte is sent; returns why it may
        not be, or None.
    :param note_limit: takes the limit that the server names, or that it names none.
    :param note_brittle: takes whether the server states that it is brittle.
    :param observer: takes how the connection goes; None if that is not recorded.
    :returns: the open answer, or a failure that says whether the call may have run.
    """
    connection = connections.take(host) if call.repeatable else None
    fresh = connection is None
    if fresh:
        began = clock.now()
        left = scope.deadline - began
        try:
            connection = connections.connect(host, left)
        except OSError as error:
            if observer is not None and is_unreachable(error, left):
                observer.unreached(began)
            return ConnectFailed(server, Ran.NOT_SENT, repr(error))
    sock = connection.sock
    scope.add(sock)
    # The time is read after the connect and directly before the send, so that a
    # process that was paused in between does not send what has expired.
    now = clock.now()
    left = scope.deadline - now
    if left <= 0 or now >= call.run_by or scope.reason is not None:
        scope.remove(sock)
        connection.close()
        expired = DeadlinePassed("send") if left <= 0 else TicketExpired()
        reason = scope.reason or expired
        return AttemptCancelled(server, Ran.NOT_SENT, reason)
    unsent = sending()
    if unsent is not None:
        scope.remove(sock)
        connection.close()
        return unsent
    if observer is not None:
        observer.sent(fresh)
    try:
        sock.settimeout(left)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = _headers(call, attempt_id, left)
        connection.request("POST", call.path, call.body, headers)
        response = connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        failure = broken(server, scope, error)
        if observer is not None:
            cut = isinstance(failure, AnswerCut) and isinstance(error, OSError)
            observer.ended(cut)
        scope.remove(sock)
        connection.close()
        return failure
    if observer is not None:
        observer.answered()
    failure = _check_head(call, server, attempt_id, response)
    if not isinstance(failure, AnswerCrossed):
        brittle = parse_brittle(response.headers.get_all(BRITTLE_HEADER, []))
        note_brittle(brittle, now, response.status == http.HTTPStatus.OK)
        limit = parse_limit(response.headers.get_all(LIMIT_HEADER, []))
        if not isinstance(limit, LimitMalformed):
            note_limit(limit, now, response.status == http.HTTPStatus.OK)
    if failure is not None:
        if observer is not None:
            observer.ended(failed=False)
        scope.remove(sock)
        connection.close()
        return failure
    return OpenAnswer(
        host, server, attempt_id, connection, sock, response, connections, scope, clock
    )


def says_leaving(headers: AnswerHeaders) -> bool:
    """Tell whether a server says with its answer that it is leaving."""
    return headers.get(LEAVING_HEADER) is not None


def _headers(call: StageCall, attempt_id: str, left: float) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        REQUEST_HEADER: call.request_id,
        ATTEMPT_HEADER: attempt_id,
        DEADLINE_HEADER: str(int(left * 1000)),
        PRIORITY_HEADER: str(call.priority),
    }


def _check_head(
    call: StageCall, server: str, attempt_id: str, response: AnswerReader
) -> AttemptFailure | None:
    echoed_request = response.headers.get(REQUEST_HEADER, "")
    echoed_attempt = response.headers.get(ATTEMPT_HEADER, "")
    own = (echoed_request, echoed_attempt) == (call.request_id, attempt_id)
    not_run = response.headers.get(NOT_RUN_HEADER)
    # A server's word that it did not run the call counts only where it speaks of
    # this attempt; a crossed one would be an untrue "not run".
    if own and not_run is not None:
        leaving = not_run == "leaving" or says_leaving(response.headers)
        backoff = parse_backoff(response.headers.get(RETRY_AFTER_HEADER))
        return ServerRefused(server, Ran.NOT_RUN, response.status, leaving, backoff)
    if response.status != http.HTTPStatus.OK:
        leaving = says_leaving(response.headers)
        return ServerErred(server, Ran.MAY_HAVE_RUN, response.status, leaving)
    if not own:
        echoed = f"{echoed_request} {echoed_attempt}"
        return AnswerCrossed(server, Ran.MAY_HAVE_RUN, echoed)
    return None
