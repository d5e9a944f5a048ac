"""Has the kernel end connections whose other end has gone without a word.

A machine that has lost power, or is behind a partition, answers nothing, and a
connection to it would hang until its timeout.
"""

import contextlib
import socket

__all__ = ["detect_dead_peer"]

# Such connections end after about IDLE + INTERVAL x COUNT seconds. Callers give a
# stream up after two seconds at the least; a resumed one should be found earlier.
IDLE_SECONDS = 1
INTERVAL_SECONDS = 1
COUNT = 2
UNACKNOWLEDGED_MS = 2500


def detect_dead_peer(sock: socket.socket) -> None:
    """Switch probes on for a connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, IDLE_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, INTERVAL_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, COUNT)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
