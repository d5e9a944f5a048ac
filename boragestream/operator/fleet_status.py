"""One picture of a deployment out of the status pages of all its entries.

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
from boragestream.policy.costs import StageCost

__all__ = ["AccountCost", "FleetStatus", "Window", "fleet_status"]

ASKED_AT_ONCE = 16


@dataclass(frozen=True, slots=True)
class EntryLine:
    """One entry as it describes itself.

    :ivar queued: requests in hand that have not begun.
    :ivar peers: how many other entries it believes live.
    """

    name: str
    data_centre: str
    version: int
    leaving: bool
    in_hand: int
    queued: int
    peers: int


@dataclass(frozen=True, slots=True)
class Window:
    """Requests under way towards a service, over all entries.

    :ivar limit: the most that the entries allow together.
    """

    limit: int
    in_use: int


@dataclass(frozen=True, slots=True)
class AccountCost:
    """Server time spent for a client account over all entries and stages.

    :ivar used_seconds: for answers that were used.
    :ivar wasted_seconds: for all others.
    """

    attempts: int
    used_seconds: float
    wasted_seconds: float


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The picture.

    :ivar lowest_version: the lowest version in force at an entry that answered.
    :ivar digests: the digests in force by version; two of one version are a conflict.
    :ivar servers: by service, how many entries' views hold a server in each state.
    :ivar disputed: servers of which entries believe different states.
    :ivar limited: by server, the lowest limit on its requests a second that an entry
        knows.
    :ivar windows: by service.
    :ivar costs: by client account; the costs of each stage are in ``stages``.
    """

    lowest_version: int
    highest_version: int
    digests: dict[int, list[str]]
    entries: list[EntryLine]
    unreachable: list[EntryUnreachable]
    servers: dict[str, dict[str, int]]
    disputed: dict[str, list[str]]
    limited: dict[str, float]
    accounts: dict[str, AccountReport]
    stages: dict[str, StageReport]
    windows: dict[str, Window]
    costs: dict[str, AccountCost]


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
        limited=_limited(pages),
        accounts=_accounts(pages),
        stages=_stages(pages),
        windows=_windows(pages),
        costs=_costs(pages),
    )


def _line(page: StatusPage) -> EntryLine:
    peers = sum(e.state == "live" and e.name != page.entry for e in page.entries)
    return EntryLine(
        name=page.entry,
        data_centre=page.data_centre,
        version=page.version,
        leaving=page.leaving,
        in_hand=page.in_hand,
        queued=page.queued,
        peers=peers,
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


def _limited(pages: list[StatusPage]) -> dict[str, float]:
    limited: dict[str, float] = {}
    for page in pages:
        for server in page.servers:
            if server.limit is not None:
                known = limited.get(server.name, server.limit)
                limited[server.name] = min(known, server.limit)
    return dict(sorted(limited.items()))


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


def _windows(pages: list[StatusPage]) -> dict[str, Window]:
    sums: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for page in pages:
        for service, window in page.windows.items():
            sums[service].append(window)
    return {
        service: Window(sum(w[0] for w in found), sum(w[1] for w in found))
        for service, found in sorted(sums.items())
    }


def _costs(pages: list[StatusPage]) -> dict[str, AccountCost]:
    sums: dict[str, list[StageCost]] = defaultdict(list)
    for page in pages:
        for account, stages in page.costs.items():
            sums[account].extend(stages.values())
    return {account: _cost(found) for account, found in sorted(sums.items())}


def _cost(costs: list[StageCost]) -> AccountCost:
    wasted = sum(
        c.late_seconds + c.hedged_seconds + c.failed_seconds + c.cancelled_seconds
        for c in costs
    )
    return AccountCost(
        attempts=sum(c.attempts for c in costs),
        used_seconds=round(sum(c.used_seconds for c in costs), 3),
        wasted_seconds=round(wasted, 3),
    )
