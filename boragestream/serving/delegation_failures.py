"""How the delegation of a request to another entry can fail."""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure

__all__ = ["DelegateFailed", "DelegateRefused"]


@dataclass(frozen=True, slots=True)
class DelegateRefused(Failure):
    """The entry to which the request was delegated refused it; it did not run.

    :ivar entry: the entry's name.
    :ivar left_seconds: the seconds after which the caller should return.
    """

    entry: str
    status: int
    left_seconds: float


@dataclass(frozen=True, slots=True)
class DelegateFailed(Failure):
    """The entry to which the request was delegated failed to serve it."""

    entry: str
    status: int
