"""``boragestream status --metrics``: one status of entries that forward by routes.

It is read from the metrics that each entry serves as text. No entry reports the others,
so that each has to be named.
"""

from collections.abc import Iterable, Mapping

from boragestream.base.memory_budget import MemoryKind
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_json, print_table
from boragestream.operator.route_fleet import (
    AccountSurplus,
    RegionTraffic,
    RouteEntryStatus,
    RouteFleetStatus,
    route_fleet_status,
)

__all__ = ["print_route_status"]


def print_route_status(addresses: Iterable[str], as_json: bool) -> ExitCode:
    """Ask every address and print the status."""
    status = route_fleet_status(addresses)
    if as_json:
        print_json(status)
    else:
        _print(status)
    return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def _print(status: RouteFleetStatus) -> None:
    _print_entries(status)
    for title, counts in (("route", status.requests), ("service", status.attempts)):
        print()
        print_table((title, "ended"), _count_rows(counts))
    _print_memory(status.entries)
    _print_regions(status.regions)
    _print_accounts(status.accounts)
    _print_counts("unserved by route", "cause", status.unserved)
    _print_counts("borrowed from region", "chains", status.borrowed_chains)


def _print_entries(status: RouteFleetStatus) -> None:
    versions = [entry.version for entry in status.entries]
    if versions:
        print(f"version {min(versions)} to {max(versions)}")
    print_table(
        (
            "entry",
            "version",
            "in hand",
            "servers",
            "cold",
            "limited",
            "drained centres",
            "entries",
            "list age s",
            "era",
            "revision",
            "held",
        ),
        [
            (
                e.address,
                e.version,
                e.in_hand,
                e.servers,
                e.cold_servers,
                e.limited_servers,
                e.drained_centres,
                e.entries,
                e.list_age,
                e.list_era,
                e.list_revision,
                e.held_values,
            )
            for e in status.entries
        ],
    )
    for failure in status.unreachable:
        print(f"unreachable: {failure.address}: {failure.reason}")


def _print_memory(entries: Iterable[RouteEntryStatus]) -> None:
    kinds = [kind.value for kind in MemoryKind]
    rows = [
        (
            e.address,
            e.memory_limit,
            *(e.memory_bytes.get(kind, 0) for kind in kinds),
            e.memory_refused,
            e.slow_readers_abandoned,
        )
        for e in entries
        if e.memory_limit or e.memory_refused or e.slow_readers_abandoned
    ]
    header = ("memory of entry", "limit", *kinds, "refused", "readers abandoned")
    _print_rows(header, rows)


def _print_regions(regions: Mapping[str, RegionTraffic]) -> None:
    rows = [
        (
            region,
            round(link.round_trip_seconds * 1000, 1) or "-",
            int(link.window),
            _counts(link.bytes),
        )
        for region, link in regions.items()
    ]
    _print_rows(("region", "round trip ms", "window", "bytes"), rows)


def _print_accounts(accounts: Iterable[AccountSurplus]) -> None:
    rows = [
        (a.account, a.place, a.refused, round(a.share, 1), round(a.demand, 1))
        for a in accounts
    ]
    _print_rows(("account", "place", "refused surplus", "share", "demand"), rows)


def _print_counts(title: str, by: str, counts: Mapping[str, Mapping[str, int]]) -> None:
    _print_rows((title, by), _count_rows(counts))


def _print_rows(header: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    """Print a table after an empty line; nothing if it has no rows."""
    if rows:
        print()
        print_table(header, rows)


def _count_rows(counts: Mapping[str, Mapping[str, int]]) -> list[tuple[object, ...]]:
    return [(name, _counts(by_kind)) for name, by_kind in counts.items()]


def _counts(by_kind: Mapping[str, int]) -> str:
    return " ".join(
        f"{kind}={count}" for kind, count in sorted(by_kind.items()) if count
    )
