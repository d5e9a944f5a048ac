"""The failures that more than one package can meet.

A failure that belongs to one module alone stands in that module.
"""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure

__all__ = [
    "AccountLimitReached",
    "AccountOverShare",
    "CallerGone",
    "CannotMeetDeadline",
    "CentresDrained",
    "DeadlinePassed",
    "EntryBroken",
    "EntryCutOff",
    "EntryLeaving",
    "MemoryExhausted",
    "NoConfiguration",
    "NoLiveServer",
    "QueueFull",
    "ServersBackedOff",
    "ServersCold",
    "ServersFull",
    "ServersLimited",
]


@dataclass(frozen=True, slots=True)
class DeadlinePassed(Failure):
    """The request's deadline has passed.

    :ivar where: the step during which it passed.
    """

    where: str


@dataclass(frozen=True, slots=True)
class CannotMeetDeadline(Failure):
    """The time left is less than the remaining stages are expected to need.

    :ivar left_ms: milliseconds left.
    :ivar needed_ms: milliseconds expected to be needed.
    """

    left_ms: int
    needed_ms: int


@dataclass(frozen=True, slots=True)
class QueueFull(Failure):
    """The queue already holds as much work as it may.

    :ivar queued: how many requests are waiting.
    """

    queued: int


@dataclass(frozen=True, slots=True)
class AccountLimitReached(Failure):
    """The client account is over a limit of its own.

    :ivar account: the client account's name.
    :ivar limit: the name of the limit.
    """

    account: str
    limit: str


@dataclass(frozen=True, slots=True)
class AccountOverShare(Failure):
    """The client account exceeds its share of what is scarce.

    :ivar account: the client account's name.
    :ivar wait_ms: when the account's own backlog will have been served, in
        milliseconds.
    """

    account: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class NoLiveServer(Failure):
    """No backend server of the service can take the call.

    :ivar service: the service's name.
    """

    service: str


@dataclass(frozen=True, slots=True)
class CentresDrained(Failure):
    """Every server of the service that is left stands in a drained data centre.

    :ivar service: the service's name.
    """

    service: str


@dataclass(frozen=True, slots=True)
class ServersBackedOff(Failure):
    """Every server of the service has told this entry to come back later.

    :ivar left_seconds: until the first of them may be called.
    """

    service: str
    left_seconds: float


@dataclass(frozen=True, slots=True)
class ServersCold(Failure):
    """The servers of the service have just started and get few requests yet.

    :ivar service: the service's name.
    """

    service: str


@dataclass(frozen=True, slots=True)
class ServersFull(Failure):
    """Every server of the service has all its places taken, and bears no rejections.

    :ivar service: the service's name.
    :ivar left_seconds: until one of them is expected to have a place.
    """

    service: str
    left_seconds: float


@dataclass(frozen=True, slots=True)
class ServersLimited(Failure):
    """Every server of the service has a limit, and none takes the call in time.

    :ivar service: the service's name.
    :ivar left_seconds: the seconds after which the caller should return.
    :ivar wait_seconds: the expected wait for the earliest permit.
    :ivar region: the region of these servers; empty if it is not known.
    """

    service: str
    left_seconds: float
    wait_seconds: float = 0.0
    region: str = ""


@dataclass(frozen=True, slots=True)
class NoConfiguration(Failure):
    """No document is in force yet."""


@dataclass(frozen=True, slots=True)
class EntryLeaving(Failure):
    """The entry is stopping and takes no new request."""


@dataclass(frozen=True, slots=True)
class MemoryExhausted(Failure):
    """The entry has no memory left for the request.

    :ivar size: the number of bytes that were not granted.
    :ivar limit: the number of bytes that the entry may hold for others.
    """

    size: int
    limit: int


@dataclass(frozen=True, slots=True)
class EntryBroken(Failure):
    """The entry met an error of its own."""


@dataclass(frozen=True, slots=True)
class EntryCutOff(Failure):
    """The entry reaches no server of the service, and no other entry could be asked.

    :ivar service: the service's name.
    """

    service: str


@dataclass(frozen=True, slots=True)
class CallerGone(Failure):
    """The caller closed its connection before the answer was complete."""
