"""One entry: its parts, its tasks, its start and its graceful shutdown."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from boragestream.backend.cancellation import Watchdog
from boragestream.base.clock import Clock, SystemClock
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.identifiers import new_incarnation
from boragestream.base.metrics import open_metrics
from boragestream.base.observations import Observations
from boragestream.base.settings import Settings
from boragestream.caller.application import Application
from boragestream.caller.server import (
    busy_connections,
    create_server,
    leave,
    stop_listening,
)
from boragestream.caller.status import StatusPage
from boragestream.caller.tickets import TicketCalls, ticket_calls
from boragestream.daemon.demand import Demand, live_entries
from boragestream.daemon.peers import join_peers, listed_states
from boragestream.daemon.shutdown import ExitCode, GracefulStop, KeptAnswers
from boragestream.daemon.status import status_page
from boragestream.daemon.tasks import (
    take_instances,
    take_published,
    to_leaving,
    to_listed,
    watch_platform,
)
from boragestream.document import ClientAccount
from boragestream.entry.forwarding import Forwarder
from boragestream.entry.links import LISTENER_TASKS, PeerLinks, PeerListener
from boragestream.entry.messages import (
    Envelope,
    Probe,
    ProbeReply,
    RequestAsk,
    Sender,
    TicketAsk,
    TicketPost,
)
from boragestream.entry.tls import PeerTls
from boragestream.platform.instances import Instance
from boragestream.policy.admission import Admission
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce
from boragestream.policy.load import LoadTable
from boragestream.policy.routing import Place
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.slot_shares import SlotShares
from boragestream.serving.parts import make_parts
from boragestream.serving.pipeline import PipelineRunner
from boragestream.serving.stage import StageRunner

__all__ = ["Entry"]

ATTEMPT_THREADS = 256
# Threads beyond the requests in hand answer refusals and small questions at once.
SPARE_THREADS = 32
TASK_THREADS = 24


class Entry:
    """One entry daemon.

    :param settings: its settings.
    :param peer_tls: TLS towards other entries; None for links in clear.
    :param clock: the clock of all its decisions.
    :raises OSError, pynng.NNGException: where an address can't be listened on.
    """

    def __init__(
        self,
        settings: Settings,
        peer_tls: PeerTls | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._incarnation = new_incarnation()
        self._rng = random.Random()
        self._stop = GracefulStop(settings.stop, self._clock)
        self._stopping = self._stop.begun
        # While it stops, an entry still hears which servers leave.
        self._ended = threading.Event()
        self._kept_answers = KeptAnswers(self._clock)
        self._listed: tuple[Instance, ...] = ()
        self._configuration = ConfigurationInForce(settings.entry.deployment)
        self._servers = ServerTable(told=self._tell_leaving)
        self._loads = LoadTable(self._clock, self._rng)
        metrics = settings.metrics
        self._observations = Observations(
            self._clock,
            open_metrics(
                metrics.statsd_address, metrics.statsd_port, settings.entry.name
            ),
        )
        self._watchdog = Watchdog(self._clock)
        self._demand = Demand.create(settings.entry.name, self._clock)
        self._slots = SlotShares(
            self._servers, self._loads, self._live_entries, self._clock
        )
        self._admission = Admission(
            max(1, settings.caller.threads - SPARE_THREADS),
            self._clock,
            self._rng,
            self._demand.limits,
            self._slots.share,
        )
        self._loads.when_first_reported(self._take_first_report)
        self._tasks = ThreadPoolExecutor(TASK_THREADS, "task")
        # Stages that run side by side wait for attempts, so that the two never share
        # threads.
        self._attempts = ThreadPoolExecutor(ATTEMPT_THREADS, "attempt")
        self._side_by_side = ThreadPoolExecutor(ATTEMPT_THREADS, "stage")
        self._parts = make_parts(
            self._servers,
            self._loads,
            self._attempts,
            self._clock,
            self._rng,
            self._home,
            self._observations,
        )
        self._servers.when_unused(self._parts.connections.forget)
        sender = Sender(
            settings.entry.deployment,
            settings.entry.name,
            self._incarnation,
            settings.peer.key.encode(),
            tuple(key.encode() for key in settings.peer.also_accepted),
        )
        self._links = PeerLinks(sender, peer_tls)
        self._peers = join_peers(
            settings.entry,
            self._incarnation,
            self._links,
            self._configuration,
            self._servers,
            self._clock,
            self._rng,
        )
        exchange = self._peers.members.exchange
        self._demand.join(exchange, self._incarnation, self._admission)
        application = self._application()
        runs = application.tickets.runs
        self._listener = PeerListener(
            sender,
            f"{settings.peer.address}:{settings.peer.port}",
            {
                Probe: self._answer_probe,
                **self._peers.handlers,
                TicketPost: partial(runs.answer_post, run=application.run_ticketed),
                TicketAsk: runs.answer_ask,
                RequestAsk: runs.answer_request_ask,
            },
            peer_tls,
        )
        self._server = create_server(
            application, settings.caller, self._watchdog.arrivals
        )

    @property
    def incarnation(self) -> str:
        """This life of the entry."""
        return self._incarnation

    def run(self) -> ExitCode:
        """Serve until ``stop`` is called, then finish what is in hand."""
        platform = self._settings.platform
        self._start(self._watchdog.run)
        self._start(
            partial(
                watch_platform,
                platform.configuration,
                "/v1/document",
                platform.watch_seconds,
                partial(
                    take_published,
                    configuration=self._configuration,
                    before_first=partial(
                        self._peers.first_word.wait, self._clock, self._stopping
                    ),
                ),
                Event.CONFIGURATION_UNREACHABLE,
                self._ended,
                self._rng,
                self._peers.duty,
            )
        )
        self._start(
            partial(
                watch_platform,
                platform.instances,
                "/v1/instances",
                platform.watch_seconds,
                partial(
                    take_instances,
                    servers=self._servers,
                    loads=self._loads,
                    take_entries=self._take_entries,
                    take_servers=self._peers.members.take_servers,
                ),
                Event.INSTANCES_UNREACHABLE,
                self._ended,
                self._rng,
            )
        )
        self._start(self._peers.members.exchange.run)
        for _ in range(LISTENER_TASKS):
            self._start(self._listener.run)
        self._start(self._server.run)
        name = self._settings.entry.name
        emit(Event.ENTRY_STARTED, entry=name, incarnation=self._incarnation)
        self._stopping.wait()
        return self._finish()

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends it."""
        self._stop.signal()

    def _start(self, task: partial) -> None:
        def run() -> None:
            try:
                task()
            except Exception as error:
                name = getattr(task, "func", task).__qualname__
                emit(Event.TASK_FAILED, task=name, error=describe_error(error))
                raise

        self._tasks.submit(run)

    def _finish(self) -> ExitCode:
        """Serve callers with older answers, finish what is in hand, then end."""
        emit(Event.ENTRY_LEAVING, in_hand=self._admission.in_hand)
        self._peers.members.leave()
        leave(self._server)
        current = self._configuration.current
        keep = current.document.policies.answer_keep_seconds if current else 0.0
        code = self._stop.finish(
            self._stop.linger_until(self._kept_answers.until, keep),
            partial(stop_listening, self._server),
            self._in_progress,
        )
        self._ended.set()
        self._admission.close()
        self._watchdog.stop()
        self._peers.members.exchange.close()
        self._listener.close()
        emit(Event.ENTRY_STOPPED, exit_code=int(code))
        return code

    def _in_progress(self) -> int:
        return max(self._admission.in_hand, busy_connections(self._server))

    def _application(self) -> Application:
        stages = StageRunner(self._parts)
        return Application(
            configuration=self._configuration,
            admission=self._admission,
            pipelines=PipelineRunner(stages, self._side_by_side),
            watchdog=self._watchdog,
            clock=self._clock,
            max_body_bytes=self._settings.caller.max_body_bytes,
            entries_for=self._entries_for,
            status=self._status,
            tickets=self._ticket_calls(),
            observations=self._observations,
            operator_digests=self._settings.operator.key_digests,
        )

    def _ticket_calls(self) -> TicketCalls:
        return ticket_calls(
            self._settings,
            self._incarnation,
            self._clock,
            self._configuration,
            Forwarder(self._links, self._peer_address, self._clock),
            self._stopping.is_set,
            self._kept_answers.give,
        )

    def _peer_address(self, name: str) -> str | None:
        named = (e for e in self._entries if e.name == name and e.peer_port)
        entry = next(named, None)
        return f"{entry.address}:{entry.peer_port}" if entry else None

    def _answer_probe(self, envelope: Envelope, message: Probe) -> ProbeReply:
        current = self._configuration.current
        return ProbeReply(current.version if current else 0)

    def _home(self) -> Place:
        """Return where this entry is; its region is that of a server beside it."""
        centre = self._settings.entry.data_centre
        return Place(centre, self._loads.region_of(centre))

    def _take_entries(self, entries: tuple[Instance, ...]) -> None:
        self._listed = entries
        self._demand.table.expect(live_entries(entries))
        self._peers.members.take_entries(map(to_listed, entries))

    def _tell_leaving(self, server: Server) -> None:
        self._peers.members.tell_leaving(to_leaving(server))

    @property
    def _entries(self) -> tuple[Instance, ...]:
        return listed_states(self._listed, self._peers.members.entries)

    def _live_entries(self) -> int:
        return len(live_entries(self._entries))

    def _take_first_report(self, service: str) -> None:
        if self._slots.note_reported(service):
            self._admission.look_again()

    def _entries_for(self, account: ClientAccount, in_force: DocumentInForce) -> object:
        order = self._demand.order(
            account,
            in_force.document,
            self._entries,
            self._admission.load,
            self._settings.entry.data_centre,
            self._rng,
        )
        usable = [
            {"name": e.name, "address": e.host, "data_centre": e.data_centre}
            for e in order
        ]
        keep = in_force.document.policies.answer_keep_seconds
        self._kept_answers.give(keep)
        return {"entries": usable, "keep_seconds": keep}

    def _status(self) -> StatusPage:
        return status_page(
            self._settings.entry,
            self._incarnation,
            self._stopping.is_set(),
            self._configuration,
            self._admission,
            self._servers,
            self._loads,
            self._peers.members.entries,
            self._observations,
            self._parts.costs,
        )
