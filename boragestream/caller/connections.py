"""One connection of a caller, on top of the strict channel.

It notes when a request began to arrive, ends a wait for a caller that does not read
once the request's deadline has passed, and closes kept connections while the entry is
leaving. The server itself is set up in ``caller.server``.
"""

from typing import Any

from waitress.adjustments import Adjustments
from waitress.task import WSGITask

from boragestream.caller.protocol import StrictChannel, StrictParser

__all__ = ["ARRIVED", "RAW_HEADERS", "STOP_WAITING", "CallerConnection"]

ARRIVED = "boragestream.arrived"
STOP_WAITING = "boragestream.stop_waiting"
RAW_HEADERS = "boragestream.headers"


class CallerTask(WSGITask):
    """One request of a connection."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment with what the application needs besides.

        ``ARRIVED`` is the clock's seconds at the request's first byte, so that time
        in waitress' own queue counts; ``STOP_WAITING`` is called without arguments
        when the deadline has passed; ``RAW_HEADERS`` holds the headers under names in
        capitals with underscores.
        """
        environ = super().get_environment()
        environ[ARRIVED] = self.request.arrived
        environ[STOP_WAITING] = self.channel.stop_waiting
        environ[RAW_HEADERS] = self.request.headers
        self.channel.begin_waiting()
        return environ

    def build_response_header(self) -> bytes:
        """Return the head, which closes the connection while the entry is leaving."""
        if self.channel.server.leaving:
            self.set_close_on_finish()
        return super().build_response_header()


class CallerConnection(StrictChannel):
    """One connection of a caller."""

    task_class = CallerTask
    _waits = True

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered."""
        return bool(self.requests or self.request or self.total_outbufs_len)

    def parser_class(self, adjustments: Adjustments) -> StrictParser:
        """Return the parser of a request whose first bytes are there."""
        request = StrictParser(adjustments)
        request.arrived = self.server.clock.now()
        return request

    def begin_waiting(self) -> None:
        """Have output wait for the caller again."""
        self._waits = True

    def stop_waiting(self) -> None:
        """Wait no longer until the caller reads what was written."""
        self._waits = False
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Wait for the caller to read, but not for ever as waitress does."""
        limit = self.adj.outbuf_high_watermark
        with self.outbuf_lock:
            while self.connected and self._waits and self.total_outbufs_len > limit:
                self.server.pull_trigger()
                self.outbuf_lock.wait()
