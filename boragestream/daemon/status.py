"""Builds the status page of an entry from its components."""

from boragestream.base.line_writer import LineWriter
from boragestream.caller.status import PeerReport, ServerReport, StatusPage
from boragestream.daemon.parts import EntryParts
from boragestream.policy.load import LoadTable, ServerLoad
from boragestream.policy.peers import EntryTable, ListedEntry
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import ServerState, ServerTable

__all__ = ["status_page"]


def status_page(parts: EntryParts, writer: LineWriter, leaving: bool) -> StatusPage:
    """Return the status page; components are read once each, at different moments.

    :param writer: writes the log.
    """
    entry_settings = parts.settings.entry
    current = parts.configuration.current
    entries = parts.peers.members.entries
    return StatusPage(
        entry=entry_settings.name,
        data_centre=entry_settings.data_centre,
        incarnation=parts.incarnation,
        deployment=entry_settings.deployment,
        version=current.version if current else 0,
        digest=current.digest if current else "",
        leaving=leaving,
        log_lines_dropped=writer.dropped,
        log_lines_lost=writer.lost,
        in_hand=parts.admission.in_hand,
        queued=parts.admission.queued,
        windows=parts.admission.windows(),
        servers=_servers(parts.servers, parts.loads, parts.limits.limits),
        entries=tuple(_peer(entry, entries) for entry in entries.listed),
        accounts=parts.observations.accounts(),
        stages=parts.observations.stages(),
        costs=parts.serving.costs.snapshot(),
    )


def _servers(
    servers: ServerTable, loads: LoadTable, limits: ServerLimits
) -> tuple[ServerReport, ...]:
    live = {s.identity for service in _services(servers) for s in servers.live(service)}
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
                state=_state(usable, load).value,
                in_progress=load.in_progress,
                smoothed_ms=round(load.seconds * 1000, 1),
                limit=limits.limit(server),
            )
        )
    return tuple(reports)


def _state(usable: bool, load: ServerLoad) -> ServerState:
    if not usable:
        return ServerState.LEAVING
    # An ejected server stays suspect until it answers a call.
    return ServerState.SUSPECT if load.circuit.until else ServerState.LIVE


def _services(servers: ServerTable) -> set[str]:
    return {server.service for server in servers.all}


def _peer(entry: ListedEntry, entries: EntryTable) -> PeerReport:
    state = entries.state(entry.name).name.lower()
    return PeerReport(entry.name, entry.host, entry.data_centre, state)
