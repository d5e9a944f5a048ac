"""Limits the requests in progress to peers: one for each peer and a few in total.

Several peers may offer the same new records at once, and one reply is enough. The parts
of the exchange decide what is requested and how long a reply may take.
"""

import threading

__all__ = ["OpenRequests"]

# A request to a suspended peer may hang; a second peer can be asked meanwhile.
MAX_OPEN_REQUESTS = 2


class OpenRequests:
    """The peers to which a request of one kind is in progress; thread-safe."""

    def __init__(self) -> None:
        self._peers: set[str] = set()
        self._lock = threading.Lock()

    def __bool__(self) -> bool:
        return bool(self._peers)

    def begin(self, peer: str) -> bool:
        """Record the start of a request; return False if none may start now."""
        with self._lock:
            if peer in self._peers or len(self._peers) >= MAX_OPEN_REQUESTS:
                return False
            self._peers.add(peer)
            return True

    def end(self, peer: str) -> None:
        """Record the end of a request."""
        with self._lock:
            self._peers.discard(peer)
