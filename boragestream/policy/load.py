"""Each server's load as known to one entry.

Counts, times, limits and failures come from the entry's own calls. Calls of other
entries are known only from the server's reports. Choosing among the servers is left to
``policy.routing``.
"""

import contextlib
import itertools
import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from boragestream.base.clock import Clock
from boragestream.policy.circuits import (
    CLOSED,
    Circuit,
    after_failure,
    after_probe_cancelled,
    is_open,
    probing,
)
from boragestream.policy.concurrency import (
    INITIAL_LIMIT,
    is_queueing,
    limit_with_report,
    next_limit,
)
from boragestream.policy.reports import LoadReport, expected_calls_of_others
from boragestream.policy.servers import Server

__all__ = ["CallEnd", "LoadTable", "ServerLoad"]

SMOOTHING = 0.2
# An answer slower than SLOW_FACTOR times the smoothed time has a greater weight than a
# usual one, so that a straggler is detected before it has delayed many calls.
SLOW_FACTOR = 2.0
SLOW_SMOOTHING = 0.5
# The weight of a measurement falls to 0 within this time. Each time that a new one
# confirms a faded one, the time is doubled up to the maximum, so that a permanent
# straggler is probed less and less often.
FORGET_SECONDS = 3.0
MAX_FORGET_SECONDS = 24.0
UNCHANGED_SHARE = 0.5
# The minimum time grows by this factor with each answer, so that a server that has
# become permanently slower is compared with its present speed.
MINIMUM_GROWTH = 1.002


class CallEnd(Enum):
    """The outcome of a call on a server."""

    ANSWERED = "the answer is whole"
    CUT = "the answer was an error or not whole"
    UNREACHED = "the server could not be reached"
    REFUSED = "the server refused the call"
    CANCELLED = "the call was cancelled and says only how long it took at least"


@dataclass(slots=True)
class ServerLoad:
    """The load of one server as known to this entry.

    :ivar open_calls: the start times of this entry's open calls, by call number.
    :ivar seconds: the smoothed time of a call; 0 before the first.
    :ivar seconds_at: when ``seconds`` was last measured.
    :ivar forget_seconds: the age at which a measurement has no weight any more.
    :ivar min_seconds: the minimum time, by kind of call.
    :ivar report: the server's last report; None before the first.
    :ivar report_at: when the report arrived.
    :ivar own_at_report: the number of this entry's open calls at that moment.
    :ivar limit: the most calls that this entry may have open on the server.
    :ivar limit_at: when the limit was last lowered.
    :ivar circuit: the state of the circuit breaker.
    :ivar eased_from: when its share began to grow; None if it needs no easing.
    """

    open_calls: dict[int, float] = field(default_factory=dict)
    seconds: float = 0.0
    seconds_at: float = 0.0
    forget_seconds: float = FORGET_SECONDS
    min_seconds: dict[str, float] = field(default_factory=dict)
    report: LoadReport | None = None
    report_at: float = 0.0
    own_at_report: int = 0
    limit: float = INITIAL_LIMIT
    limit_at: float = 0.0
    circuit: Circuit = CLOSED
    eased_from: float | None = None

    @property
    def in_progress(self) -> int:
        """The number of calls that this entry has open on the server."""
        return len(self.open_calls)

    def oldest_seconds(self, now: float) -> float:
        """Return for how many seconds the oldest open call has run; 0 for none."""
        with contextlib.suppress(StopIteration, RuntimeError):
            # Another thread may end a call at the same time; the next call of this
            # method then returns the time.
            return now - next(iter(self.open_calls.values()))
        return 0.0

    def slots(self, with_reports: bool = True) -> float:
        """Return the calls that run at once; the limit if no slots were reported."""
        if self.report is None or not with_reports:
            return self.limit
        return self.report.slots

    def calls(self, now: float, with_reports: bool = True) -> float:
        """Return the expected number of calls in progress, of all entries."""
        if self.report is None or not with_reports:
            return self.in_progress
        age = now - self.report_at
        others = expected_calls_of_others(self.report, self.own_at_report, age)
        return self.in_progress + others


class LoadTable:
    """The loads by server.

    :param clock: the time source of reports, failures and easing.
    :param rng: randomizes the times at which ejected servers are probed.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._loads: dict[tuple[str, str, str], ServerLoad] = {}
        self._lock = threading.Lock()
        self._regions: dict[str, str] = {}
        self._has_list = False
        self._numbers = itertools.count()
        self._first_report: Callable[[str], None] = lambda service: None

    def on_first_report(self, reported: Callable[[str], None]) -> None:
        """Set the callback for the service of each server that first reports a load."""
        self._first_report = reported

    def is_ejected(self, server: Server) -> bool:
        """Return whether a server failed recently and is avoided."""
        return is_open(self.get(server).circuit, self._clock.now())

    def get(self, server: Server) -> ServerLoad:
        """Return the load of a server; an empty one for a server not yet called."""
        return self._loads.get(server.identity) or ServerLoad()

    def take_list(self, servers: Iterable[Server]) -> None:
        """Set the listed servers: ease new ones in and delete those not listed.

        The servers of the first list are new only to this entry and need no easing.
        """
        now = self._clock.now()
        with self._lock:
            kept = {}
            regions = {}
            for server in servers:
                regions[server.data_centre] = server.region
                load = self._loads.get(server.identity) or ServerLoad()
                if self._has_list and server.identity not in self._loads:
                    load.eased_from = now
                kept[server.identity] = load
            self._loads = kept
            self._regions = regions
            self._has_list = True

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is not known."""
        return self._regions.get(data_centre, "")

    def begin(self, server: Server) -> int:
        """Record the start of a call; return its number, which ``end`` requires."""
        number = next(self._numbers)
        now = self._clock.now()
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            load.open_calls[number] = now
            load.circuit = probing(load.circuit)
        return number

    def note_report(
        self, server: Server, report: LoadReport, lasting: bool = False
    ) -> None:
        """Record a server's report of its load.

        :param lasting: whether it came at the beginning of a call that goes on.
        """
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            first = load.report is None
            load.report = report
            load.report_at = self._clock.now()
            load.own_at_report = load.in_progress
            if lasting:
                load.limit = limit_with_report(load.limit, load.in_progress, report)
        if first:
            self._first_report(server.service)

    def end(
        self, server: Server, number: int, end: CallEnd, seconds: float, kind: str = ""
    ) -> None:
        """Record the end of a call.

        :param number: the call's number.
        :param seconds: the duration of the call.
        :param kind: calls of one kind take about the same time on an idle server.
        """
        now = self._clock.now()
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            if end is CallEnd.ANSWERED:
                _record_answer(load, seconds, kind, now)
            elif end is CallEnd.CANCELLED:
                _record_cancellation(load, seconds, now)
            elif end is CallEnd.REFUSED:
                _record_refusal(load, now)
            else:
                reached = end is CallEnd.CUT
                load.circuit = after_failure(load.circuit, now, reached, self._rng)
            load.open_calls.pop(number, None)

    def close_circuits(self, servers: Iterable[Server]) -> None:
        """Forget the failures of servers that this entry could not reach."""
        with self._lock:
            for server in servers:
                load = self._loads.get(server.identity)
                if load is not None:
                    load.circuit = CLOSED

    def snapshot(self) -> dict[str, ServerLoad]:
        """Return copies of the loads of measured servers by name, for status pages."""
        with self._lock:
            called = [(k, v) for k, v in self._loads.items() if v.seconds_at]
            return {
                name: replace(load, open_calls=dict(load.open_calls))
                for (name, _, _), load in called
            }


def _record_answer(load: ServerLoad, seconds: float, kind: str, now: float) -> None:
    _smooth(load, seconds, now)
    minimum = min(load.min_seconds.get(kind, seconds) * MINIMUM_GROWTH, seconds)
    load.min_seconds[kind] = minimum
    if load.circuit.until:
        load.eased_from = now
    load.circuit = CLOSED
    report = load.report if load.report_at >= now - seconds else None
    queueing = is_queueing(seconds, minimum, report)
    # Every call that waited in the same queue at the server detects it; the limit must
    # be lowered only once for all of them.
    if queueing and now - load.limit_at < load.seconds:
        return
    load.limit = next_limit(load.limit, load.in_progress, queueing)
    load.limit_at = now if queueing else load.limit_at


def _record_cancellation(load: ServerLoad, seconds: float, now: float) -> None:
    load.circuit = after_probe_cancelled(load.circuit)
    if seconds > load.seconds:
        _smooth(load, seconds, now)


def _record_refusal(load: ServerLoad, now: float) -> None:
    load.circuit = CLOSED
    load.limit = next_limit(load.limit, load.in_progress, queueing=True)
    load.limit_at = now


def _smooth(load: ServerLoad, seconds: float, now: float) -> None:
    """Update the smoothed time; the older it is, the more the new time weighs."""
    previous = load.seconds or seconds
    decay = min(1.0, (now - load.seconds_at) / load.forget_seconds)
    if seconds < UNCHANGED_SHARE * previous:
        load.forget_seconds = FORGET_SECONDS
    elif decay >= UNCHANGED_SHARE:
        load.forget_seconds = min(MAX_FORGET_SECONDS, 2 * load.forget_seconds)
    smoothing = SLOW_SMOOTHING if seconds > SLOW_FACTOR * previous else SMOOTHING
    weight = max(smoothing, decay)
    load.seconds = previous + weight * (seconds - previous)
    load.seconds_at = now
