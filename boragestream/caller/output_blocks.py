"""The output of a connection that its socket has not accepted yet.

waitress keeps output in one growing buffer, which holds every byte until the last one
was sent. Here each block is dropped as soon as all of its bytes were sent, so that what
is held can be told exactly.
"""

from collections import deque

__all__ = ["OutputBlocks"]

# Shorter pieces of output are joined up to this size: each block has some overhead.
BLOCK_BYTES = 65_536
SHORT_BYTES = 8_192


class OutputBlocks:
    """Blocks of output in their order; has the interface of a buffer of waitress."""

    def __init__(self) -> None:
        self._blocks: deque[bytes | bytearray] = deque()
        # The bytes of the first block that were sent.
        self._sent = 0
        self._held = 0

    def __len__(self) -> int:
        """Return how many bytes are still to be sent."""
        return self._held - self._sent

    @property
    def held(self) -> int:
        """The bytes that are held, with the sent ones of the first block."""
        return self._held

    def append(self, data: bytes) -> None:
        """Add output."""
        self._held += len(data)
        if len(data) >= SHORT_BYTES:
            self._blocks.append(data)
            return
        last = self._blocks[-1] if self._blocks else b""
        if isinstance(last, bytearray) and len(last) + len(data) <= BLOCK_BYTES:
            last += data
        else:
            self._blocks.append(bytearray(data))

    def get(self, size: int) -> bytes | memoryview:
        """Return the next bytes to send, at most so many."""
        if not self._blocks:
            return b""
        first, end = self._blocks[0], self._sent + min(size, BLOCK_BYTES)
        if isinstance(first, bytearray):
            # A view would keep the block from growing.
            return bytes(first[self._sent : end])
        return memoryview(first)[self._sent : end]

    def skip(self, size: int, allow_prune: bool = False) -> None:
        """Drop bytes that ``get`` has returned and that were sent."""
        self._sent += size
        if self._sent == len(self._blocks[0]):
            self._held -= self._sent
            self._sent = 0
            self._blocks.popleft()

    def close(self) -> None:
        """Drop everything."""
        self._blocks.clear()
        self._held = self._sent = 0
