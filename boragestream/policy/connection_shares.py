"""How many idle connections an entry keeps to one server.

A server accepts a bounded number of connections from all entries together and resets
those beyond. A call that may not be repeated is lost with one that is reset, so that
half of a server's number is left to calls under way.
"""

__all__ = ["idle_connections"]

IDLE_SHARE = 0.5
MOST_IDLE = 8


def idle_connections(max_connections: int, entries: int) -> int:
    """Return the most idle connections to one server.

    :param max_connections: what a server accepts from all entries.
    :param entries: the live entries, this one included.
    """
    share = IDLE_SHARE * max_connections / max(1, entries)
    return min(MOST_IDLE, int(share))
