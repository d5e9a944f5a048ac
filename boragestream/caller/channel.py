"""A waitress channel that writes output directly to the socket where possible.

waitress copies all output through a buffer. A streamed token is small and the socket
nearly always accepts it whole, so this channel sends it directly. Bytes that the socket
does not accept are kept in blocks, each of which is dropped once it was sent.
"""

import time

from waitress.channel import ClientDisconnected, HTTPChannel

from boragestream.caller.output_blocks import OutputBlocks

__all__ = ["DirectChannel"]


class DirectChannel(HTTPChannel):
    """One connection of a caller."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self._blocks = OutputBlocks()
        self.outbufs = [self._blocks]

    def write_soon(self, data: bytes) -> int:
        """Send data, keeping what the socket does not accept; return its length.

        :raises ClientDisconnected: if the connection is closed.
        """
        if not self.connected:
            raise ClientDisconnected
        if not data:
            return 0
        length = len(data)
        with self.outbuf_lock:
            if self._has_unread():
                self._flush_outbufs_below_high_watermark()
                if not self.connected:
                    raise ClientDisconnected
            sent = self._send_now(data)
            if sent < length:
                self._blocks.append(data[sent:])
                self.total_outbufs_len += length - sent
                self.server.pull_trigger()
            self._count_written(length, sent)
        return length

    def _has_unread(self) -> bool:
        """Return whether output may have to wait until the caller has read."""
        return self.total_outbufs_len > 0

    def _count_written(self, written: int, sent: int) -> None:
        """Take how many bytes were written, and how many the socket accepted of them.

        The output is locked meanwhile.
        """

    def _send_now(self, data: bytes) -> int:
        """Return how many bytes the socket accepted; 0 if other output precedes."""
        if self.total_outbufs_len:
            return 0
        try:
            sent = self.send(data, do_close=False)
        except OSError:
            # The event loop meets the same error when it writes, and closes.
            return 0
        self.last_activity = time.time()
        return sent
