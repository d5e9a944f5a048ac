"""The routes in force, whose version only increases.

A request uses the same version throughout. ``platform`` reads the published text;
``entry.relay`` sends it to other entries.
"""

import random
import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.document.digest import text_digest
from boragestream.document.routes import (
    Route,
    RouteAccount,
    RouteDocument,
    RouteService,
    key_digest,
)
from boragestream.policy.configuration import KEPT_TEXTS, Offer
from boragestream.policy.route_targets import ReplacedTargets, replace_targets
from boragestream.policy.urgency import least_priority, urgency

__all__ = [
    "KeyUnknown",
    "RouteTable",
    "RouteUnknown",
    "RoutesInForce",
    "ServiceTable",
    "choose_service",
    "make_table",
]


@dataclass(frozen=True, slots=True)
class RouteUnknown(Failure):
    """No route of the request's host begins its path."""


@dataclass(frozen=True, slots=True)
class KeyUnknown(Failure):
    """The request's key is missing or belongs to no client account."""


@dataclass(frozen=True, slots=True)
class ServiceTable:
    """What requests need of their version until they end.

    It holds neither routes nor accounts: there may be thousands of these, and a long
    request would keep those of a version that was replaced soon after it began.

    :ivar services: the services by name.
    :ivar replaced: the targets of versions that were in force lately.
    """

    version: int
    services: Mapping[str, RouteService] = field(repr=False)
    replaced: tuple[ReplacedTargets, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A version of the routes with its lookup tables.

    :ivar digest: the digest of the published text.
    :ivar routes: the routes by host, the longest prefix first.
    :ivar accounts: the client accounts by the digest of each of their keys.
    :ivar service_table: the part that requests keep.
    :ivar least_priority: the priority of the most urgent client accounts.
    """

    document: RouteDocument
    digest: str
    routes: dict[str, tuple[Route, ...]] = field(repr=False)
    accounts: dict[str, RouteAccount] = field(repr=False)
    service_table: ServiceTable = field(repr=False)
    least_priority: int = 0

    @property
    def version(self) -> int:
        """The document's version."""
        return self.document.version

    @property
    def services(self) -> Mapping[str, RouteService]:
        """The services by name."""
        return self.service_table.services

    def route(self, host: str, path: str) -> Route | RouteUnknown:
        """Return the route with the longest prefix that matches the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return RouteUnknown()

    def account(self, route: Route, key: str) -> RouteAccount | KeyUnknown | None:
        """Return the client account of a key.

        :returns: None if there are no accounts, or if the route is public and the key
            belongs to no account.
        """
        if not self.accounts:
            return None
        found = self.accounts.get(key_digest(key)) if key else None
        if found is None and not route.public:
            return KeyUnknown()
        return found

    def urgency(self, route: Route, account: RouteAccount | None) -> int:
        """Return the urgency of a request; 0 is the most urgent."""
        account_priority = account.priority if account is not None else None
        return urgency(route.priority, account_priority, self.least_priority)


def make_table(
    document: RouteDocument,
    digest: str,
    before: RouteTable | None = None,
    now: float = 0.0,
) -> RouteTable:
    """Return a document with its lookup tables.

    :param before: the version that it replaces.
    :param now: the clock's time, in seconds.
    """
    by_host: dict[str, list[Route]] = {}
    for route in document.routes:
        by_host.setdefault(route.host, []).append(route)
    routes = {
        host: tuple(sorted(of_host, key=lambda r: -len(r.prefix)))
        for host, of_host in by_host.items()
    }
    replaced: tuple[ReplacedTargets, ...] = ()
    if before is not None:
        known = before.service_table.replaced
        replaced = replace_targets(known, before.routes, routes, now)
    services = {service.name: service for service in document.services}
    return RouteTable(
        document=document,
        digest=digest,
        routes=routes,
        accounts={d: a for a in document.accounts for d in a.key_digests},
        service_table=ServiceTable(document.version, services, replaced),
        least_priority=least_priority(document.accounts),
    )


class RoutesInForce:
    """Holds the version in force and accepts or rejects offered versions."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: RouteTable | None = None
        self._texts: OrderedDict[str, bytes] = OrderedDict()
        self._listeners: list[Callable[[RouteTable], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> RouteTable | None:
        """The version in force; None before the first one."""
        return self._current

    def add_listener(self, listener: Callable[[RouteTable], None]) -> None:
        """Register a function that is called after each version takes effect."""
        self._listeners.append(listener)

    def text(self, digest: str) -> bytes | None:
        """Return the text of a recent version; None if it is not kept."""
        return self._texts.get(digest)

    def offer(self, document: RouteDocument, text: bytes) -> Offer:
        """Put a version in force if it is newer than the current one.

        :param text: the published text.
        """
        digest = text_digest(text)
        with self._lock:
            current = self._current
            if current is not None and document.version <= current.version:
                if document.version < current.version:
                    return Offer.OLDER
                return Offer.SAME if digest == current.digest else Offer.CONFLICT
            self._texts[digest] = text
            while len(self._texts) > KEPT_TEXTS:
                self._texts.popitem(last=False)
            table = make_table(document, digest, current, self._clock.now())
            self._current = table
        for listener in self._listeners:
            listener(table)
        return Offer.TAKEN


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, by their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service
