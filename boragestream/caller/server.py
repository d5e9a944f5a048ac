"""Sets up waitress for callers."""

from typing import Any

import waitress
from waitress import wasyncore
from waitress.server import BaseWSGIServer

from boragestream.base.clock import Clock, SystemClock
from boragestream.base.settings import CallerSettings
from boragestream.caller.connections import CallerConnection

__all__ = ["busy_connections", "create_server", "leave", "stop_listening"]

MAX_HEADER_BYTES = 16384
CHANNEL_SECONDS = 30
SPARE_CONNECTIONS = 512
# A body somewhat over the limit still reaches the application, whose refusal is a
# problem document; waitress cuts off what is far longer.
BODY_SLACK = 2
# What is written and not yet read by a caller before its stream waits.
UNREAD_BYTES = 262_144
# Nothing is put into temporary files: instances have no disks.
NEVER_TO_DISK = 1 << 40
BACKLOG = 1024


def create_server(
    application: Any, settings: CallerSettings, clock: Clock | None = None
) -> BaseWSGIServer:
    """Return a server bound to the address of the settings, not yet running.

    Request lookahead is on, so that an application can learn that its caller has
    closed the connection.

    :param clock: tells when requests arrive.
    """
    server = waitress.create_server(
        application,
        host=settings.address,
        port=settings.port,
        threads=settings.threads,
        backlog=BACKLOG,
        connection_limit=settings.threads + SPARE_CONNECTIONS,
        channel_request_lookahead=1,
        channel_timeout=CHANNEL_SECONDS,
        max_request_header_size=MAX_HEADER_BYTES,
        max_request_body_size=settings.max_body_bytes * BODY_SLACK,
        inbuf_overflow=NEVER_TO_DISK,
        outbuf_overflow=NEVER_TO_DISK,
        outbuf_high_watermark=UNREAD_BYTES,
        ident="boragestream",
        clear_untrusted_proxy_headers=True,
        asyncore_use_poll=True,
    )
    server.channel_class = CallerConnection
    server.clock = clock or SystemClock()
    server.leaving = False
    return server


def leave(server: BaseWSGIServer) -> None:
    """Close each kept connection with its next answer."""
    server.leaving = True


def stop_listening(server: BaseWSGIServer) -> None:
    """Accept what has connected already and refuse further connections."""

    def accept_and_close() -> None:
        for _ in range(BACKLOG):
            server.handle_accept()
        wasyncore.dispatcher.close(server)

    server.trigger.pull_trigger(accept_and_close)


def busy_connections(server: BaseWSGIServer) -> int:
    """Return how many connections have a request that is not answered whole."""
    channels = list(server.active_channels.values())
    return sum(channel.busy for channel in channels)
