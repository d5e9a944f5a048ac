"""Confirms that this entry is cut off from a service, and notices its return.

A check sends a probe to a few servers of each suspected service and asks a few other
entries when these services last answered them. Probes are sent only while there is a
suspicion, and at a low rate while the entry is cut off. ``policy.server_reach`` judges
what they show, ``entry.reach`` announces the result.
"""

import itertools
import random
import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope
from boragestream.entry.reach_messages import NEVER, ReachAsk, ReachReply
from boragestream.policy.cut_entries import ALL_SERVICES, CutEntries
from boragestream.policy.peers import ListedEntry
from boragestream.policy.server_reach import FAILURES_TO_SUSPECT, ServerReach
from boragestream.policy.servers import Server

__all__ = ["Probe", "ProbeResult", "ReachChecks"]

PROBE_SECONDS = 0.4
# Servers of a service that one check probes, each in another data centre if possible.
PROBES_PER_SERVICE = 3
# Services that one check covers; further ones wait for the next check.
MAX_SERVICES = 8
WITNESSES = 3
ASK_SECONDS = 0.4
THREADS = 16
# The pause between checks while it is not yet clear which side fails.
UNCLEAR_SECONDS = 0.25
MAX_UNCLEAR_CHECKS = 12
# Unclear checks in a row after which no request is delegated on suspicion any more.
CHECKS_TO_REFUTE = 3
# Hanging probes may also show that this process itself was suspended or starved.
CHECKS_IF_HANGING = 2
RETURN_PROBE_SECONDS = 0.5
# An entry that is asked and has had no answer for this long probes the service itself.
STALE_ANSWER_SECONDS = 1.0
# After another entry was cut off, the own links are looked at no more often than this.
LOOK_GAP_SECONDS = 5.0
# A service that answered within this time is reached.
RECENT_ANSWER_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What a probe of a server showed.

    :ivar answered: whether the server answered anything.
    :ivar hung: whether nothing came back in time, not even a refusal.
    :ivar sent: whether the probe was allowed; if not, it shows nothing.
    """

    answered: bool
    hung: bool = False
    sent: bool = True


class Probe(Protocol):
    """Sends a request to a server on a new connection."""

    def __call__(self, server: Server, seconds: float) -> ProbeResult:
        """Return what the request showed; any answer counts."""


class ReachChecks:
    """Checks suspicions, and probes while the entry is cut off.

    :param own: this entry's name.
    :param data_centre: this entry's data centre.
    :param peers: returns the live entries, maybe including this one.
    :param servers: returns the live servers of a service.
    :param services: returns the names of all services that have servers.
    :param returned: called with a service when the entry reaches it again.
    :param spared: returns whether a server is probed only if there are too few others.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        reach: ServerReach,
        cut_entries: CutEntries,
        probe: Probe,
        peers: Callable[[], Sequence[ListedEntry]],
        servers: Callable[[str], Sequence[Server]],
        services: Callable[[], Iterable[str]],
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        returned: Callable[[str], None] = lambda service: None,
        spared: Callable[[Server], bool] = lambda server: False,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._next_look = 0.0
        self._reach = reach
        self._cut_entries = cut_entries
        self._probe = probe
        self._peers = peers
        self._servers = servers
        self._services = services
        self._links = links
        self._clock = clock
        self._rng = rng
        self._on_returned = returned
        self._is_spared = spared
        self._cut_at: dict[str, float] = {}
        self._hung_checks: dict[str, int] = {}
        self._unclear_checks: dict[str, int] = {}
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._executor: ThreadPoolExecutor | None = None
        self._requested: set[str] = set()
        reach.on_suspected(self._wake.set)
        reach.on_changed(self._note_change)

    def run(self) -> None:
        """Check suspicions until ``close``; the task of one thread."""
        while not self._closed.is_set():
            cut = bool(self._reach.cut_services)
            self._wake.wait(RETURN_PROBE_SECONDS if cut else None)
            self._wake.clear()
            if self._closed.is_set():
                return
            try:
                self._check()
            except Exception as error:
                emit(Event.TASK_FAILED, task="reach", error=describe_error(error))

    def check_silence(self) -> None:
        """Look for calls without an answer; called periodically."""
        self._reach.check_silence()
        if self._reach.due_services():
            self._wake.set()

    def close(self) -> None:
        """End ``run``."""
        self._closed.set()
        self._wake.set()

    def note_cut_entry(self, entry: str) -> None:
        """Check the own links after another entry announced that it is cut off.

        An entry without traffic would otherwise take over roles that it can't fill.
        Only entries of one data centre are likely to lose their links together.
        """
        now = self._clock.now()
        near = any(
            peer.name == entry and peer.data_centre == self._data_centre
            for peer in self._peers()
        )
        if not near or now < self._next_look:
            return
        self._next_look = now + LOOK_GAP_SECONDS
        stale = {
            service
            for service in self._services()
            if self._reach.answer_age(service) > STALE_ANSWER_SECONDS
        }
        if stale:
            self._requested |= stale
            self._wake.set()

    def answer(self, envelope: Envelope, message: ReachAsk) -> ReachReply:
        """Tell another entry when services last answered this one."""
        ages = [self._reach.answer_age(service) for service in message.services]
        stale = {
            service
            for service, age in zip(message.services, ages, strict=True)
            if age > STALE_ANSWER_SECONDS and self._servers(service)
        }
        if stale:
            self._requested |= stale
            self._wake.set()
        return ReachReply(
            tuple(NEVER if age > 1e6 else int(age * 1000) for age in ages)
        )

    def _check(self) -> None:
        requested, self._requested = self._requested, set()
        cut = self._reach.cut_services
        self._probe_all({s: 1 for s in list(requested - cut)[:MAX_SERVICES]})
        due = self._reach.due_services()[:MAX_SERVICES]
        if due:
            self._check_suspicions(due)
        if cut:
            # One server of each service, so that the number of probes stays low.
            self._probe_all({service: 1 for service in list(cut)[:MAX_SERVICES]})

    def _check_suspicions(self, due: Sequence[str]) -> None:
        checked = dict.fromkeys(due, PROBES_PER_SERVICE)
        asked = self._executor_of().submit(self._ask_peers, tuple(checked))
        results = self._probe_all(checked)
        ages, replied = asked.result()
        again = False
        for service in checked:
            witness = ages.get(service)
            unclear = self._judge(service, results[service], witness, replied)
            again = again or unclear
        if not self._reach.cut_services.isdisjoint(checked):
            self._probe_others()
        if again:
            threading.Timer(UNCLEAR_SECONDS, self._wake.set).start()

    def _probe_others(self) -> None:
        """Probe the services that were not called lately, once one is cut off.

        Whether they are reached decides which roles this entry keeps for others.
        """
        cut = self._reach.cut_services
        others = [
            service
            for service in self._services()
            if service not in cut
            and self._reach.answer_age(service) > RECENT_ANSWER_SECONDS
        ]
        self._probe_all(dict.fromkeys(others[:MAX_SERVICES], 2))

    def _judge(
        self,
        service: str,
        results: Sequence[tuple[Server, ProbeResult]],
        witness: tuple[str, float] | None,
        replied: bool,
    ) -> bool:
        """Record what a check showed; return whether it should be repeated soon.

        :param witness: the entry that the service answered last, and how long ago.
        :param replied: whether any other entry replied; nothing is refuted otherwise.
        """
        servers = len(self._servers(service))
        if not servers or any(result.answered for _, result in results):
            self._hung_checks.pop(service, None)
            self._unclear_checks.pop(service, None)
            self._reach.note_unconfirmed(service)
            return False
        hung = any(result.hung for _, result in results)
        # The answer of another entry can be that of a server which was not probed.
        enough = len(results) >= min(FAILURES_TO_SUSPECT, servers)
        checks = self._hung_checks[service] = self._hung_checks.get(service, 0) + enough
        conclusive = enough and (not hung or checks >= CHECKS_IF_HANGING)
        if witness is not None and conclusive:
            failed = [server.data_centre for server, _ in results]
            evidence = self._reach.confirm(service, failed, *witness)
            if evidence is not None:
                self._cut_at[service] = self._clock.now()
                self._hung_checks.pop(service, None)
                self._unclear_checks.pop(service, None)
                emit(
                    Event.CUT_OFF_FROM_SERVERS,
                    service=service,
                    data_centres=evidence.failed,
                    silent_ms=int(evidence.silent_seconds * 1000),
                    witness=evidence.witness,
                    witness_age_ms=int(evidence.witness_age * 1000),
                )
                return False
        unclear = self._unclear_checks[service] = (
            self._unclear_checks.get(service, 0) + 1
        )
        if unclear < MAX_UNCLEAR_CHECKS:
            # Another entry may have been answered since, if only shortly after.
            answered = witness is not None and witness[1] < self._reach.silence(service)
            shown = enough and replied and not answered
            refuted = shown and unclear >= CHECKS_TO_REFUTE
            self._reach.note_unconfirmed(service, UNCLEAR_SECONDS, refuted)
            return True
        self._unclear_checks.pop(service, None)
        self._reach.note_unconfirmed(service, refuted=replied)
        return False

    def _probe_all(
        self, counts: dict[str, int]
    ) -> dict[str, list[tuple[Server, ProbeResult]]]:
        """Probe some servers of each service at once."""
        began = self._clock.now()
        chosen = {s: self._choose_servers(s, count) for s, count in counts.items()}
        probes: dict[str, list[tuple[Server, Future[ProbeResult]]]] = {
            service: [
                (
                    server,
                    self._executor_of().submit(self._probe, server, PROBE_SECONDS),
                )
                for server in servers
            ]
            for service, servers in chosen.items()
        }
        results = {
            service: [
                (server, result)
                for server, future in sent
                if (result := future.result()).sent
            ]
            for service, sent in probes.items()
        }
        for server, result in itertools.chain.from_iterable(results.values()):
            if result.hung:
                self._reach.note_failure(server, True, began)
        return results

    def _choose_servers(self, service: str, count: int) -> list[Server]:
        servers = list(self._servers(service))
        self._rng.shuffle(servers)
        seen: set[str] = set()
        first = [
            s for s in servers if not (s.data_centre in seen or seen.add(s.data_centre))
        ]
        rest = [server for server in servers if server not in first]
        return sorted([*first, *rest], key=self._is_spared)[:count]

    def _ask_peers(
        self, services: tuple[str, ...]
    ) -> tuple[dict[str, tuple[str, float]], bool]:
        """Return the latest answer of each service to another entry, with its age.

        :returns: also whether any other entry replied.
        """
        peers = [
            entry
            for entry in self._peers()
            if entry.name != self._own
            and entry.host
            and not self._cut_entries.is_cut_off(entry.name)
        ]
        self._rng.shuffle(peers)
        message = ReachAsk(services)
        asked = [
            (
                peer.name,
                self._executor_of().submit(
                    self._links.ask, peer.peer_address, message, ASK_SECONDS
                ),
            )
            for peer in peers[:WITNESSES]
        ]
        latest: dict[str, tuple[str, float]] = {}
        replied = False
        for name, future in asked:
            reply = future.result()
            if not isinstance(reply, ReachReply):
                continue
            replied = True
            for service, age_ms in zip(services, reply.ages_ms, strict=False):
                age = age_ms / 1000
                known = latest.get(service)
                if age_ms != NEVER and (known is None or age < known[1]):
                    latest[service] = (name, age)
        return latest, replied

    def _note_change(self, service: str) -> None:
        """Announce that the entry was cut off from a service, or reaches it again."""
        cut = self._reach.cut_services
        if service not in cut:
            cut_at = self._cut_at.pop(service, self._clock.now())
            emit(
                Event.SERVERS_REACHED_AGAIN,
                service=service,
                seconds=round(self._clock.now() - cut_at, 3),
            )
            self._on_returned(service)
        known = [name for name in self._services() if self._servers(name)]
        everything = bool(known) and all(name in cut for name in known)
        self._cut_entries.announce([ALL_SERVICES] if everything else sorted(cut))

    def _executor_of(self) -> ThreadPoolExecutor:
        if self._executor is None:
            self._executor = ThreadPoolExecutor(THREADS, "reach")
        return self._executor
