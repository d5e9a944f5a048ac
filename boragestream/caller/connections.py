"""A caller's connection, built on the strict channel.

It records when a request began to arrive, stops blocking on a caller that does not read
once the request's deadline has passed, and closes keep-alive connections while the
entry is leaving. ``caller.server`` configures the server.
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
        """Return the WSGI environment, extended by three keys for the application.

        ``ARRIVED`` holds the clock's seconds at the request's first byte, so that time
        in waitress' own queue counts. ``STOP_WAITING`` holds a function without
        arguments that is called when the deadline has passed. ``RAW_HEADERS`` holds
        the headers by name, in upper case with underscores.
        """
        environ = super().get_environment()
        environ[ARRIVED] = self.request.arrived
        environ[STOP_WAITING] = self.channel.stop_waiting
        environ[RAW_HEADERS] = self.request.headers
        self.channel.begin_waiting()
        return environ

    def build_response_header(self) -> bytes:
        """Return the response head; close the connection if the entry is leaving."""
        if self.channel.server.leaving:
            self.set_close_on_finish()
        return super().build_response_header()


class CallerConnection(StrictChannel):
    """One connection of a caller."""

    task_class = CallerTask
    _blocks_on_output = True

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered."""
        return bool(self.requests or self.request or self.total_outbufs_len)

    def parser_class(self, adjustments: Adjustments) -> StrictParser:
        """Return the parser of a request whose first bytes have arrived."""
        request = StrictParser(adjustments)
        request.arrived = self.server.clock.now()
        return request

    def begin_waiting(self) -> None:
        """Let writes block until the caller reads."""
        self._blocks_on_output = True

    def stop_waiting(self) -> None:
        """Stop blocking writes until the caller reads, and wake a blocked one."""
        self._blocks_on_output = False
        with self.outbuf_lock:
            self.outbuf_lock.notify_all()

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Block until the caller reads or waiting stops; waitress has no bound."""
        limit = self.adj.outbuf_high_watermark
        with self.outbuf_lock:
            while (
                self.connected
                and self._blocks_on_output
                and self.total_outbufs_len > limit
            ):
                self.server.pull_trigger()
                self.outbuf_lock.wait()
