"""What can go wrong with an attempt of a call on a backend server.

Each failure says whether the server may have run the call, which decides the outcome
that the caller is told.
"""

from dataclasses import dataclass
from enum import Enum

from boragestream.base.outcomes import Failure

__all__ = [
    "AnswerCrossed",
    "AnswerCut",
    "AnswerTooLarge",
    "AnswerUnread",
    "AttemptCancelled",
    "AttemptFailure",
    "CallUnread",
    "ConnectFailed",
    "PlacesTaken",
    "Ran",
    "ServerBackedOff",
    "ServerCold",
    "ServerErred",
    "ServerLeft",
    "ServerLimited",
    "ServerRefused",
]


class Ran(Enum):
    """Whether a server may have run a call."""

    NOT_SENT = "no byte of the call was sent"
    NOT_RUN = "the server says that it did not run the call"
    MAY_HAVE_RUN = "the call was sent and not answered whole"


@dataclass(frozen=True, slots=True)
class AttemptFailure(Failure):
    """The base of what can go wrong with an attempt.

    :ivar server: the server's name.
    :ivar ran: whether the server may have run the call.
    """

    server: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class ConnectFailed(AttemptFailure):
    """The server could not be reached."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerLeft(AttemptFailure):
    """The server began to leave between its choice and the first byte."""


@dataclass(frozen=True, slots=True)
class ServerBackedOff(AttemptFailure):
    """The server told this entry to come back later, and it is not later yet."""


@dataclass(frozen=True, slots=True)
class ServerCold(AttemptFailure):
    """The server has just started and may get no further request now."""


@dataclass(frozen=True, slots=True)
class ServerLimited(AttemptFailure):
    """The server has a limit, and there is no valid permit to call it."""


@dataclass(frozen=True, slots=True)
class PlacesTaken(AttemptFailure):
    """The server bears no rejected calls, and no place was held for this one."""


@dataclass(frozen=True, slots=True)
class ServerRefused(AttemptFailure):
    """The server says that it did not run the call.

    :ivar status: the HTTP status.
    :ivar leaving: whether the server says that it is leaving.
    :ivar backoff_seconds: after how long it wants to be called again; None where it
        does not say.
    """

    status: int
    leaving: bool
    backoff_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ServerErred(AttemptFailure):
    """The server answered with an error status.

    :ivar status: the HTTP status.
    :ivar leaving: whether the server says that it is leaving.
    """

    status: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class AnswerCut(AttemptFailure):
    """The answer ended before its end mark, or could not be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerCrossed(AttemptFailure):
    """The answer echoes the ids of another call and was discarded."""

    echoed: str


@dataclass(frozen=True, slots=True)
class AttemptCancelled(AttemptFailure):
    """The attempt was cancelled.

    :ivar reason: why.
    """

    reason: Failure


@dataclass(frozen=True, slots=True)
class AnswerTooLarge(AttemptFailure):
    """The answer is longer, or nested deeper, than any answer may be.

    :ivar limit: the limit that it passed, with its unit.
    """

    limit: str


@dataclass(frozen=True, slots=True)
class CallUnread(AttemptFailure):
    """The server stopped reading the call.

    :ivar sent: the bytes of the call that had been sent.
    :ivar size: the bytes of the whole call.
    :ivar seconds: how long no further byte could be sent.
    """

    sent: int
    size: int
    seconds: float


@dataclass(frozen=True, slots=True)
class AnswerUnread(AttemptFailure):
    """The entry had no memory to read the answer.

    :ivar size: the bytes that were not granted.
    """

    size: int
