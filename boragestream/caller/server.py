"""Sets up waitress for callers."""

from typing import Any

import waitress
from waitress.server import BaseWSGIServer

from boragestream.base.settings import CallerSettings
from boragestream.caller.channel import DirectChannel

__all__ = ["create_server"]

MAX_HEADER_BYTES = 16384
CHANNEL_SECONDS = 30
SPARE_CONNECTIONS = 512
# A body somewhat over the limit still reaches the application, whose refusal is a
# problem document; waitress cuts off what is far longer.
BODY_SLACK = 2


def create_server(application: Any, settings: CallerSettings) -> BaseWSGIServer:
    """Return a server bound to the address of the settings, not yet running.

    Request lookahead is on, so that an application can learn that its caller has
    closed the connection.
    """
    server = waitress.create_server(
        application,
        host=settings.address,
        port=settings.port,
        threads=settings.threads,
        connection_limit=settings.threads + SPARE_CONNECTIONS,
        channel_request_lookahead=1,
        channel_timeout=CHANNEL_SECONDS,
        max_request_header_size=MAX_HEADER_BYTES,
        max_request_body_size=settings.max_body_bytes * BODY_SLACK,
        ident="boragestream",
        clear_untrusted_proxy_headers=True,
        asyncore_use_poll=True,
    )
    server.channel_class = DirectChannel
    return server
