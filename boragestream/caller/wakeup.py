"""Wakes the event loop of a server without ever waiting for it."""

from waitress.trigger import trigger

__all__ = ["OnceTrigger"]


class OnceTrigger(trigger):
    """A trigger that is pulled once until the event loop has seen it.

    A thread holds the lock of its connection's output while it wakes the loop, and the
    loop takes that lock. If the pipe between them could be full, each would wait for
    the other for ever.
    """

    def __init__(self, channels: dict[int, object]) -> None:
        self._pulled = False
        super().__init__(channels)

    def recv(self, size: int) -> bytes:
        """Empty the pipe; what is passed to the trigger from now on pulls it again."""
        data = super().recv(size)
        self._pulled = False
        return data

    def _physical_pull(self) -> None:
        if not self._pulled:
            self._pulled = True
            super()._physical_pull()
