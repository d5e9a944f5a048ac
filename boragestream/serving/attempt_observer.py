"""Records for ``policy.server_reach`` how one attempt on a server goes."""

from collections.abc import Callable

from boragestream.policy.server_reach import OpenServerCall, ServerReach
from boragestream.policy.servers import Server

__all__ = ["ReachObserver"]


class ReachObserver:
    """One attempt, as ``backend.attempt`` reports it.

    :param abandon: cancels the attempt if its server turns out to be unreachable from
        this entry; None if it may not be sent again.
    """

    def __init__(
        self,
        reach: ServerReach,
        server: Server,
        abandon: Callable[[], None] | None = None,
    ) -> None:
        self._reach = reach
        self._server = server
        self._abandon = abandon
        self._call: OpenServerCall | None = None

    def unreached(self, since: float) -> None:
        """Record that no connection could be opened."""
        self._reach.note_failure(self._server, True, since)

    def sent(self, fresh: bool) -> None:
        """Record that the call is about to be sent."""
        self._call = self._reach.begin(self._server, fresh, self._abandon)

    def answered(self) -> None:
        """Record that the head of the answer has arrived."""
        if self._call is not None:
            self._reach.note_answer(self._call)

    def ended(self, failed: bool) -> None:
        """Record the end of the attempt; a second call does nothing.

        :param failed: whether its connection failed, or it was never answered.
        """
        call, self._call = self._call, None
        if call is not None:
            self._reach.end(call, failed)
