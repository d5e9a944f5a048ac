"""Which peers are being asked: each one once, and only so many at a time.

News comes from several peers at once, and one answer is enough. What is asked, and how
long an answer may take, is left to the parts of the exchange.
"""

import threading

__all__ = ["OpenQuestions"]

# One question may hang on a peer that was paused; another peer is asked beside it.
QUESTIONS_AT_ONCE = 2


class OpenQuestions:
    """The questions of one kind that are open; any thread may use it."""

    def __init__(self) -> None:
        self._peers: set[str] = set()
        self._lock = threading.Lock()

    def __bool__(self) -> bool:
        return bool(self._peers)

    def begin(self, peer: str) -> bool:
        """Note a question that begins; False where none may begin now."""
        with self._lock:
            if peer in self._peers or len(self._peers) >= QUESTIONS_AT_ONCE:
                return False
            self._peers.add(peer)
            return True

    def end(self, peer: str) -> None:
        """Note that a question has ended."""
        with self._lock:
            self._peers.discard(peer)
