"""Has the kernel end connections whose other end has gone without a word.

A machine that has lost power, or is behind a partition, answers nothing, and a
connection to it would hang until its timeout.
"""

import contextlib
import socket

__all__ = ["detect_dead_peer"]

# A probe is sent after IDLE_SECONDS and then each INTERVAL_SECONDS. On Linux the
# connection ends with the first probe that is due UNACKNOWLEDGED_MS after the last byte
# came, whatever COUNT says, which is after 3 s; data that is not acknowledged ends it
# after UNACKNOWLEDGED_MS. A peer that is silent for two seconds thus loses nothing.
# COUNT gives the same 3 s on systems without the other limit.
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
