"""The number of idle connections that an entry keeps to one server.

A server accepts a limited number of connections from all entries together and resets
any further ones. If a call may not be repeated, it is lost with a reset connection.
Therefore half of a server's connections are reserved for calls in progress.
"""

__all__ = ["idle_connections"]

IDLE_SHARE = 0.5
MAX_IDLE = 8


def idle_connections(max_connections: int, entries: int) -> int:
    """Return the maximum number of idle connections to one server.

    :param max_connections: the connections that a server accepts from all entries.
    :param entries: the number of live entries, including this one.
    """
    share = IDLE_SHARE * max_connections / max(1, entries)
    return min(MAX_IDLE, int(share))
