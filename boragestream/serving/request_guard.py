"""Checks whether a request may be sent, and whether it crashed a server.

A cut answer alone is not a crash: connections are reset, answers corrupted and servers
drained. A cut counts as a crash if the server refuses connections right after it,
which shows that its process has ended. A server that hangs, refuses the request or
answers with a failure does not count, nor does a link that is lost without a reset or
a call that this entry cancelled.
"""

from collections.abc import Callable, Sequence

from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.events import Event, emit
from boragestream.policy.prompt_parts import PartQuarantined
from boragestream.policy.quarantine import (
    CrashRecord,
    Quarantine,
    RequestQuarantined,
    RequestSuspected,
)
from boragestream.policy.servers import Server
from boragestream.serving.prompt_guard import PromptGuard

__all__ = ["QuarantineRefusal", "RequestGuard", "count_crash", "has_crashed"]

QuarantineRefusal = RequestQuarantined | RequestSuspected | PartQuarantined

# The host of an ended process refuses a connection within one round trip. The limit is
# short because the caller waits for this check.
CONNECT_TIMEOUT_SECONDS = 0.15
LOGGED_PARTS = 16


def has_crashed(
    connections: ConnectionKeeper,
    server: Server,
    others: Callable[[Server], Sequence[Server]] = lambda server: (),
) -> bool:
    """Return whether a server that has just cut an answer refuses connections.

    A server that does not answer in time may be busy or unreachable over the network,
    so it does not count as crashed. Unless another server accepts a connection, the
    links of this entry may be cut.

    :param others: returns some other servers; none where there are none to compare.
    """
    if _accepts(connections, server) is not False:
        return False
    compared = others(server)
    return not compared or any(_accepts(connections, other) for other in compared)


def _accepts(connections: ConnectionKeeper, server: Server) -> bool | None:
    """Return whether a server accepts connections; None if it does not answer."""
    try:
        connection = connections.connect(server.host, CONNECT_TIMEOUT_SECONDS)
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    connection.close()
    return True


def count_crash(
    quarantine: Quarantine,
    record_at_send: CrashRecord,
    server: Server,
    request_id: str,
    parts: Sequence[str] = (),
) -> None:
    """Count a crash against a request that the server ran, and log it.

    :param record_at_send: the request's crash record right before it was sent.
    :param request_id: empty if the server ran pieces of several requests.
    :param parts: the parts of its prompt that other requests may share.
    """
    record = quarantine.note_crash(record_at_send)
    emit(
        Event.SERVER_CRASHED,
        request=request_id,
        fingerprint=record_at_send.fingerprint.hex(),
        server=server.name,
        service=server.service,
        crashes=record.crashes if record is not None else None,
        parts=parts[:LOGGED_PARTS],
    )


class RequestGuard:
    """Checks and updates the crash record of one request.

    :param request_id: identifies the request in the log.
    :param fingerprint: identifies the request across all its repeats.
    :param others: returns some other servers, see ``has_crashed``.
    :param was_cut: whether an earlier attempt at another entry was cut.
    :param prompt: checks the parts of its prompt; None for a request without one.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        connections: ConnectionKeeper,
        request_id: str,
        fingerprint: bytes,
        others: Callable[[Server], Sequence[Server]] = lambda server: (),
        was_cut: bool = False,
        prompt: PromptGuard | None = None,
    ) -> None:
        self._prompt = prompt
        self._others = others
        self._quarantine = quarantine
        self._connections = connections
        self._request_id = request_id
        self._fingerprint = fingerprint
        self._record_at_send: CrashRecord | None = None
        # The turn in which the request was admitted; -1 if it needed none.
        self._turn = -1
        self._was_cut = was_cut

    @property
    def suspected(self) -> bool:
        """Whether a server has crashed while it ran the request."""
        if self._quarantine.empty:
            return False
        return self._quarantine.record_for(self._fingerprint).crashes > 0

    def refusal(self) -> QuarantineRefusal | None:
        """Return why the request may not be sent now; None if it may."""
        refused = self._prompt.refusal() if self._prompt is not None else None
        if refused is not None:
            return refused
        self._record_at_send, self._turn = None, -1
        if self._quarantine.empty:
            return None
        refused = self._quarantine.admit(self._fingerprint, self._was_cut)
        if refused is None:
            record = self._quarantine.record_for(self._fingerprint)
            self._record_at_send = record
            if record.quarantined or not self._was_cut:
                self._turn = self._quarantine.last_turn(self._fingerprint)
        return refused

    def check_before_send(self) -> QuarantineRefusal | None:
        """Repeat the check right before the first byte is sent.

        A peer may have reported a crash since the request was admitted. The turn in
        which it was admitted may have ended while it waited or the process was
        suspended, so that another entry may send a copy now.

        :returns: why the request may not be sent; None if it may.
        """
        refused = self._prompt.check_before_send() if self._prompt is not None else None
        if refused is not None:
            return refused
        if self._quarantine.empty:
            self._record_at_send = None
            return None
        known = self._quarantine.record_for(self._fingerprint)
        admitted = self._record_at_send or CrashRecord(self._fingerprint)
        ended = self._quarantine.has_ended(self._fingerprint, self._turn)
        if admitted.rank < known.rank or ended:
            return self.refusal()
        self._record_at_send = known
        return None

    def check_for_crash(self, server: Server) -> bool:
        """Check whether the server that cut the answer crashed, and count a crash.

        :returns: whether it crashed.
        """
        if not has_crashed(self._connections, server, self._others):
            return False
        self._was_cut = True
        record_at_send = self._record_at_send or CrashRecord(self._fingerprint)
        parts = self._prompt.parts if self._prompt is not None else ()
        count_crash(self._quarantine, record_at_send, server, self._request_id, parts)
        if self._prompt is not None:
            self._prompt.note_crash(server)
        return True

    def note_events(self) -> None:
        """Record that a server has sent events of a streamed answer."""
        if self._prompt is not None:
            self._prompt.note_events()

    def note_answered(self) -> None:
        """Record that a server answered the request completely."""
        if self._prompt is not None:
            self._prompt.note_answered()
        if not self._quarantine.empty:
            self._quarantine.note_answered(self._fingerprint)
