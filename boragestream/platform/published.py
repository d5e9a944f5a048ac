"""The platform's published routes and backend servers, decoded into records."""

import hashlib
import re
import socket
from dataclasses import dataclass
from typing import Annotated

import msgspec

from boragestream.base.outcomes import Failure
from boragestream.document.routes import (
    CallerLimits,
    CallKind,
    EngineLimits,
    PieceLimits,
    Route,
    RouteAccount,
    RouteDocument,
    RouteService,
    RouteStage,
    RouteTarget,
    key_digest,
)
from boragestream.platform.store import DRAINED_PREFIX, SERVERS_PREFIX
from boragestream.policy.servers import Server, ServerState

__all__ = [
    "PublishedMalformed",
    "read_drained_centre",
    "read_route_document",
    "read_server",
]

KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.ONCE,
    "stream": CallKind.STREAM,
}
# What can stand in a header as it is, without a slash; the store's keys have 200 bytes
# at the most.
NAME = re.compile(r"[!-.0-~]{1,200}", re.ASCII)
PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
MAX_PORT = 65535
# Addresses whose first byte is this or more belong to no single machine.
FIRST_MULTICAST = 224
MAX_VERSION_CHARACTERS = 64
# Larger numbers in a server's entry are not a server's. Messages between entries carry
# 64 bits, and the sum of larger numbers and floats raises.
MAX_COUNT = 2**63 - 1
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Bounds on the numbers of a configuration, within which the arithmetic of entries and
# the timeouts of sockets hold. The largest time in milliseconds is 31 years.
Whole = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
Real = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}


@dataclass(frozen=True, slots=True)
class PublishedMalformed(Failure):
    """A published value can't be read.

    :ivar reason: why.
    """

    reason: str


class _Target(msgspec.Struct, frozen=True):
    service: str
    weight: Real = 1.0


class _Stage(msgspec.Struct, frozen=True):
    service: str
    after: tuple[Whole, ...] = ()
    # The approximate size of one result.
    bytes: Real = 0.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Real
    goal_ms: Real = 0.0
    priority: Whole = 0
    service: str = ""
    # The services among which calls are divided, in place of ``service``.
    backends: tuple[_Target, ...] = ()
    attempts: Whole = 1
    stages: tuple[_Stage, ...] = ()
    public: bool = False
    resumable: bool = False
    home_regions: tuple[str, ...] = ()


class _Pieces(msgspec.Struct, frozen=True):
    slots: Whole = 1
    batch: Whole = 1
    call_ms: Real = 0.0
    item_ms: Real = 0.0
    # Room for results, not head room.
    headroom_mb: Real = 0.0
    handle_s: Real = 1.0


class _Engine(msgspec.Struct, frozen=True):
    slots: Whole = 1
    kv_cap_tokens: Real = 0.0


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: Whole = 64
    # How long a server is cold after its start, and the requests a second that it
    # tolerates meanwhile; 0 for any number.
    cold_s: Real = 0.0
    cold_per_s: Real = 0.0
    health_path: str = ""
    pieces: _Pieces | None = None
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Whole | None = None
    home_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: Whole = 16384
    max_body_bytes: Whole = 4194304
    header_timeout_ms: Real = 3000.0
    idle_timeout_ms: Real = 15000.0


class _Config(msgspec.Struct, frozen=True):
    version: Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Server(msgspec.Struct, frozen=True):
    """An entry of a server; one that lacks a field is of another writer."""

    service: str
    # The address and port of its calls.
    addr: str
    zone: str
    # Of its software.
    version: str
    # How many requests it works on at once.
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: str
    # How much longer it is cold, when it wrote this; negative once it is warm.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)]
    # The number of orders that it has accepted.
    seq: Count
    # The Unix millisecond of its start; not published on every platform.
    born: Count | msgspec.UnsetType = msgspec.UNSET


_configs = msgspec.json.Decoder(_Config)
_servers = msgspec.json.Decoder(_Server)


def read_route_document(value: bytes) -> RouteDocument | PublishedMalformed:
    """Decode the published configuration; unknown fields are left alone."""
    try:
        config = _configs.decode(value)
        return RouteDocument(
            version=config.version,
            routes=tuple(_route(route) for route in config.routes),
            services=tuple(_service(service) for service in config.services),
            accounts=tuple(_account(tenant) for tenant in config.tenants),
            limits=_limits(config.limits),
        )
    except (msgspec.DecodeError, KeyError, RecursionError) as error:
        return PublishedMalformed(repr(error))


def read_server(key: str, value: bytes) -> Server | PublishedMalformed:
    """Decode the entry of a backend server.

    :param key: its key in the store; what follows the prefix is the server's id.
    :returns: why, where the entry is not one that a server wrote.
    """
    name = key.removeprefix(SERVERS_PREFIX)
    if not NAME.fullmatch(name):
        return PublishedMalformed("no server's key")
    try:
        entry = _servers.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        return PublishedMalformed(repr(error))
    state = STATES.get(entry.state)
    if state is None:
        return PublishedMalformed("unknown state")
    if not _is_address(entry.addr):
        return PublishedMalformed("no address")
    born_known = entry.born is not msgspec.UNSET
    return Server(
        name=name,
        service=entry.service,
        host=entry.addr,
        data_centre=entry.zone,
        incarnation=str(entry.born) if born_known else name,
        state=state,
        started_ms=entry.born if born_known else 0,
        cold_seconds=max(0.0, entry.cold_left_ms / 1000),
        slots=entry.slots,
        version=_version(entry.version),
    )


def read_drained_centre(key: str) -> str | PublishedMalformed:
    """Decode the key of an order to drain a data centre.

    The key alone is the order: one whose value can't be read is obeyed as well.
    """
    name = key.removeprefix(DRAINED_PREFIX)
    if name == key or not NAME.fullmatch(name):
        return PublishedMalformed("no data centre's key")
    return name


def _version(text: str) -> str:
    """Return a version as it is, or a digest of one that is too long to be sent on."""
    if len(text) <= MAX_VERSION_CHARACTERS:
        return text
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def _is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address that can be called, with a port."""
    address, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        first = socket.inet_pton(socket.AF_INET, address)[0]
    except (OSError, ValueError):
        return False
    return 0 < first < FIRST_MULTICAST


def _route(route: _Route) -> Route:
    targets = tuple(RouteTarget(t.service, t.weight) for t in route.backends)
    stages = tuple(RouteStage(s.service, s.after, s.bytes) for s in route.stages)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=KINDS[route.kind],
        targets=targets or (RouteTarget(route.service),),
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=(route.goal_ms or route.timeout_ms) / 1000,
        priority=route.priority,
        attempts=max(1, route.attempts),
        public=route.public,
        resumable=route.resumable,
        stages=stages,
        regions=frozenset(route.home_regions),
    )


def _service(service: _Service) -> RouteService:
    pieces, engine = service.pieces, service.engine
    return RouteService(
        name=service.name,
        max_connections=service.max_conns,
        pieces=None if pieces is None else _piece_limits(pieces),
        engine=None
        if engine is None
        else EngineLimits(engine.slots, engine.kv_cap_tokens),
        cold_rate=max(0.0, service.cold_per_s),
        cold_seconds=max(0.0, service.cold_s),
        health_path=service.health_path if service.health_path[:1] == "/" else "",
    )


def _piece_limits(pieces: _Pieces) -> PieceLimits:
    return PieceLimits(
        concurrent_calls=max(1, pieces.slots),
        batch=max(1, pieces.batch),
        call_seconds=pieces.call_ms / 1000,
        piece_seconds=pieces.item_ms / 1000,
        memory_mb=pieces.headroom_mb,
        result_seconds=pieces.handle_s,
    )


def _account(tenant: _Tenant) -> RouteAccount:
    digests = frozenset(key_digest(key) for key in tenant.api_keys)
    regions = frozenset(tenant.home_regions)
    return RouteAccount(tenant.name, digests, tenant.priority, regions)


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_seconds=limits.header_timeout_ms / 1000,
        idle_seconds=limits.idle_timeout_ms / 1000,
    )
