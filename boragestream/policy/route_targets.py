"""The services to which routes have led recently.

A stream that is taken up may have begun at a service to which its route no longer
leads, so that these services count among those whose versions may have begun it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from boragestream.document.routes import Route
from boragestream.policy.version_history import RETENTION_SECONDS

__all__ = ["ReplacedTargets", "RouteTargets", "find_services", "replace_targets"]

# Bounds the memory of a table while versions follow one another at once.
MAX_REPLACED = 64
# The prefix and the services of each route by host, the longest prefix first.
RouteTargets = Mapping[str, tuple[tuple[str, tuple[str, ...]], ...]]


@dataclass(frozen=True, slots=True)
class ReplacedTargets:
    """The targets of a version that is no longer in force.

    :ivar until: when it was replaced, in the clock's seconds.
    """

    targets: RouteTargets
    until: float


def collect_targets(
    routes: Mapping[str, tuple[Route, ...]], known: RouteTargets | None = None
) -> RouteTargets:
    """Return the services of each route.

    :param known: the targets of another version, whose equal parts are used again.
    """
    parts = {part: part for of_host in (known or {}).values() for part in of_host}

    def collect(route: Route) -> tuple[str, tuple[str, ...]]:
        part = (route.prefix, tuple(target.service for target in route.targets))
        return parts.get(part, part)

    return {host: tuple(map(collect, of_host)) for host, of_host in routes.items()}


def replace_targets(
    replaced: tuple[ReplacedTargets, ...],
    before: Mapping[str, tuple[Route, ...]],
    after: Mapping[str, tuple[Route, ...]],
    now: float,
) -> tuple[ReplacedTargets, ...]:
    """Return the replaced targets that still count once a version takes effect.

    :param replaced: those that counted until now.
    :param before: the routes of the version that is replaced, by host.
    """
    recent = [r for r in replaced if now - r.until < RETENTION_SECONDS]
    targets = collect_targets(before, recent[-1].targets if recent else None)
    if targets != collect_targets(after):
        recent.append(ReplacedTargets(targets, now))
    return tuple(recent[-MAX_REPLACED:])


def find_services(
    replaced: tuple[ReplacedTargets, ...], host: str, path: str, now: float
) -> list[str]:
    """Return the services to which a request would have been sent recently."""
    services: list[str] = []
    for each in replaced:
        if now - each.until < RETENTION_SECONDS:
            of_host = each.targets.get(host, ())
            matches = (s for prefix, s in of_host if path.startswith(prefix))
            services += next(matches, ())
    return services
