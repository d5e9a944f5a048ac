"""Determines from its own calls which services an entry can't reach any more.

An entry whose links to all servers of a service are cut sees what it would see if these
servers had died: connections are refused or hang, calls are reset or stay unanswered.
Failed or silent calls therefore only raise a suspicion. ``serving.reach_checks``
confirms it: the entry counts as cut off from a service if all servers that it tries
fail while another entry has had an answer from the service since this entry last had
one. A pause of the servers themselves silences all entries alike and confirms nothing.

Answers on connections that were open before a cut may go on while new connections
fail. Calls that may use an open connection are then still sent.

Times are in the clock's seconds. Safe to use from any thread.
"""

import math
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from boragestream.base.clock import Clock
from boragestream.policy.reach_records import CutEvidence, OpenServerCall
from boragestream.policy.servers import Server

__all__ = ["FAILURES_TO_SUSPECT", "CutEvidence", "OpenServerCall", "ServerReach"]

# Failures at this many servers with no answer in between raise a suspicion. The single
# server of a service raises it alone.
FAILURES_TO_SUSPECT = 2
# A call counts as silent after this multiple of the usual time to an answer's head, and
# never before the minimum, so that a short pause of the servers raises no suspicion.
SILENCE_FACTOR = 4.0
MIN_SILENCE_SECONDS = 0.4
SMOOTHING = 0.2
# Another entry's answer counts only if it is later than this entry's last answer by
# more than the skew that delays of messages and threads can cause.
MIN_LEAD_SECONDS = 0.15
# A kept connection counts as usable if one answered within this time.
KEPT_SECONDS = 1.0
# After a suspicion that was not confirmed, the next one is checked only after a pause,
# which doubles up to the maximum.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 30.0
# Answers that end a cut. More are required after a cut that followed another one
# within ``FLAPPING_SECONDS``, so that a link that fails again and again is not used.
ANSWERS_TO_RETURN = 2
MAX_ANSWERS_TO_RETURN = 8
FLAPPING_SECONDS = 10.0


@dataclass(slots=True)
class _Service:
    """What the calls of one service have shown.

    :ivar answered_at: when any call was last answered.
    :ivar fresh_answered_at: when a call on a new connection was last answered.
    :ivar failed: the data centres of the servers at which calls have failed since, by
        the server's name.
    :ivar fresh_failed: whether one of these calls used a new connection.
    :ivar silent: whether calls were sent and none has been answered for long.
    :ivar refuted: whether checks showed that other entries reach it no better.
    :ivar failing_since: when the first of these calls was sent or its last byte came.
    :ivar head_seconds: the smoothed time to the head of an answer.
    :ivar cut_at: when the entry was found to be cut off; None while it is not.
    """

    answered_at: float = -math.inf
    fresh_answered_at: float = -math.inf
    failed: dict[str, str] = field(default_factory=dict)
    fresh_failed: bool = False
    silent: bool = False
    refuted: bool = False
    failing_since: float = math.inf
    head_seconds: float = 0.0
    cut_at: float | None = None
    healed_at: float = -math.inf
    answers_to_return: int = ANSWERS_TO_RETURN
    answers_since_cut: int = 0
    check_at: float = -math.inf
    pause: float = FIRST_PAUSE_SECONDS


class ServerReach:
    """Which services this entry reaches.

    :param count_servers: returns the number of live servers of a service.
    :param suspected: called when a suspicion should be checked now.
    :param changed: called with a service after the entry was cut off or returned.
    """

    def __init__(
        self,
        clock: Clock,
        count_servers: Callable[[str], int],
        suspected: Callable[[], None] = lambda: None,
        changed: Callable[[str], None] = lambda service: None,
    ) -> None:
        self._clock = clock
        self._count_servers = count_servers
        self._on_suspected = suspected
        self._on_changed = changed
        self._services: dict[str, _Service] = {}
        self._open: set[OpenServerCall] = set()
        self._cut: frozenset[str] = frozenset()
        self._lock = threading.RLock()

    @property
    def cut_services(self) -> frozenset[str]:
        """The services from which this entry is cut off."""
        return self._cut

    def on_suspected(self, suspected: Callable[[], None]) -> None:
        """Set the function that is called when a suspicion should be checked."""
        self._on_suspected = suspected

    def on_changed(self, changed: Callable[[str], None]) -> None:
        """Set the function that is called after a service was cut off or reached."""
        self._on_changed = changed

    def is_cut_off(self, service: str, fresh: bool = True) -> bool:
        """Return whether calls of a service can't reach any of its servers.

        :param fresh: whether the call needs a new connection.
        """
        if service not in self._cut:
            return False
        known = self._services[service]
        kept_seconds = self._clock.now() - known.answered_at
        return fresh or kept_seconds > KEPT_SECONDS

    def is_suspect(self, service: str) -> bool:
        """Return whether calls failed at several servers with no answer since.

        A suspicion that checks have refuted does not count.
        """
        known = self._services.get(service)
        if known is None or known.refuted:
            return False
        return self._has_failures(service, known)

    def answer_age(self, service: str) -> float:
        """Return the seconds since the service last answered; infinite if never."""
        known = self._services.get(service)
        return math.inf if known is None else self._clock.now() - known.answered_at

    def has_answered_since(self, moment: float) -> bool:
        """Return whether any server of any service has answered since a moment."""
        return any(s.answered_at > moment for s in list(self._services.values()))

    def begin(
        self, server: Server, fresh: bool, abandon: Callable[[], None] | None = None
    ) -> OpenServerCall:
        """Record that a call is about to be sent.

        :param fresh: whether it uses a new connection.
        :param abandon: cancels the call if the entry is found to be cut off; None if
            it may not be sent again elsewhere.
        """
        now = self._clock.now()
        call = OpenServerCall(server, fresh, now, now, abandon=abandon)
        with self._lock:
            self._open.add(call)
        return call

    def note_answer(self, call: OpenServerCall) -> None:
        """Record that the head of a call's answer has arrived."""
        now = self._clock.now()
        call.answered, call.heard_at = True, now
        known = self._of(call.server.service)
        seconds = now - call.sent_at
        known.head_seconds += SMOOTHING * (seconds - known.head_seconds)
        known.answered_at = now
        if call.fresh:
            self._note_fresh_answer(known, call.server.service, now)
        elif known.failed and not known.fresh_failed:
            self._clear_failures(known)

    def note_bytes(self, call: OpenServerCall) -> None:
        """Record that further bytes of a call's answer have arrived."""
        now = self._clock.now()
        call.heard_at = now
        self._of(call.server.service).answered_at = now

    def end(self, call: OpenServerCall, failed: bool) -> None:
        """Record that a call has ended.

        :param failed: whether its connection failed, or it was never answered.
        """
        with self._lock:
            self._open.discard(call)
        if failed:
            self.note_failure(call.server, call.fresh, call.heard_at)

    def note_failure(self, server: Server, fresh: bool, since: float) -> None:
        """Record a failed connection.

        :param since: when the call was sent, or when its last bytes arrived.
        """
        known = self._of(server.service)
        with self._lock:
            if since < (known.fresh_answered_at if fresh else known.answered_at):
                return
            known.failed[server.name] = server.data_centre
            known.fresh_failed = known.fresh_failed or fresh
            known.failing_since = min(known.failing_since, since)
            due = self._is_due(server.service, known)
        if due:
            self._on_suspected()

    def check_silence(self) -> None:
        """Raise a suspicion for services whose calls are all silent.

        Calls that are silent behind a cut are abandoned.
        """
        if self._cut:
            self._abandon_silent()
        now = self._clock.now()
        suspected = False
        with self._lock:
            oldest: dict[str, OpenServerCall] = {}
            for call in self._open:
                if call.answered:
                    continue
                first = oldest.get(call.server.service)
                if first is None or call.sent_at < first.sent_at:
                    oldest[call.server.service] = call
            for service, call in oldest.items():
                known = self._of(service)
                silent = now - max(call.sent_at, known.answered_at)
                limit = SILENCE_FACTOR * known.head_seconds
                if silent < max(MIN_SILENCE_SECONDS, limit):
                    continue
                for other in self._open:
                    if other.server.service == service and not other.answered:
                        known.failed[other.server.name] = other.server.data_centre
                        known.fresh_failed = known.fresh_failed or other.fresh
                known.failing_since = min(known.failing_since, call.sent_at)
                known.silent = True
                suspected = suspected or now >= known.check_at
        if suspected:
            self._on_suspected()

    def due_services(self) -> list[str]:
        """Return the suspected services that should be checked now."""
        now = self._clock.now()
        with self._lock:
            return [
                service
                for service, known in self._services.items()
                if known.cut_at is None
                and now >= known.check_at
                and (known.silent or self._has_failures(service, known))
            ]

    def silence(self, service: str) -> float:
        """Return the seconds for which new connections have had no answer."""
        now, known = self._clock.now(), self._of(service)
        return now - max(known.fresh_answered_at, min(known.failing_since, now))

    def note_unconfirmed(
        self, service: str, again_in: float | None = None, refuted: bool = True
    ) -> None:
        """Record that a check did not confirm a suspicion.

        :param again_in: the seconds until the next check; None for a growing pause.
        :param refuted: whether other entries probably reach the service no better.
        """
        known = self._of(service)
        with self._lock:
            known.refuted = known.refuted or refuted
            if again_in is None:
                again_in = known.pause
                known.pause = min(MAX_PAUSE_SECONDS, 2 * known.pause)
            known.check_at = self._clock.now() + again_in

    def confirm(
        self, service: str, failed: Iterable[str], witness: str, witness_age: float
    ) -> CutEvidence | None:
        """Record that the entry is cut off; return the evidence.

        :param failed: the data centres whose servers did not answer a check.
        :param witness: an entry that the service has answered.
        :param witness_age: the seconds since that answer.
        :returns: None if the answer is no later than this entry's own last one.
        """
        now = self._clock.now()
        known = self._of(service)
        with self._lock:
            if known.cut_at is not None:
                return None
            silent = self.silence(service)
            if witness_age + MIN_LEAD_SECONDS > silent:
                return None
            known.cut_at = now
            flapping = now - known.healed_at < FLAPPING_SECONDS
            factor = 2 if flapping else 1
            known.answers_to_return = min(
                MAX_ANSWERS_TO_RETURN,
                factor * known.answers_to_return if flapping else ANSWERS_TO_RETURN,
            )
            known.answers_since_cut = 0
            self._cut = self._cut | {service}
            centres = tuple(sorted({*known.failed.values(), *failed}))
            since = max(known.answered_at, known.failing_since) + MIN_LEAD_SECONDS
            silent_calls = [
                call
                for call in self._silent_calls({service})
                if call.heard_at <= since or self._is_lost(call, known)
            ]
        for call in silent_calls:
            call.abandon()
        self._on_changed(service)
        return CutEvidence(service, centres, silent, witness, witness_age)

    def _silent_calls(self, services: Collection[str]) -> list[OpenServerCall]:
        """Return the calls that have had no byte lately and may be abandoned."""
        now = self._clock.now()
        return [
            call
            for call in self._open
            if call.server.service in services
            and call.abandon is not None
            and now - call.heard_at >= MIN_SILENCE_SECONDS
        ]

    def _is_lost(self, call: OpenServerCall, known: _Service) -> bool:
        """Return whether a call of a service that is cut off won't be answered.

        Connections that were open before the cut may still carry answers.
        """
        kept_fail = self._clock.now() - known.answered_at > KEPT_SECONDS
        return call.heard_at == call.sent_at and (call.fresh or kept_fail)

    def _abandon_silent(self) -> None:
        """Abandon the calls that were too young when their service was cut off."""
        with self._lock:
            silent_calls = [
                call
                for call in self._silent_calls(self._cut)
                if self._is_lost(call, self._services[call.server.service])
            ]
        for call in silent_calls:
            call.abandon()

    def _note_fresh_answer(self, known: _Service, service: str, now: float) -> None:
        known.fresh_answered_at = now
        if not known.failed and known.cut_at is None:
            return
        returned = False
        with self._lock:
            self._clear_failures(known)
            if known.cut_at is None:
                return
            known.answers_since_cut += 1
            if known.answers_since_cut >= known.answers_to_return:
                known.cut_at = None
                known.healed_at = now
                known.pause = FIRST_PAUSE_SECONDS
                self._cut = self._cut - {service}
                returned = True
        if returned:
            self._on_changed(service)

    def _clear_failures(self, known: _Service) -> None:
        with self._lock:
            known.failed.clear()
            known.fresh_failed = known.silent = known.refuted = False
            known.failing_since = math.inf

    def _of(self, service: str) -> _Service:
        known = self._services.get(service)
        if known is None:
            with self._lock:
                known = self._services.setdefault(service, _Service())
        return known

    def _has_failures(self, service: str, known: _Service) -> bool:
        if not known.failed:
            return False
        servers = self._count_servers(service)
        return len(known.failed) >= max(1, min(FAILURES_TO_SUSPECT, servers))

    def _is_due(self, service: str, known: _Service) -> bool:
        due = known.cut_at is None and self._clock.now() >= known.check_at
        return due and self._has_failures(service, known)
