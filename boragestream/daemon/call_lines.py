"""Builds the lines over which an entry calls backend servers and other entries.

What the answers of servers mean is left to ``daemon.response_hints``.
"""

from collections.abc import Callable

from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.forwarded_call import CallLine, NoteHead, NoteOversized
from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.memory_budget import MemoryBudget
from boragestream.base.route_metrics import RouteMetrics
from boragestream.platform.wire import read_answer_head, read_entry_answer_head
from boragestream.policy.oversized_answers import OversizedAnswers
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server

__all__ = ["CONNECT_SECONDS", "make_entry_line", "make_server_line"]

CONNECT_SECONDS = 0.4


def make_server_line(
    connections: ConnectionKeeper,
    clock: Clock,
    most_idle: Callable[[str], int],
    note_head: NoteHead,
    memory: MemoryBudget | None,
    reach: ServerReach,
    metrics: RouteMetrics,
    oversized: OversizedAnswers,
) -> CallLine:
    """Return the line for calls of backend servers.

    :param most_idle: returns how many idle connections are kept to each server of a
        service.
    :param oversized: records servers whose answers go beyond a bound.
    """
    log = _log_oversized(metrics)

    def note_oversized(server: Server, bound: str) -> None:
        log(server, bound)
        oversized.note(server)

    return CallLine(
        read_answer_head,
        connections,
        clock,
        most_idle,
        note_head,
        memory,
        reach,
        note_oversized,
    )


def make_entry_line(
    clock: Clock, memory: MemoryBudget | None, metrics: RouteMetrics
) -> CallLine:
    """Return the line for requests that are delegated to other entries."""
    return CallLine(
        read_entry_answer_head,
        ConnectionKeeper(CONNECT_SECONDS),
        clock,
        lambda service: 0,
        memory=memory,
        note_oversized=_log_oversized(metrics),
    )


def _log_oversized(metrics: RouteMetrics) -> NoteOversized:
    """Return a callback that logs and counts answers that go beyond a bound."""

    def note_oversized(server: Server, bound: str) -> None:
        metrics.answer_oversized(bound)
        emit(Event.ANSWER_OVERSIZED, server=server.name, bound=bound)

    return note_oversized
