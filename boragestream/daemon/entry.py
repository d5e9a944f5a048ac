"""Starts, runs and gracefully shuts down one entry.

``daemon.parts`` and ``daemon.listeners`` build its components; ``daemon.background``
holds the background tasks.
"""

import threading
from functools import partial

from boragestream.base.clock import Clock, SystemClock
from boragestream.base.events import Event, emit
from boragestream.base.failures import EntryLeaving
from boragestream.base.line_writer import LineWriter
from boragestream.base.settings import Settings
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.replies import JsonRefusals
from boragestream.caller.server import (
    busy_connections,
    close_after_next_answers,
    create_server,
    stop_listening,
)
from boragestream.daemon.background import (
    watch_configuration,
    watch_instances,
    watch_silent_calls,
)
from boragestream.daemon.background_tasks import BackgroundTasks
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.listeners import make_application, open_peer_listener
from boragestream.daemon.memory import return_freed_memory
from boragestream.daemon.parts import make_entry_parts
from boragestream.daemon.shutdown import GracefulStop, KeptAnswers
from boragestream.entry.links import LISTENER_TASKS
from boragestream.entry.tls import PeerTls

__all__ = ["Entry"]


class Entry:
    """One entry daemon.

    :param settings: the settings of the entry.
    :param writer: writes the log, and is run by the caller.
    :param peer_tls: TLS for connections to other entries; None for plaintext.
    :param clock: the clock used for all decisions; by default the system clock.
    :raises OSError, pynng.NNGException: if an address can't be listened on.
    """

    def __init__(
        self,
        settings: Settings,
        writer: LineWriter,
        peer_tls: PeerTls | None = None,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or SystemClock()
        self._parts = make_entry_parts(settings, peer_tls, clock)
        self._stop = GracefulStop(settings.stop, clock)
        # A stopping entry keeps watching the instances, to learn which servers leave.
        self._ended = threading.Event()
        self._kept_answers = KeptAnswers(clock)
        self._tasks = BackgroundTasks()
        application = make_application(
            self._parts, self._kept_answers, self._stop.begun.is_set, writer
        )
        self._listener = open_peer_listener(self._parts, application, peer_tls)
        return_freed_memory()
        admission, queues = self._parts.admission, self._parts.serving.call_queues
        memory = CallerMemory(
            self._parts.memory,
            JsonRefusals(),
            clock,
            excess_requests=lambda: max(admission.excess, queues.waiting),
        )
        arrivals = self._parts.watchdog.arrivals
        self._server = create_server(application, settings.caller, memory, arrivals)

    @property
    def incarnation(self) -> str:
        """The incarnation of this entry."""
        return self._parts.incarnation

    def run(self) -> ExitCode:
        """Serve until ``stop`` is called, then finish the open requests."""
        parts, start = self._parts, self._tasks.start
        start(parts.watchdog.run)
        start(partial(watch_configuration, parts, self._stop.begun, self._ended))
        start(partial(watch_instances, parts, self._ended))
        start(partial(watch_silent_calls, parts, self._ended))
        start(parts.reach.checks.run)
        start(parts.peers.members.exchange.run)
        for _ in range(LISTENER_TASKS):
            start(self._listener.run)
        start(self._server.run)
        name = parts.settings.entry.name
        emit(Event.ENTRY_STARTED, entry=name, incarnation=parts.incarnation)
        self._stop.begun.wait()
        return self._finish()

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends it at once."""
        self._stop.signal()

    def _finish(self) -> ExitCode:
        """Serve callers with cached entry lists, finish open requests, then end."""
        emit(Event.ENTRY_LEAVING, in_hand=self._parts.admission.in_hand)
        self._parts.peers.members.leave()
        close_after_next_answers(self._server)
        current = self._parts.configuration.current
        keep = current.document.policies.answer_keep_seconds if current else 0.0
        code = self._stop.finish(
            self._stop.linger_until(self._kept_answers.until, keep),
            partial(stop_listening, self._server),
            self._in_progress,
            partial(self._parts.watchdog.cancel_all, EntryLeaving()),
        )
        self._close()
        emit(Event.ENTRY_STOPPED, exit_code=int(code))
        return code

    def _close(self) -> None:
        self._tasks.close()
        self._ended.set()
        self._parts.reach.checks.close()
        self._parts.admission.close()
        self._parts.watchdog.stop()
        self._parts.peers.members.exchange.close()
        self._listener.close()

    def _in_progress(self) -> int:
        in_hand = self._parts.admission.in_hand
        return max(in_hand, busy_connections(self._server))
