"""Records of what the calls of an entry show of its links to backend servers.

Times are in the clock's seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.policy.servers import Server

__all__ = ["CutEvidence", "OpenServerCall"]


@dataclass(frozen=True, slots=True)
class CutEvidence:
    """Why an entry counts as cut off from a service.

    :ivar failed: the data centres in which calls failed.
    :ivar silent_seconds: the time since the service last answered this entry.
    :ivar witness: an entry that the service answered since.
    :ivar witness_age: the seconds since that answer.
    """

    service: str
    failed: tuple[str, ...]
    silent_seconds: float
    witness: str
    witness_age: float


@dataclass(slots=True, eq=False)
class OpenServerCall:
    """A call that was sent and has not ended.

    :ivar heard_at: when it was sent, or when its last bytes arrived.
    :ivar answered: whether the head of its answer has arrived.
    :ivar abandon: cancels the call; None if it may not be sent again elsewhere.
    """

    server: Server
    fresh: bool
    sent_at: float
    heard_at: float
    answered: bool = False
    abandon: Callable[[], None] | None = None
