"""The records of published routes: which calls go to which service, and how.

A route forwards a caller's HTTP request unchanged to a backend server, after the stages
that it needs. The records are immutable, so that a request keeps using the version with
which it began. Decoding a published text is left to ``platform``; choosing among
routes, accounts and servers to ``policy``.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "CallKind",
    "CallerLimits",
    "EngineLimits",
    "PieceLimits",
    "Route",
    "RouteAccount",
    "RouteDocument",
    "RouteService",
    "RouteStage",
    "RouteTarget",
    "key_digest",
]


class CallKind(Enum):
    """What may be repeated of a call."""

    IDEMPOTENT = "may run more than once"
    ONCE = "runs at most once"
    STREAM = "a stream of numbered events, which runs at most once unless resumable"


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service to which a route sends a share of its calls."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RouteStage:
    """Work that must be done before a call can run.

    :ivar after: the numbers of the stages whose results it needs.
    :ivar result_bytes: the approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Calls of one host whose path begins with a prefix.

    :ivar prefix: begins and ends with a slash.
    :ivar timeout_seconds: the longest that a caller is kept waiting.
    :ivar objective_seconds: an answer is worth most within this time; of a stream, its
        first event.
    :ivar priority: 0 is the most urgent.
    :ivar attempts: the most servers to which one request is sent.
    :ivar public: whether it is served without a key.
    :ivar resumable: whether a stream may go on at another server.
    :ivar regions: where alone it may be served; empty for anywhere.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    targets: tuple[RouteTarget, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    stages: tuple[RouteStage, ...] = ()
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a call may be sent again after it may have run."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class PieceLimits:
    """What one backend server of a stage service can take.

    :ivar concurrent_calls: calls that it works on at a time.
    :ivar batch: pieces in one call at the most.
    :ivar call_seconds: the fixed time of a call.
    :ivar piece_seconds: the approximate time of each piece in it.
    :ivar memory_mb: room for results.
    :ivar result_seconds: how long a result is kept.
    """

    concurrent_calls: int
    batch: int
    call_seconds: float
    piece_seconds: float
    memory_mb: float
    result_seconds: float

    @property
    def full_call_seconds(self) -> float:
        """The usual time of a call with as many pieces as it can have."""
        return self.call_seconds + self.batch * self.piece_seconds


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one model engine can take.

    :ivar slots: requests that run at a time.
    :ivar memory_tokens: tokens that fit in its memory.
    """

    slots: int
    memory_tokens: float


@dataclass(frozen=True, slots=True)
class RouteService:
    """A group of backend servers that answer the same calls.

    :ivar max_connections: connections that one server accepts from all entries.
    :ivar pieces: set for services that run stages.
    :ivar engine: set for model engines.
    :ivar health_path: answers whether a server is well; empty where it has none.
    :ivar cold_rate: requests a second that a server tolerates while it is cold; 0 where
        that is not bounded.
    :ivar cold_seconds: how long a server is cold after its start.
    """

    name: str
    max_connections: int
    pieces: PieceLimits | None = None
    engine: EngineLimits | None = None
    cold_rate: float = 0.0
    cold_seconds: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class RouteAccount:
    """A client account.

    :ivar key_digests: SHA-256 of each key in force, in hexadecimal.
    :ivar priority: goes before the route's; None where the account has none.
    :ivar regions: where alone its requests may be served; empty for anywhere.
    """

    name: str
    key_digests: frozenset[str] = field(repr=False)
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how slowly."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """One published version of routes, services, accounts and limits.

    :ivar accounts: empty where requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RouteService, ...]
    accounts: tuple[RouteAccount, ...]
    limits: CallerLimits


def key_digest(key: str) -> str:
    """Return the digest under which a key is looked up."""
    return hashlib.sha256(key.encode()).hexdigest()
