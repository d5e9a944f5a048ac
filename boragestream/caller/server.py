"""Configures the waitress server for callers."""

import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import waitress
from waitress import wasyncore
from waitress.server import BaseWSGIServer

from boragestream.base.clock import Clock, SystemClock
from boragestream.base.events import Event, emit
from boragestream.base.settings import CallerSettings
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.connections import RECEIVE_BUFFER_BYTES, CallerConnection
from boragestream.caller.dispatcher import GrowingDispatcher
from boragestream.caller.wakeup import OnceTrigger

__all__ = [
    "busy_connections",
    "create_server",
    "close_after_next_answers",
    "stop_listening",
]

MAX_HEADER_BYTES = 16384
SPARE_CONNECTIONS = 512
BACKLOG = 1024
CLEANUP_SECONDS = 1
# Instances have no disks, so waitress must never spool to a file.
NEVER_SPOOLED_BYTES = 1 << 40
# The kernel keeps about this much unsent for a caller that reads nothing.
UNSENT_BYTES = 16_384
# The event loop looks at every connection in each pass. With thousands of connections
# of callers that do not read, one new connection and 8 KB of a body in each pass would
# keep other callers waiting for seconds.
ACCEPTED_AT_ONCE = 16
READ_BYTES = 65_536


def create_server(
    application: Any,
    settings: CallerSettings,
    memory: CallerMemory,
    clock: Clock | None = None,
    listening: socket.socket | None = None,
) -> BaseWSGIServer:
    """Return a server bound to the address of the settings, not yet running.

    Request lookahead is enabled, so that an application can detect that its caller has
    closed the connection.

    :param memory: bounds what the connections hold.
    :param clock: gives the arrival times of requests.
    :param listening: a listening socket to use in place of the address.
    """
    place: dict[str, Any] = {"host": settings.address, "port": settings.port}
    if listening is not None:
        place = {"sockets": [listening]}
    _send_waitress_logs_to_events()
    server = waitress.create_server(
        application,
        **place,
        threads=settings.threads,
        backlog=BACKLOG,
        connection_limit=settings.threads + SPARE_CONNECTIONS,
        channel_request_lookahead=1,
        channel_timeout=settings.read_seconds,
        cleanup_interval=CLEANUP_SECONDS,
        max_request_header_size=MAX_HEADER_BYTES,
        # waitress refuses a body of exactly this size too.
        max_request_body_size=settings.max_body_bytes + 1,
        inbuf_overflow=NEVER_SPOOLED_BYTES,
        outbuf_overflow=NEVER_SPOOLED_BYTES,
        ident="boragestream",
        clear_untrusted_proxy_headers=True,
        asyncore_use_poll=True,
        _dispatcher=GrowingDispatcher(settings.threads),
    )
    server.trigger.close()
    server.trigger = OnceTrigger(server._map)
    server.channel_class = CallerConnection
    server.clock = clock or SystemClock()
    server.leaving = False
    server.caller_memory = memory
    _bound_kernel_buffers(server)
    server.adj.recv_bytes = READ_BYTES
    server.handle_accept = partial(_accept_several, server, server.handle_accept)
    memory.attach(server)
    return server


def _accept_several(server: BaseWSGIServer, accept: Callable[[], None]) -> None:
    for _ in range(ACCEPTED_AT_ONCE):
        if len(server._map) < server.adj.connection_limit:
            accept()


def _bound_kernel_buffers(server: BaseWSGIServer) -> None:
    # A fixed size also keeps the kernel from raising it by itself.
    received = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    unsent = (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
    server.adj.socket_options = [*server.adj.socket_options, received, unsent]


def close_after_next_answers(server: BaseWSGIServer) -> None:
    """Close each keep-alive connection after its next answer."""
    server.leaving = True


def stop_listening(server: BaseWSGIServer) -> None:
    """Accept connections that are already pending and refuse further ones."""

    def accept_and_close() -> None:
        for _ in range(BACKLOG):
            server.handle_accept()
        wasyncore.dispatcher.close(server)

    server.trigger.pull_trigger(accept_and_close)


def busy_connections(server: BaseWSGIServer) -> int:
    """Return how many connections have a request not yet answered completely."""
    channels = list(server.active_channels.values())
    return sum(channel.busy for channel in channels)


class _WaitressLogHandler(logging.Handler):
    """Emits an event for each log record of waitress.

    Its messages can contain paths, and a path can contain a key, so the event names
    only the module and function in waitress.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Emit the event."""
        error = record.exc_info[0].__name__ if record.exc_info else None
        place = f"{record.module}.{record.funcName}"
        emit(Event.HTTP_COMPLAINT, level=record.levelname, place=place, error=error)


def _send_waitress_logs_to_events() -> None:
    logger = logging.getLogger("waitress")
    logger.propagate = False
    logger.setLevel(logging.WARNING)
    logger.handlers = [_WaitressLogHandler()]
