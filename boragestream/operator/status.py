"""``boragestream status``: one picture out of the status pages of all entries.

Each entry is asked once; what an entry believes of its peers and servers can differ
from entry to entry, and the picture shows where it does.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from boragestream.base.histograms import LatencySummary, merge_summaries
from boragestream.base.observations import AccountReport, StageReport
from boragestream.caller.status import StatusPage
from boragestream.operator.client import Client, EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_json, print_table

__all__ = ["FleetStatus", "fleet_status", "print_status"]

ASKED_AT_ONCE = 16


@dataclass(frozen=True, slots=True)
class EntryLine:
    """One entry as it describes itself.

    :ivar peers: how many other entries it believes live.
    """

    name: str
    data_centre: str
    version: int
    leaving: bool
    in_hand: int
    peers: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The picture.

    :ivar lowest_version: the lowest version in force at an entry that answered.
    :ivar digests: the digests in force by version; two of one version are a conflict.
    :ivar servers: by service, how many entries' views hold a server in each state.
    :ivar disputed: servers of which entries believe different states.
    """

    lowest_version: int
    highest_version: int
    digests: dict[int, list[str]]
    entries: list[EntryLine]
    unreachable: list[EntryUnreachable]
    servers: dict[str, dict[str, int]]
    disputed: dict[str, list[str]]
    accounts: dict[str, AccountReport]
    stages: dict[str, StageReport]


def fleet_status(client: Client, addresses: Iterable[str]) -> FleetStatus:
    """Ask every entry that is named, or that a named one lists.

    :param client: holds an operator's key.
    :param addresses: some entries, as ``address:port``.
    """
    replies: dict[str, StatusPage | EntryUnreachable] = {}
    unasked = set(addresses)
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        while unasked:
            asked = sorted(unasked)
            replies.update(zip(asked, pool.map(client.status, asked), strict=True))
            pages = [r for r in replies.values() if isinstance(r, StatusPage)]
            unasked = {e.host for page in pages for e in page.entries} - set(replies)
    unreachable = [r for r in replies.values() if isinstance(r, EntryUnreachable)]
    return _combine(pages, unreachable)


def print_status(client: Client, addresses: Iterable[str], as_json: bool) -> ExitCode:
    """Print the picture."""
    status = fleet_status(client, addresses)
    if as_json:
        print_json(status)
    else:
        _print(status)
    return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def _combine(
    pages: list[StatusPage], unreachable: list[EntryUnreachable]
) -> FleetStatus:
    versions = [page.version for page in pages]
    digests: dict[int, set[str]] = defaultdict(set)
    for page in pages:
        digests[page.version].add(page.digest)
    servers, disputed = _servers(pages)
    return FleetStatus(
        lowest_version=min(versions, default=0),
        highest_version=max(versions, default=0),
        digests={version: sorted(found) for version, found in digests.items()},
        entries=sorted((_line(page) for page in pages), key=lambda e: e.name),
        unreachable=unreachable,
        servers=servers,
        disputed=disputed,
        accounts=_accounts(pages),
        stages=_stages(pages),
    )


def _line(page: StatusPage) -> EntryLine:
    peers = sum(e.state == "live" and e.name != page.entry for e in page.entries)
    return EntryLine(
        page.entry, page.data_centre, page.version, page.leaving, page.in_hand, peers
    )


def _servers(
    pages: list[StatusPage],
) -> tuple[dict[str, dict[str, int]], dict[str, list[str]]]:
    views: dict[str, set[str]] = defaultdict(set)
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for page in pages:
        for server in page.servers:
            views[server.name].add(server.state)
            counts[server.service][server.state] += 1
    disputed = {name: sorted(v) for name, v in views.items() if len(v) > 1}
    return {service: dict(c) for service, c in counts.items()}, disputed


def _accounts(pages: list[StatusPage]) -> dict[str, AccountReport]:
    outcomes: dict[str, Counter[str]] = defaultdict(Counter)
    latencies: dict[str, list[LatencySummary]] = defaultdict(list)
    for page in pages:
        for name, report in page.accounts.items():
            outcomes[name].update(report.outcomes)
            latencies[name] += [report.latency] if report.latency else []
    return {
        name: AccountReport(dict(outcomes[name]), merge_summaries(latencies[name]))
        for name in sorted(outcomes)
    }


def _stages(pages: list[StatusPage]) -> dict[str, StageReport]:
    reports: dict[str, list[StageReport]] = defaultdict(list)
    for page in pages:
        for name, report in page.stages.items():
            reports[name].append(report)
    return {name: _stage(reports[name]) for name in sorted(reports)}


def _stage(reports: list[StageReport]) -> StageReport:
    return StageReport(
        attempts=sum(r.attempts for r in reports),
        whole=sum(r.whole for r in reports),
        server_seconds=round(sum(r.server_seconds for r in reports), 3),
        latency=merge_summaries(r.latency for r in reports if r.latency),
    )


def _print(status: FleetStatus) -> None:
    print(f"version {status.lowest_version} to {status.highest_version}")
    for version, digests in status.digests.items():
        if len(digests) > 1:
            print(f"conflict: version {version} has {len(digests)} digests")
    print_table(
        ("entry", "data centre", "version", "leaving", "in hand", "live peers"),
        [
            (e.name, e.data_centre, e.version, e.leaving, e.in_hand, e.peers)
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
    latency_header = ("p50 ms", "p95 ms", "p99 ms", "max ms")
    print_table(
        ("client account", "outcomes", *latency_header),
        [
            (name, _outcomes(report), *_latency(report.latency))
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
