"""Look-ups of services in the routes in force, for the objects of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.document.routes import PieceLimits, RouteService
from boragestream.policy.connection_shares import idle_connections
from boragestream.policy.route_table import RoutesInForce

__all__ = ["ServiceDefinitions"]


@dataclass(frozen=True, slots=True)
class ServiceDefinitions:
    """The services as the routes in force define them.

    :ivar entries: returns the number of known entries.
    """

    routes: RoutesInForce
    entries: Callable[[], int]

    def definition(self, service: str) -> RouteService | None:
        """Return the definition of a service; None if it is not defined."""
        table = self.routes.current
        return table.services.get(service) if table is not None else None

    def max_idle(self, service: str) -> int:
        """Return how many idle connections this entry may keep to a server."""
        definition, count = self.definition(service), self.entries()
        return idle_connections(definition.max_connections, count) if definition else 0

    def health_path(self, service: str) -> str:
        """Return the health path of a plain service; empty for any other service."""
        definition = self.definition(service)
        if definition is None or definition.pieces or definition.engine:
            return ""
        return definition.health_path

    def piece_limits(self, service: str) -> PieceLimits | None:
        """Return the limits of a stage service; None for any other service."""
        definition = self.definition(service)
        return definition.pieces if definition is not None else None

    def is_staged(self, service: str) -> bool:
        """Return whether a service is a stage service."""
        return self.piece_limits(service) is not None

    def longest_stream(self) -> float:
        """Return the longest time in seconds that a resumable stream may last."""
        table = self.routes.current
        if table is None:
            return 0.0
        streams = (r for r in table.document.routes if r.resumable)
        return max((route.timeout_seconds for route in streams), default=0.0)
