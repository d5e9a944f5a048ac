"""A waitress channel that sends at once what it can.

waitress copies all output through a buffer. A streamed token is small and its socket
nearly always takes it whole, so that it is sent directly here; what the socket does not
take goes through the buffer as usual.
"""

import time
from typing import Any

from waitress.channel import HTTPChannel

__all__ = ["DirectChannel"]


class DirectChannel(HTTPChannel):
    """One connection of a caller."""

    def write_soon(self, data: Any) -> int:
        """Send data now or soon; return its length."""
        rest = data
        if isinstance(data, bytes) and data:
            rest = data[self._send_now(data) :]
        if rest or not data:
            super().write_soon(rest)
        return len(data)

    def _send_now(self, data: bytes) -> int:
        """Return how many bytes the socket took; 0 where others must go first."""
        with self.outbuf_lock:
            if self.total_outbufs_len or not self.connected:
                return 0
            try:
                sent = self.send(data, do_close=False)
            except OSError:
                # The buffered way meets the same error and deals with it.
                return 0
            self.last_activity = time.time()
            return sent
