"""Starts, runs and stops one entry that forwards calls by published routes.

``daemon.route_assembly`` builds its components.
"""

import random
import threading
import time
from functools import partial

from waitress.server import BaseWSGIServer

from boragestream.base.clock import Clock, SystemClock
from boragestream.base.events import Event, emit
from boragestream.base.failures import EntryLeaving
from boragestream.base.line_writer import LineWriter
from boragestream.base.machine import descriptor_limit
from boragestream.base.outcomes import Failure
from boragestream.base.route_settings import RouteSettings
from boragestream.base.settings import CallerSettings, StopSettings
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.directory import DirectoryApplication
from boragestream.caller.forwarding import ForwardingApplication, RequestCounter
from boragestream.caller.server import (
    busy_connections,
    close_after_next_answers,
    create_server,
    stop_listening,
)
from boragestream.daemon.background_tasks import BackgroundTasks
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.listening import ListeningSockets
from boragestream.daemon.memory import charged_handlers, return_freed_memory
from boragestream.daemon.page_servers import open_page_servers
from boragestream.daemon.route_assembly import make_route_parts
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.daemon.shutdown import ANSWER_SECONDS, GracefulStop
from boragestream.document.calls import ForwardedRequest
from boragestream.entry.delegation import DelegatedBy, verify_delegation
from boragestream.entry.links import LISTENER_TASKS, PeerListener
from boragestream.platform.directory import PlatformDirectory
from boragestream.platform.wire import (
    read_request,
    refusal_headers,
    request_id_of,
    runs_headers,
)
from boragestream.policy.directory_choice import RandomEntries, RankedEntries
from boragestream.policy.peers import ListedEntry
from boragestream.policy.route_table import RouteTable

__all__ = ["RouteEntry"]

# How long callers may keep an answer that names entries. Some callers keep it three
# times as long, and that must still fit into the time a stopping entry keeps serving.
KEEP_SECONDS = 1.0
# Share of the grace period in which a stopping entry still serves new requests, since
# callers may keep answers that name it. Afterwards it refuses new requests.
LINGER_SHARE = 0.35
# The process exits this long before the end of the grace period, when it is killed.
END_MARGIN_SECONDS = 0.5
# Threads beyond the limit of open requests answer refusals at once.
SPARE_THREADS = 24
# Interval of the periodic upkeep. An entry that has just started also asks for the
# addresses of its peers this often.
UPKEEP_SECONDS = 0.25
# Upkeep rounds between two reads of the settings file: about two seconds.
ROUNDS_PER_RELOAD = 8
# Descriptors for files, pages, peers, idle connections to servers and open calls.
OTHER_DESCRIPTORS = 1200
IDLE_MARGIN_SECONDS = 2.0


class _RequestFormat:
    """Parses requests and formats refusals as the platform defines them."""

    read_request = staticmethod(read_request)
    refusal_headers = staticmethod(refusal_headers)
    request_id = staticmethod(request_id_of)
    runs_headers = staticmethod(runs_headers)

    @staticmethod
    def refusal(
        request_id: str, failure: Failure, retry_after: float
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return the headers and body of a refusal."""
        headers = [("Content-Type", "text/plain")]
        headers += refusal_headers(request_id, retry_after)
        return headers, f"{failure.code}\n".encode()


class RouteEntry:
    """One forwarding entry daemon.

    :param in_force: the settings in force.
    :param sockets: the listening sockets for callers and for page requests.
    :param writer: writes the log lines, and counts those that it can't write.
    :param clock: the clock used for all decisions; by default the system clock.
    :raises pynng.NNGException: if the address for peers can't be listened on.
    """

    def __init__(
        self,
        in_force: SettingsInForce,
        sockets: ListeningSockets,
        writer: LineWriter,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or SystemClock()
        settings = in_force.current
        self._in_force = in_force
        self._settings = settings
        self._clock = clock
        self._parts = make_route_parts(in_force, clock)
        grace = settings.stop.grace_seconds
        self._linger_seconds = grace * LINGER_SHARE
        end_seconds = ANSWER_SECONDS + END_MARGIN_SECONDS
        drain_seconds = grace - self._linger_seconds - end_seconds
        stop = StopSettings(self._linger_seconds, max(0.1, drain_seconds))
        self._stop = GracefulStop(stop, clock)
        self._refusing = threading.Event()
        self._in_hand = RequestCounter()
        self._tasks = BackgroundTasks()
        self._budget = self._parts.forwarder.parts.line.memory
        self._add_gauges(writer)
        self._server = self._open_callers(sockets)
        self._pages = self._open_pages(sockets)
        self._listener = PeerListener(
            self._parts.sender,
            settings.listen.entries,
            charged_handlers(self._parts.handlers, self._budget),
        )
        self._parts.routes.add_listener(self._apply_limits)
        self._apply_settings(settings)
        in_force.on_change(self._apply_settings)

    def run(self) -> ExitCode:
        """Serve until ``stop`` is called, then finish the open requests."""
        parts, start = self._parts, self._tasks.start
        start(parts.watchdog.run)
        start(parts.publications.operators.run)
        start(parts.publications.servers.run)
        start(parts.publications.confirm)
        start(parts.members.exchange.run)
        start(parts.reach.checks.run)
        start(self._look_again)
        for _ in range(LISTENER_TASKS):
            start(self._listener.run)
        start(self._server.run)
        for page in self._pages:
            start(page.run)
        name = self._settings.entry.name
        # CPU time of the start; the rest of the elapsed time was spent waiting.
        cpu_ms = int(time.process_time() * 1000)
        emit(
            Event.ENTRY_STARTED,
            entry=name,
            incarnation=parts.incarnation,
            cpu_ms=cpu_ms,
        )
        self._stop.begun.wait()
        return self._finish()

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends it at once."""
        self._stop.signal()

    def reload(self) -> None:
        """Read the settings file again."""
        self._in_force.reload()

    def _apply_settings(self, settings: RouteSettings) -> None:
        self._parts.book.add_seeds(settings.peers.seeds)

    def _ready(self) -> bool:
        parts = self._parts
        initialised = parts.routes.current is not None and bool(parts.servers.all)
        return initialised and not self._stop.begun.is_set()

    def _listed_entries(self, region: str) -> list[ListedEntry]:
        if self._parts.routes.current is None:
            return []
        entries = self._parts.serving_entries()
        regions = self._settings.regions
        near = [e for e in entries if region and regions.get(e.data_centre) == region]
        # A route may forbid a request to leave the caller's region. If no entry of that
        # region serves, a remote entry returns a proper refusal; an empty list would
        # leave the caller without an answer.
        return near or entries

    def _finish(self) -> ExitCode:
        emit(Event.ENTRY_LEAVING, in_hand=busy_connections(self._server))
        self._parts.members.leave()
        close_after_next_answers(self._server)
        code = self._stop.finish(
            self._clock.now() + self._linger_seconds,
            self._refuse,
            partial(busy_connections, self._server),
            partial(self._parts.watchdog.cancel_all, EntryLeaving()),
        )
        self._tasks.close()
        self._parts.ended.set()
        self._parts.reach.checks.close()
        emit(Event.ENTRY_STOPPED, exit_code=int(code))
        return code

    def _refuse(self) -> None:
        self._refusing.set()
        stop_listening(self._server)

    def _open_callers(self, sockets: ListeningSockets) -> BaseWSGIServer:
        settings, parts = self._settings, self._parts
        limit = settings.resources.threads - SPARE_THREADS
        application = ForwardingApplication(
            routes=parts.routes,
            first=parts.first,
            forwarder=parts.forwarder,
            format=_RequestFormat(),
            watchdog=parts.watchdog,
            clock=self._clock,
            metrics=parts.metrics,
            refusing=self._refusing.is_set,
            used=parts.publications.confirming.note_use,
            delegated_by=self._delegated_by,
            in_hand=self._in_hand,
            limit=limit,
            shares=parts.accounts.threads(limit),
            memory=self._budget,
        )
        address, _, port = settings.listen.callers.rpartition(":")
        callers = CallerSettings(address, int(port), settings.resources.threads)
        arrivals = parts.watchdog.arrivals
        return_freed_memory()
        metrics = parts.metrics
        memory = CallerMemory(
            self._budget,
            _RequestFormat(),
            self._clock,
            metrics.memory_refused,
            metrics.caller_abandoned,
        )
        metrics.set_memory(self._budget)
        server = create_server(application, callers, memory, arrivals, sockets.callers)
        # The system may let the process open fewer than the settings name.
        descriptors = min(settings.resources.descriptors, descriptor_limit())
        connection_limit = descriptors - OTHER_DESCRIPTORS
        server.adj.connection_limit = max(connection_limit, settings.resources.threads)
        return server

    def _delegated_by(self, request: ForwardedRequest) -> DelegatedBy:
        key = self._settings.peers.key.encode()
        if not request.delegation:
            return DelegatedBy()
        return verify_delegation(key, request.delegation, request.request_id)

    def _open_pages(self, sockets: ListeningSockets) -> list[BaseWSGIServer]:
        listen = self._settings.listen
        several = self._parts.region_links.regions.several
        application = DirectoryApplication(
            format=PlatformDirectory(),
            ready=self._ready,
            entries=self._listed_entries,
            choice=RankedEntries() if several else RandomEntries(random.Random()),
            keep_seconds=KEEP_SECONDS,
            metrics=self._parts.metrics.text,
            metrics_path=listen.metrics_path if listen.metrics else "",
        )
        refusals = _RequestFormat()
        return open_page_servers(application, sockets.pages, refusals, self._clock)

    def _add_gauges(self, writer: LineWriter) -> None:
        parts, gauge = self._parts, self._parts.metrics.gauge
        dropped = "Log lines dropped because the buffer was full."
        gauge("log_lines_dropped", dropped, lambda: writer.dropped)
        lost = "Log lines that could not be written, since the reader has gone."
        gauge("log_lines_lost", lost, lambda: writer.lost)
        gauge("in_hand", "Requests in hand.", lambda: self._in_hand.count)
        gauge("servers", "Servers listed.", lambda: len(parts.servers.all))
        gauge("cold_servers", "Servers that started lately.", lambda: parts.cold.count)
        limited = "Servers that take few requests from all entries together."
        gauge("limited_servers", limited, lambda: parts.limits.limits.count)
        brittle = "Services whose servers fall over under rejected calls."
        gauge("brittle_services", brittle, lambda: parts.limits.brittle.count)
        quarantined = "Requests that are sent to no server, since they crash it."
        gauge("quarantined", quarantined, lambda: parts.quarantine.count)
        blocked = "Parts of prompts that are sent to no server, since they crash it."
        crashes = parts.forwarder.parts.part_crashes
        gauge("blocked_parts", blocked, lambda: crashes.blocked)
        drained = "Data centres that get no requests."
        gauge("drained_centres", drained, lambda: len(parts.servers.drained))
        malformed = partial(getattr, parts.published_servers, "malformed")
        gauge("malformed_servers", "Entries that name no server to use.", malformed)
        gauge("entries", "Entries that serve.", lambda: len(parts.serving_entries()))
        age = parts.publications.confirming.age
        gauge("server_list_age", "How old the server list can be, in seconds.", age)

        cut_services = "Services from whose servers this entry is cut off."
        reach = parts.reach
        gauge("cut_services", cut_services, lambda: len(reach.reach.cut_services))
        cut_entries = "Entries that are cut off from some service, this one included."
        gauge("cut_entries", cut_entries, lambda: len(reach.cut_entries.cut_off()))

        streams = parts.streams
        mixed = "Services whose servers have had several software versions lately."
        gauge("mixed_services", mixed, lambda: streams.history.mixed_services)
        records = "Records of where streams began, own ones and held ones."
        gauge("stream_records", records, lambda: streams.records.count)

        table = parts.publications.servers.table
        era = "The era of the store that the server list goes by; -1 for none."
        gauge("list_era", era, lambda: table.era)
        revision = "The revision of the store that the server list goes by."
        gauge("list_revision", revision, lambda: table.revision or 0)
        operators = parts.publications.operators.table

        def configuration_revision() -> float:
            position = operators.applied_configuration_position
            return position.revision if position is not None else 0

        upto = "The revision of the store up to which the version is the latest one."
        gauge("configuration_revision", upto, configuration_revision)
        held = "Values that are used against what a store says that came back."
        gauge("held_values", held, parts.publications.held_count)

        def version() -> float:
            current = parts.routes.current
            return current.version if current is not None else 0

        gauge("version", "Version of the routes in force; 0 for none.", version)

    def _apply_limits(self, table: RouteTable) -> None:
        limits, adj = table.document.limits, self._server.adj
        adj.max_request_header_size = limits.header_bytes
        # waitress also refuses a body of exactly the limit, hence the additional byte.
        adj.max_request_body_size = limits.body_bytes + 1
        adj.channel_timeout = limits.idle_seconds + IDLE_MARGIN_SECONDS

    def _look_again(self) -> None:
        """Refresh the addresses, published values, piece queues and settings."""
        rounds = 0
        while not self._parts.ended.wait(UPKEEP_SECONDS):
            self._parts.address_sync.request_until_agreed()
            self._parts.reach.checks.check_silence()
            self._parts.publications.servers.release_held()
            self._parts.publications.operators.release_held()
            self._parts.published_servers.reapply()
            self._parts.batches.update_queues()
            self._parts.orders.forget_ended_orders()
            rounds += 1
            if rounds % ROUNDS_PER_RELOAD == 0:
                self._parts.book.notify_changed()
                # The file may change without a SIGHUP.
                self._in_force.reload()
