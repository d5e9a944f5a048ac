"""Combines the metrics of entries that forward by routes into one status.

Counts are added up. The other figures can't be: each entry measures the same links, and
estimates an account's share and demand for all entries, so that one entry's value is
shown.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from boragestream.base.outcomes import Failure
from boragestream.operator.client import EntryUnreachable
from boragestream.operator.route_samples import RouteSamples, read_samples

__all__ = [
    "AccountSurplus",
    "RegionTraffic",
    "RouteEntryStatus",
    "RouteFleetStatus",
    "route_fleet_status",
]


@dataclass(frozen=True, slots=True)
class RouteEntryStatus:
    """What one entry tells.

    :ivar address: of its metrics.
    :ivar version: of the routes in force; 0 for none.
    :ivar servers: backend servers that it lists.
    :ivar entries: entries that it believes to serve, itself included.
    :ivar list_age: seconds since the platform confirmed its list of servers.
    :ivar cold_servers: servers that it takes for cold.
    :ivar drained_centres: data centres whose servers it sends nothing.
    :ivar limited_servers: servers that take few requests from all entries together.
    :ivar list_era: of the store, as far as its list of servers is known.
    :ivar list_revision: of that era.
    :ivar held_values: values used against what a store says that came back from a copy.
    :ivar memory_bytes: bytes held for others, by kind; empty without a limit.
    :ivar memory_limit: bytes that may be held; 0 without a limit.
    :ivar memory_refused: requests refused for memory.
    :ivar slow_readers_abandoned: connections closed since their callers did not read.
    """

    address: str
    version: int
    in_hand: int
    servers: int
    entries: int
    list_age: float
    cold_servers: int = 0
    drained_centres: int = 0
    limited_servers: int = 0
    list_era: int = 0
    list_revision: int = 0
    held_values: int = 0
    memory_bytes: dict[str, int] = field(default_factory=dict)
    memory_limit: int = 0
    memory_refused: int = 0
    slow_readers_abandoned: int = 0


@dataclass(frozen=True, slots=True)
class RegionTraffic:
    """What entries of other regions tell of the link to one region.

    :ivar round_trip_seconds: the longest recent round trip of any entry; 0 if unknown.
    :ivar window: the smallest window of any entry, in optional bytes a second.
    :ivar bytes: bytes exchanged with the region by all entries, by kind.
    """

    round_trip_seconds: float
    window: float
    bytes: dict[str, int]


@dataclass(frozen=True, slots=True)
class AccountSurplus:
    """The refused surplus of a client account at one place.

    :ivar place: a service, or ``threads``.
    :ivar share: at the last refusal, of the entry that refused the most.
    :ivar demand: likewise.
    :ivar refused: requests refused by all entries.
    """

    account: str
    place: str
    share: float
    demand: float
    refused: int


@dataclass(frozen=True, slots=True)
class RouteFleetStatus:
    """What all entries tell together; counts are since each entry's start.

    :ivar requests: by route and outcome.
    :ivar attempts: at servers, by service and how they ended.
    :ivar regions: the links to other regions, by region.
    :ivar accounts: the refused surplus of accounts, the most refusals first.
    :ivar unserved: requests that were not served, by route and cause.
    :ivar borrowed_chains: chains offered to other regions, by region and answer.
    """

    entries: tuple[RouteEntryStatus, ...]
    requests: dict[str, dict[str, int]]
    attempts: dict[str, dict[str, int]]
    unreachable: tuple[Failure, ...]
    regions: dict[str, RegionTraffic]
    accounts: tuple[AccountSurplus, ...]
    unserved: dict[str, dict[str, int]]
    borrowed_chains: dict[str, dict[str, int]]


def route_fleet_status(addresses: Iterable[str]) -> RouteFleetStatus:
    """Ask every address; one that gives no whole answer is listed as unreachable."""
    read: list[tuple[str, RouteSamples]] = []
    unreachable: list[Failure] = []
    for address in addresses:
        samples = read_samples(address)
        if isinstance(samples, EntryUnreachable):
            unreachable.append(samples)
        else:
            read.append((address, samples))
    fleet = [samples for _, samples in read]
    return RouteFleetStatus(
        entries=tuple(_entry(address, samples) for address, samples in read),
        requests=_sums(fleet, "requests_total", "route", "outcome"),
        attempts=_sums(fleet, "attempts_total", "service", "end"),
        unreachable=tuple(unreachable),
        regions=_regions(fleet),
        accounts=_accounts(fleet),
        unserved=_sums(fleet, "unserved_total", "route", "cause"),
        borrowed_chains=_sums(fleet, "borrowed_chains_total", "region", "end"),
    )


def _entry(address: str, samples: RouteSamples) -> RouteEntryStatus:
    values = samples.plain()
    held = samples.labelled("memory_bytes", "kind")
    return RouteEntryStatus(
        address=address,
        version=int(values.get("version", 0)),
        in_hand=int(values.get("in_hand", 0)),
        servers=int(values.get("servers", 0)),
        entries=int(values.get("entries", 0)),
        list_age=round(values.get("server_list_age", 0.0), 1),
        cold_servers=int(values.get("cold_servers", 0)),
        drained_centres=int(values.get("drained_centres", 0)),
        limited_servers=int(values.get("limited_servers", 0)),
        list_era=int(values.get("list_era", 0)),
        list_revision=int(values.get("list_revision", 0)),
        held_values=int(values.get("held_values", 0)),
        memory_bytes={kind: int(value) for (kind,), value in held},
        memory_limit=int(values.get("memory_limit_bytes", 0)),
        memory_refused=int(values.get("memory_refused_total", 0)),
        slow_readers_abandoned=int(values.get("slow_readers_abandoned_total", 0)),
    )


def _sums(
    fleet: Iterable[RouteSamples], name: str, by: str, kind: str
) -> dict[str, dict[str, int]]:
    counts: dict[str, Counter[str]] = {}
    for samples in fleet:
        samples.add_to(counts, name, by, kind)
    return {group: dict(members) for group, members in sorted(counts.items())}


def _regions(fleet: Iterable[RouteSamples]) -> dict[str, RegionTraffic]:
    delays: dict[str, list[float]] = {}
    windows: dict[str, list[float]] = {}
    sizes: dict[str, Counter[str]] = {}
    for samples in fleet:
        samples.add_to(sizes, "region_bytes_total", "region", "kind")
        for (region,), value in samples.labelled("region_round_trip_seconds", "region"):
            delays.setdefault(region, []).append(value)
        for (region,), value in samples.labelled("region_window", "region"):
            windows.setdefault(region, []).append(value)
    return {
        region: RegionTraffic(
            max(delays.get(region, [0.0])),
            min(windows.get(region, [0.0])),
            dict(sizes.get(region, {})),
        )
        for region in sorted({*delays, *windows, *sizes})
    }


def _accounts(fleet: Iterable[RouteSamples]) -> tuple[AccountSurplus, ...]:
    refused: Counter[tuple[str, ...]] = Counter()
    # The refusals, share and demand at the entry that refused the most.
    largest: dict[tuple[str, ...], tuple[float, float, float]] = {}
    labels = ("place", "account")
    for samples in fleet:
        shares = dict(samples.labelled("account_share", *labels))
        demands = dict(samples.labelled("account_demand", *labels))
        for key, count in samples.labelled("account_surplus_refused_total", *labels):
            refused[key] += int(count)
            if key not in largest or count > largest[key][0]:
                largest[key] = (count, shares.get(key, 0.0), demands.get(key, 0.0))
    surplus = [
        AccountSurplus(account, place, *largest[place, account][1:], count)
        for (place, account), count in refused.items()
    ]
    return tuple(sorted(surplus, key=lambda s: (-s.refused, s.account, s.place)))
