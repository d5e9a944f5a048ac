"""Sets up waitress for callers."""

import logging
from typing import Any

import waitress
from waitress.server import BaseWSGIServer

from boragestream.base.events import Event, emit
from boragestream.base.settings import CallerSettings
from boragestream.caller.protocol import StrictChannel

__all__ = ["create_server"]

MAX_HEADER_BYTES = 16384
SPARE_CONNECTIONS = 512
CLEANUP_SECONDS = 1
# Instances have no disks: nothing is ever spooled to a file.
NEVER_SPOOLED_BYTES = 1 << 40


def create_server(application: Any, settings: CallerSettings) -> BaseWSGIServer:
    """Return a server bound to the address of the settings, not yet running.

    Request lookahead is on, so that an application can learn that its caller has
    closed the connection.
    """
    _send_complaints_to_events()
    server = waitress.create_server(
        application,
        host=settings.address,
        port=settings.port,
        threads=settings.threads,
        connection_limit=settings.threads + SPARE_CONNECTIONS,
        channel_request_lookahead=1,
        channel_timeout=settings.read_seconds,
        cleanup_interval=CLEANUP_SECONDS,
        max_request_header_size=MAX_HEADER_BYTES,
        # waitress refuses a body of this size, not only a longer one.
        max_request_body_size=settings.max_body_bytes + 1,
        inbuf_overflow=NEVER_SPOOLED_BYTES,
        outbuf_overflow=NEVER_SPOOLED_BYTES,
        ident="boragestream",
        clear_untrusted_proxy_headers=True,
        asyncore_use_poll=True,
    )
    server.channel_class = StrictChannel
    return server


class _ComplaintHandler(logging.Handler):
    """Emits an event for what waitress logs.

    Its messages can name paths, and a path can hold a key; so the event names the
    place in waitress only.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Emit the event."""
        error = record.exc_info[0].__name__ if record.exc_info else None
        place = f"{record.module}.{record.funcName}"
        emit(Event.HTTP_COMPLAINT, level=record.levelname, place=place, error=error)


def _send_complaints_to_events() -> None:
    logger = logging.getLogger("waitress")
    logger.propagate = False
    logger.setLevel(logging.WARNING)
    logger.handlers = [_ComplaintHandler()]
