"""What an entry knows of each server's load.

Counts, times, limits and failures come from the entry's own calls; what other
entries do there is known from the server's reports alone. Choosing among the servers
is left to ``policy.routing``.
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
    probing,
)
from boragestream.policy.concurrency import INITIAL_LIMIT, is_queueing, next_limit
from boragestream.policy.reports import LoadReport, calls_of_others
from boragestream.policy.servers import Server

__all__ = ["CallEnd", "LoadTable", "ServerLoad"]

SMOOTHING = 0.2
# A much slower answer counts for more than a usual one: a straggler must be known
# before it has spoilt many calls.
SLOWER = 2.0
SLOWER_SMOOTHING = 0.5
# What was measured longer ago says nothing of a server any more. Each time that a
# forgotten server turns out to be as it was, it is believed for longer, so that the
# probes of a lasting straggler become rare.
FORGET_SECONDS = 3.0
MOST_FORGET_SECONDS = 24.0
UNCHANGED_SHARE = 0.5
# The least time creeps up, so that a server that has become slower for good is
# measured by what it can do now.
LEAST_GROWTH = 1.002


class CallEnd(Enum):
    """How a call on a server ended."""

    ANSWERED = "the answer is whole"
    CUT = "the answer was an error or not whole"
    UNREACHED = "the server could not be reached"
    REFUSED = "the server refused the call"
    CANCELLED = "the call was cancelled and says only how long it took at least"


@dataclass(slots=True)
class ServerLoad:
    """The load of one server as known to this entry.

    :ivar open_calls: when each call that this entry has open there began.
    :ivar seconds: smoothed time of a call; 0 before the first.
    :ivar seconds_at: when ``seconds`` was last measured.
    :ivar forget_seconds: after how long a measurement says nothing any more.
    :ivar least: the least time seen, by kind of call.
    :ivar report: the server's last report; None before the first.
    :ivar report_at: when it came.
    :ivar own_at_report: calls of this entry at that moment.
    :ivar limit: how many calls this entry may have open there.
    :ivar limit_at: when the limit was last lowered.
    :ivar circuit: what recent failures say.
    :ivar eased_from: when its share began to grow; None where it is whole.
    """

    open_calls: dict[int, float] = field(default_factory=dict)
    seconds: float = 0.0
    seconds_at: float = 0.0
    forget_seconds: float = FORGET_SECONDS
    least: dict[str, float] = field(default_factory=dict)
    report: LoadReport | None = None
    report_at: float = 0.0
    own_at_report: int = 0
    limit: float = INITIAL_LIMIT
    limit_at: float = 0.0
    circuit: Circuit = CLOSED
    eased_from: float | None = None

    @property
    def in_progress(self) -> int:
        """How many calls this entry has open there."""
        return len(self.open_calls)

    def oldest_seconds(self, now: float) -> float:
        """Return for how long the oldest open call has been waiting; 0 for none."""
        with contextlib.suppress(StopIteration, RuntimeError):
            # Another thread may end a call meanwhile; then the next look tells.
            return now - next(iter(self.open_calls.values()))
        return 0.0

    def slots(self, with_reports: bool = True) -> float:
        """Return how many calls run at once; the limit where none was reported."""
        if self.report is None or not with_reports:
            return self.limit
        return self.report.slots

    def calls(self, now: float, with_reports: bool = True) -> float:
        """Return the expected calls in progress, those of other entries included."""
        if self.report is None or not with_reports:
            return self.in_progress
        age = now - self.report_at
        others = calls_of_others(self.report, self.own_at_report, age)
        return self.in_progress + others


class LoadTable:
    """The loads by server.

    :param clock: times reports, failures and easing.
    :param rng: spreads the probes of ejected servers.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._loads: dict[tuple[str, str, str], ServerLoad] = {}
        self._lock = threading.Lock()
        self._regions: dict[str, str] = {}
        self._listed = False
        self._numbers = itertools.count()
        self._first_report: Callable[[str], None] = lambda service: None

    def when_first_reported(self, reported: Callable[[str], None]) -> None:
        """Have a function called with the service of a server's first report."""
        self._first_report = reported

    def get(self, server: Server) -> ServerLoad:
        """Return the load of a server; an empty one for a server not yet called."""
        return self._loads.get(server.identity) or ServerLoad()

    def take_list(self, servers: Iterable[Server]) -> None:
        """Take the listed servers: ease new ones in and forget those that are gone.

        The servers of the first list are new to this entry alone and need no easing.
        """
        now = self._clock.now()
        with self._lock:
            kept = {}
            regions = {}
            for server in servers:
                regions[server.data_centre] = server.region
                load = self._loads.get(server.identity) or ServerLoad()
                if self._listed and server.identity not in self._loads:
                    load.eased_from = now
                kept[server.identity] = load
            self._loads = kept
            self._regions = regions
            self._listed = True

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty where it is not known."""
        return self._regions.get(data_centre, "")

    def begin(self, server: Server) -> int:
        """Count a call that begins; return its number, which ``end`` asks for."""
        number = next(self._numbers)
        now = self._clock.now()
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            load.open_calls[number] = now
            load.circuit = probing(load.circuit)
        return number

    def note_report(self, server: Server, report: LoadReport) -> None:
        """Take a server's report of its load."""
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            first = load.report is None
            load.report = report
            load.report_at = self._clock.now()
            load.own_at_report = load.in_progress
        if first:
            self._first_report(server.service)

    def end(
        self, server: Server, number: int, end: CallEnd, seconds: float, kind: str = ""
    ) -> None:
        """Count a call that has ended.

        :param number: the call's number.
        :param seconds: how long it took.
        :param kind: calls of one kind need about the same time on an idle server.
        """
        now = self._clock.now()
        with self._lock:
            load = self._loads.setdefault(server.identity, ServerLoad())
            if end is CallEnd.ANSWERED:
                _take_answer(load, seconds, kind, now)
            elif end is CallEnd.CANCELLED:
                _take_cancelled(load, seconds, now)
            elif end is CallEnd.REFUSED:
                _take_refusal(load, now)
            else:
                reached = end is CallEnd.CUT
                load.circuit = after_failure(load.circuit, now, reached, self._rng)
            load.open_calls.pop(number, None)

    def snapshot(self) -> dict[str, ServerLoad]:
        """Return a copy, by server name, of what was called, for status pages."""
        with self._lock:
            called = [(k, v) for k, v in self._loads.items() if v.seconds_at]
            return {
                name: replace(load, open_calls=dict(load.open_calls))
                for (name, _, _), load in called
            }


def _take_answer(load: ServerLoad, seconds: float, kind: str, now: float) -> None:
    _smooth(load, seconds, now)
    least = min(load.least.get(kind, seconds) * LEAST_GROWTH, seconds)
    load.least[kind] = least
    if load.circuit.until:
        load.eased_from = now
    load.circuit = CLOSED
    report = load.report if load.report_at >= now - seconds else None
    queueing = is_queueing(seconds, least, report)
    # One queue at the server is seen by every call that waited in it, and shall
    # lower the limit once.
    if queueing and now - load.limit_at < load.seconds:
        return
    load.limit = next_limit(load.limit, load.in_progress, queueing)
    load.limit_at = now if queueing else load.limit_at


def _take_cancelled(load: ServerLoad, seconds: float, now: float) -> None:
    load.circuit = after_probe_cancelled(load.circuit)
    if seconds > load.seconds:
        _smooth(load, seconds, now)


def _take_refusal(load: ServerLoad, now: float) -> None:
    load.circuit = CLOSED
    load.limit = next_limit(load.limit, load.in_progress, queueing=True)
    load.limit_at = now


def _smooth(load: ServerLoad, seconds: float, now: float) -> None:
    """Take a measured time; the older the last one, the more the new one counts."""
    known = load.seconds or seconds
    faded = min(1.0, (now - load.seconds_at) / load.forget_seconds)
    if seconds < UNCHANGED_SHARE * known:
        load.forget_seconds = FORGET_SECONDS
    elif faded >= UNCHANGED_SHARE:
        load.forget_seconds = min(MOST_FORGET_SECONDS, 2 * load.forget_seconds)
    smoothing = SLOWER_SMOOTHING if seconds > SLOWER * known else SMOOTHING
    weight = max(smoothing, faded)
    load.seconds = known + weight * (seconds - known)
    load.seconds_at = now
