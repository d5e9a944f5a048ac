"""A waitress channel that writes output directly to the socket where possible.

waitress copies all output through a buffer. A streamed token is small and the socket
nearly always accepts it whole, so this channel sends it directly. Bytes that the socket
does not accept go through the buffer as usual.
"""

import time
from typing import Any

from waitress.channel import HTTPChannel

__all__ = ["DirectChannel"]


class DirectChannel(HTTPChannel):
    """One connection of a caller."""

    def write_soon(self, data: Any) -> int:
        """Send data, buffering what the socket does not accept; return its length."""
        rest = data
        if isinstance(data, bytes) and data:
            rest = data[self._send_now(data) :]
        if rest or not data:
            super().write_soon(rest)
        return len(data)

    def _send_now(self, data: bytes) -> int:
        """Return how many bytes the socket accepted; 0 if buffered output precedes."""
        with self.outbuf_lock:
            if self.total_outbufs_len or not self.connected:
                return 0
            try:
                sent = self.send(data, do_close=False)
            except OSError:
                # The buffered write raises the same error, and waitress handles it.
                return 0
            self.last_activity = time.time()
            return sent
