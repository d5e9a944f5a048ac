"""Collects the status page of an entry from its parts."""

from collections.abc import Iterable

from boragestream.base.observations import Observations
from boragestream.base.settings import EntrySettings
from boragestream.caller.status import PeerReport, ServerReport, StatusPage
from boragestream.platform.instances import Instance
from boragestream.policy.admission import Admission
from boragestream.policy.configuration import ConfigurationInForce
from boragestream.policy.costs import CostTable
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import ServerTable

__all__ = ["status_page"]


def status_page(
    who: EntrySettings,
    incarnation: str,
    leaving: bool,
    configuration: ConfigurationInForce,
    admission: Admission,
    servers: ServerTable,
    loads: LoadTable,
    entries: Iterable[Instance],
    observations: Observations,
    costs: CostTable,
) -> StatusPage:
    """Return the status page; each part is read once, not all at one moment."""
    current = configuration.current
    return StatusPage(
        entry=who.name,
        data_centre=who.data_centre,
        incarnation=incarnation,
        deployment=who.deployment,
        version=current.version if current else 0,
        digest=current.digest if current else "",
        leaving=leaving,
        in_hand=admission.in_hand,
        queued=admission.queued,
        windows=admission.windows(),
        servers=_servers(servers, loads),
        entries=tuple(_peer(entry) for entry in entries),
        accounts=observations.accounts(),
        stages=observations.stages(),
        costs=costs.snapshot(),
    )


def _servers(servers: ServerTable, loads: LoadTable) -> tuple[ServerReport, ...]:
    live = {s.identity for kind in _services(servers) for s in servers.live(kind)}
    reports = []
    for server in servers.all:
        load = loads.get(server)
        usable = server.identity in live
        reports.append(
            ServerReport(
                name=server.name,
                service=server.service,
                host=server.host,
                data_centre=server.data_centre,
                state="live" if usable else "leaving",
                in_progress=load.in_progress,
                smoothed_ms=round(load.seconds * 1000, 1),
            )
        )
    return tuple(reports)


def _services(servers: ServerTable) -> set[str]:
    return {server.service for server in servers.all}


def _peer(entry: Instance) -> PeerReport:
    return PeerReport(entry.name, entry.host, entry.data_centre, entry.state)
