"""``boragestream status``: prints one picture of all entries."""

from collections.abc import Iterable

from boragestream.base.histograms import LatencySummary
from boragestream.base.observations import AccountReport
from boragestream.operator.client import Client
from boragestream.operator.exits import ExitCode
from boragestream.operator.fleet_status import AccountCost, FleetStatus, fleet_status
from boragestream.operator.output import print_json, print_table

__all__ = ["print_status"]


def print_status(client: Client, addresses: Iterable[str], as_json: bool) -> ExitCode:
    """Print the picture."""
    status = fleet_status(client, addresses)
    if as_json:
        print_json(status)
    else:
        _print(status)
    return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def _print(status: FleetStatus) -> None:
    print(f"version {status.lowest_version} to {status.highest_version}")
    for version, digests in status.digests.items():
        if len(digests) > 1:
            print(f"conflict: version {version} has {len(digests)} digests")
    print_table(
        (
            "entry",
            "data centre",
            "version",
            "leaving",
            "in hand",
            "queued",
            "live peers",
        ),
        [
            (
                e.name,
                e.data_centre,
                e.version,
                e.leaving,
                e.in_hand,
                e.queued,
                e.peers,
            )
            for e in status.entries
        ],
    )
    for failure in status.unreachable:
        print(f"unreachable: {failure.address}: {failure.reason}")
    print()
    print_table(
        ("service", "state", "views"),
        [
            (service, state, count)
            for service, states in sorted(status.servers.items())
            for state, count in sorted(states.items())
        ],
    )
    for name, states in sorted(status.disputed.items()):
        print(f"disputed: {name}: {', '.join(states)}")
    print()
    print_table(
        ("service", "under way", "limit"),
        [(name, w.in_use, w.limit) for name, w in status.windows.items()],
    )
    print()
    latency_header = ("p50 ms", "p95 ms", "p99 ms", "max ms")
    print_table(
        ("client account", "outcomes", *latency_header, "used s", "wasted s"),
        [
            (
                name,
                _outcomes(report),
                *_latency(report.latency),
                *_spent(status.costs.get(name)),
            )
            for name, report in status.accounts.items()
        ],
    )
    print()
    print_table(
        ("stage", "attempts", "whole", "server s", *latency_header),
        [
            (name, r.attempts, r.whole, r.server_seconds, *_latency(r.latency))
            for name, r in status.stages.items()
        ],
    )


def _outcomes(report: AccountReport) -> str:
    return " ".join(f"{name}={n}" for name, n in sorted(report.outcomes.items()))


def _latency(latency: LatencySummary | None) -> tuple[object, ...]:
    if latency is None:
        return ("-",) * 4
    return (latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms)


def _spent(cost: AccountCost | None) -> tuple[object, ...]:
    return ("-", "-") if cost is None else (cost.used_seconds, cost.wasted_seconds)
