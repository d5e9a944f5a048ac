"""Selects the servers that an attempt may use: with room and without recent failure.

Choosing among them is left to ``policy.routing``.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from boragestream.policy.circuits import is_open
from boragestream.policy.concurrency import is_full
from boragestream.policy.easing import eased_limit, eased_share
from boragestream.policy.load import LoadTable, ServerLoad
from boragestream.policy.servers import Server

__all__ = ["RoutingNeed", "usable_servers"]


@dataclass(frozen=True, slots=True)
class RoutingNeed:
    """The requirements of an attempt on its server.

    :ivar avoid: the names of servers that the stage has tried already.
    :ivar prefix: the key of the prompt's prefix; None if caches don't matter.
    :ivar without: the mechanisms that are switched off.
    """

    avoid: frozenset[str] = frozenset()
    prefix: int | None = None
    without: tuple[str, ...] = ()


def usable_servers(
    servers: Sequence[Server],
    loads: LoadTable,
    need: RoutingNeed,
    now: float,
    strict: bool = False,
) -> list[Server]:
    """Return the servers that have room and are not ejected.

    If all servers are ejected, ejection is ignored, so that it never leaves a service
    without a server.

    :param strict: whether to return none in that case.
    """
    candidates = [(s, loads.get(s)) for s in servers if s.name not in need.avoid]
    with_room = [(s, load) for s, load in candidates if _has_room(load, need, now)]
    if "ejection" not in need.without:
        closed = [(s, load) for s, load in with_room if not is_open(load.circuit, now)]
        all_failed = all(is_open(load.circuit, now) for _, load in candidates)
        with_room = closed if closed or strict or not all_failed else with_room
    return [server for server, _ in with_room]


def _has_room(load: ServerLoad, need: RoutingNeed, now: float) -> bool:
    if "concurrency-limit" in need.without:
        return True
    limit = load.limit
    if "easing" not in need.without:
        limit = eased_limit(limit, eased_share(load.eased_from, now))
    if load.in_progress >= limit:
        return False
    slots = load.report.slots if load.report else 0
    return "load-reports" in need.without or not is_full(load.calls(now), slots)
