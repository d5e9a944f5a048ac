"""Watches over one request: whether it may be sent, and whether it crashed a server.

A cut answer is no crash by itself: connections are reset, answers spoilt and servers
drained. It counts where the server refuses connections right after it, as a process
that has ended. A server that hangs, refuses or answers with a failure, a link
that is cut without a word, and a call that was cancelled here don't count.
"""

from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.events import Event, emit
from boragestream.policy.quarantine import (
    CrashRecord,
    Quarantine,
    RequestQuarantined,
    RequestSuspected,
)
from boragestream.policy.servers import Server

__all__ = ["RequestGuard", "count_crash", "has_crashed"]

# A process that has ended refuses within a round trip; the caller waits for this check.
CHECK_SECONDS = 0.15


def has_crashed(connections: ConnectionKeeper, server: Server) -> bool:
    """Tell whether a server that has just cut an answer refuses connections.

    One that takes its time may be busy, or behind a link that is cut.
    """
    try:
        connection = connections.connect(server.host, CHECK_SECONDS)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    connection.close()
    return False


def count_crash(
    quarantine: Quarantine, sent_with: CrashRecord, server: Server, request_id: str
) -> None:
    """Count a crash against a request that the server ran, and log it.

    :param sent_with: what was known of the request right before it was sent.
    :param request_id: empty where the server ran parts of several requests.
    """
    record = quarantine.note_crash(sent_with)
    emit(
        Event.SERVER_CRASHED,
        request=request_id,
        fingerprint=sent_with.fingerprint.hex(),
        server=server.name,
        service=server.service,
        crashes=record.crashes if record is not None else None,
    )


class RequestGuard:
    """The guard of one request.

    :param request_id: names the request in the log.
    :param fingerprint: tells the request from others over all its returns.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        connections: ConnectionKeeper,
        request_id: str,
        fingerprint: bytes,
    ) -> None:
        self._quarantine = quarantine
        self._connections = connections
        self._request_id = request_id
        self._fingerprint = fingerprint
        self._sent_with: CrashRecord | None = None
        self._was_cut = False

    @property
    def suspected(self) -> bool:
        """Whether a server has crashed while it ran the request."""
        if self._quarantine.empty:
            return False
        return self._quarantine.known(self._fingerprint).crashes > 0

    def refusal(self) -> RequestQuarantined | RequestSuspected | None:
        """Return why the request may not be sent now; None where it may."""
        self._sent_with = None
        if self._quarantine.empty:
            return None
        refused = self._quarantine.admit(self._fingerprint, self._was_cut)
        if refused is None:
            self._sent_with = self._quarantine.known(self._fingerprint)
        return refused

    def sending(self) -> RequestQuarantined | RequestSuspected | None:
        """Look again right before the first byte; a crash may have been heard of."""
        if self._quarantine.empty:
            self._sent_with = None
            return None
        known = self._quarantine.known(self._fingerprint)
        admitted = self._sent_with or CrashRecord(self._fingerprint)
        if admitted.rank < known.rank:
            return self.refusal()
        self._sent_with = known
        return None

    def note_cut(self, server: Server) -> None:
        """Take that a server cut the answer; count it where the server has crashed."""
        if not has_crashed(self._connections, server):
            return
        self._was_cut = True
        sent_with = self._sent_with or CrashRecord(self._fingerprint)
        count_crash(self._quarantine, sent_with, server, self._request_id)

    def note_answered(self) -> None:
        """Take that a server answered the request whole."""
        if not self._quarantine.empty:
            self._quarantine.note_answered(self._fingerprint)
