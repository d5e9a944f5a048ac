"""Lowers the number of connections that a server allows while descriptors run out.

Descriptors can run out below that number, such as those of the whole machine. A server
that goes on accepting then does nothing else, and its callers' requests find no
descriptors for their calls.
"""

import errno
from collections.abc import Callable
from typing import Any

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit

__all__ = ["ConnectionRoom"]

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
# The share of the open connections that is allowed afterwards, so that some are closed
# and their descriptors are free for other uses.
KEPT_SHARE = 0.75
MIN_CONNECTIONS = 4
PAUSE_SECONDS = 0.2
# After this long without a failure, the limit rises again in steps of a second.
HOLD_SECONDS = 30.0
STEP_SHARE = 0.1


class ConnectionRoom:
    """The connections that a waitress server allows; used by its event loop only.

    :param server: its limit on connections is lowered and raised.
    """

    def __init__(self, server: Any, clock: Clock) -> None:
        self._server = server
        self._clock = clock
        # The limit that is set; None while it is in force.
        self._full_limit: int | None = None
        self._failed_at = float("-inf")
        # Since this was last logged.
        self._failures = 0

    @property
    def may_accept(self) -> bool:
        """Whether accepting is tried again after a failure."""
        return self._clock.now() >= self._failed_at + PAUSE_SECONDS

    def accept(self, accept: Callable[[], Any]) -> Any:
        """Return the result of accepting a connection; None without a descriptor."""
        try:
            return accept()
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR:
                raise
            self._lower_limit()
            return None

    def maintain(self) -> None:
        """Log failures, or raise the limit again; to be called about once a second."""
        adjustments = self._server.adj
        if self._failures:
            limit = adjustments.connection_limit
            emit(Event.DESCRIPTORS_EXHAUSTED, count=self._failures, limit=limit)
            self._failures = 0
        elif (
            self._full_limit is not None
            and self._clock.now() >= self._failed_at + HOLD_SECONDS
        ):
            step = max(1, int(adjustments.connection_limit * STEP_SHARE))
            raised = min(self._full_limit, adjustments.connection_limit + step)
            adjustments.connection_limit = raised
            if raised == self._full_limit:
                self._full_limit = None

    def _lower_limit(self) -> None:
        adjustments = self._server.adj
        if self._full_limit is None:
            self._full_limit = adjustments.connection_limit
        kept = int(len(self._server.active_channels) * KEPT_SHARE)
        limit = min(adjustments.connection_limit, max(MIN_CONNECTIONS, kept))
        adjustments.connection_limit = limit
        self._failed_at = self._clock.now()
        self._failures += 1
