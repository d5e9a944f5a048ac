"""Opens the servers for readiness, metrics and the directory, one for each address.

They share nothing with the server for forwarded calls or with one another: a crowd that
takes up the connections or the memory of one of them leaves the others as they are.
"""

import socket
from collections.abc import Iterable
from typing import Any

from waitress.server import BaseWSGIServer

from boragestream.base.clock import Clock
from boragestream.base.memory_budget import MemoryBudget
from boragestream.base.settings import CallerSettings
from boragestream.caller.caller_memory import CallerMemory, RefusalFormat
from boragestream.caller.server import create_server

__all__ = ["open_page_servers"]

PAGE_THREADS = 4
# The connections of one address. The platform asks once a second, callers of the
# directory when their answers have expired.
PAGE_CONNECTIONS = 128
# The metrics of an entry at full size are about a megabyte. It is part of what an entry
# takes up before it holds anything for a caller.
PAGE_BYTES = 4 * 1_048_576
# No page takes a body.
PAGE_BODY_BYTES = 65_536
PAGE_IDLE_SECONDS = 30


def open_page_servers(
    application: Any,
    sockets: Iterable[socket.socket],
    refusals: RefusalFormat,
    clock: Clock,
) -> list[BaseWSGIServer]:
    """Return a server for each socket, not yet running.

    :param application: answers the requests at all addresses.
    :param sockets: listen already.
    :param refusals: the wire format of refusals.
    """
    return [_open(application, each, refusals, clock) for each in sockets]


def _open(
    application: Any, listening: socket.socket, refusals: RefusalFormat, clock: Clock
) -> BaseWSGIServer:
    address, port = listening.getsockname()
    settings = CallerSettings(
        address, port, PAGE_THREADS, PAGE_BODY_BYTES, PAGE_IDLE_SECONDS
    )
    budget = MemoryBudget(PAGE_BYTES, clock, max_waiting=PAGE_THREADS // 2)
    memory = CallerMemory(budget, refusals, clock)
    server = create_server(application, settings, memory, clock, listening)
    server.adj.connection_limit = PAGE_CONNECTIONS
    return server
