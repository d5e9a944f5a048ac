"""Kept connections to backend servers.

A connection is kept only after a whole answer. One that timed out, was cancelled or
carried a wrong echo is never used again, because an answer that comes late on it
could be taken for the answer to another call.
"""

import contextlib
import errno
import http.client
import math
import select
import threading
from dataclasses import dataclass

from boragestream.base.answer_reader import AnswerConnection

__all__ = ["ConnectionKeeper", "is_unreachable"]

MOST_IDLE = 8
# A connect that had less time says nothing when it times out.
MIN_CONNECT_SECONDS = 0.2
UNREACHABLE_ERRORS = (errno.EHOSTUNREACH, errno.ENETUNREACH)


@dataclass(frozen=True, slots=True)
class _Kept:
    connection: http.client.HTTPConnection
    until: float


class ConnectionKeeper:
    """Idle connections by server, newest first.

    :param connect_seconds: the longest that a connect may take.
    """

    def __init__(self, connect_seconds: float = 0.5) -> None:
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[_Kept]] = {}
        self._lock = threading.Lock()

    def take(
        self, host: str, now: float = -math.inf
    ) -> http.client.HTTPConnection | None:
        """Return an idle connection that its server has not closed, or None.

        :param now: the clock's seconds; connections kept until an earlier time are
            closed.
        """
        while True:
            with self._lock:
                idle = self._idle.get(host)
                kept = idle.pop() if idle else None
            if kept is None:
                return None
            if now < kept.until and not _has_input(kept.connection):
                return kept.connection
            kept.connection.close()

    def connect(self, host: str, seconds: float) -> http.client.HTTPConnection:
        """Open a fresh connection.

        :param host: ``address:port``.
        :param seconds: the time left; the connect takes no longer.
        :raises OSError: where the server can't be reached; no byte was sent then.
        """
        limit = max(0.001, min(seconds, self._connect_seconds))
        try:
            connection = AnswerConnection(host, timeout=limit)
        except http.client.InvalidURL as error:
            raise OSError(f"no address: {host!r}") from error
        connection.connect()
        return connection

    def keep(
        self,
        host: str,
        connection: http.client.HTTPConnection,
        until: float = math.inf,
        most: int = MOST_IDLE,
    ) -> None:
        """Keep a connection whose answer was read to its end.

        :param until: the clock's seconds after which it is not used any more.
        :param most: with as many idle ones to the server, it is closed instead.
        """
        with self._lock:
            idle = self._idle.setdefault(host, [])
            if len(idle) < most:
                idle.append(_Kept(connection, until))
                return
        connection.close()

    def forget(self, host: str) -> None:
        """Close every idle connection to a server that is leaving or replaced."""
        with self._lock:
            idle = self._idle.pop(host, [])
        for kept in idle:
            kept.connection.close()


def is_unreachable(error: OSError, seconds: float) -> bool:
    """Return whether a failed connect shows that a server can't be reached.

    :param seconds: the time that there was for it.
    """
    if isinstance(error, TimeoutError):
        return seconds >= MIN_CONNECT_SECONDS
    return isinstance(error, ConnectionError) or error.errno in UNREACHABLE_ERRORS


def _has_input(connection: http.client.HTTPConnection) -> bool:
    """Tell whether an idle connection was closed, or holds bytes nobody asked for."""
    with contextlib.suppress(OSError, ValueError):
        poller = select.poll()
        poller.register(connection.sock, select.POLLIN)
        return bool(poller.poll(0))
    return True
