"""Replicates and requests the records of where streams began.

Records are sent to two other entries while several software versions of a service
serve, so that a stream can go on after the entry that began it is lost. All records of
a service are sent at the moment when a second version appears. What a record means is
decided by ``policy.stream_origins``.
"""

import threading
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.entry.links import PeerLinks, PeerUnreachable
from boragestream.entry.messages import Envelope, ProbeReply
from boragestream.entry.stream_messages import (
    OriginAsk,
    OriginReply,
    OriginsNote,
    PackedOrigin,
)
from boragestream.policy.fingerprints import FINGERPRINT_BYTES
from boragestream.policy.peers import ListedEntry
from boragestream.policy.stream_origins import (
    OriginReport,
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
    StreamOrigins,
    record_holders,
    resolve_origin,
)
from boragestream.policy.version_history import VersionHistory

__all__ = ["ServerListSource", "StreamRecords"]

# Two entries in different data centres are rarely lost together with a third one.
HOLDERS = 2
# Entries that joined or left since a record was sent change its holders.
REQUESTED_ENTRIES = 6
REPLY_TIMEOUT_SECONDS = 0.25
# A caller whose stream is refused later could have been served elsewhere by then.
FIND_SECONDS = 0.5
# An entry that gave no answer is not asked for this long, and counts as silent.
SILENCE_SECONDS = 0.5
# A caller may return faster than a record reaches its holders.
RECORD_DELAY_SECONDS = 0.04
SEND_TIMEOUT_SECONDS = 0.5
MAX_RECORDS_IN_MESSAGE = 500
# A server list that was confirmed longer ago may lack a version.
CURRENT_LIST_SECONDS = 3.0
SENDING_THREADS = 4
REQUEST_THREADS = 24


class ServerListSource(Protocol):
    """Where the server list comes from."""

    def age(self) -> float:
        """Return the seconds since the list was last confirmed."""

    def confirm(self) -> bool:
        """Return whether all that was published before this call is listed now."""

    def read_past(self) -> None:
        """Add what was listed before the first list to the history.

        It does so if the store still has its whole history, and nothing once that is
        known.
        """


class StreamRecords:
    """The records of this entry's streams and of those that it holds for others.

    :param own: this entry's name.
    :param entries: returns the live entries, this one may be among them.
    """

    def __init__(
        self,
        own: str,
        clock: Clock,
        origins: StreamOrigins,
        history: VersionHistory,
        entries: Callable[[], Sequence[ListedEntry]],
        links: PeerLinks,
        server_list: ServerListSource,
    ) -> None:
        self._own = own
        self._clock = clock
        self._origins = origins
        self._history = history
        self._entries = entries
        self._links = links
        self._server_list = server_list
        # Until when entries count as silent, by address.
        self._silent_until: dict[str, float] = {}
        # Records that wait for the message before them, by the holder's address.
        self._waiting: dict[str, list[PackedOrigin]] = {}
        self._sending: set[str] = set()
        self._lock = threading.Lock()
        self._senders = ThreadPoolExecutor(SENDING_THREADS, "stream-record")
        self._requesters = ThreadPoolExecutor(REQUEST_THREADS, "stream-origin")

    @property
    def count(self) -> int:
        """The number of records."""
        return len(self._origins)

    def note_began(
        self, key: bytes, origin: StreamOrigin, services: tuple[str, ...] = ()
    ) -> None:
        """Record where a stream began, before its first event is passed on.

        :param services: to which its route leads or has led recently.
        """
        self._origins.note(key, origin)
        among = {origin.service, *services}
        if sum(len(self._history.versions(service)) for service in among) > 1:
            self._send(key, origin)

    def note_several(self, services: Sequence[str]) -> None:
        """Send the records of services that have begun to have several versions."""
        for key, origin in self._origins.of_services(services):
            self._send(key, origin)

    def find(
        self, key: bytes, services: tuple[str, ...]
    ) -> ResolvedOrigin | OriginUnknown:
        """Return where a stream goes on.

        :param services: see ``resolve_origin``.
        """
        own = self._report(key, services)
        if own.origins:
            return resolve_origin(services, [own], missing=0)
        ends_at = self._clock.now() + FIND_SECONDS
        confirmed = self._server_list.confirm()
        own = self._report(key, services, confirmed)
        if own.origins or own.proves_single:
            return resolve_origin(services, [own], missing=0)
        holders = self._holders(key)[:REQUESTED_ENTRIES]
        reports = self._ask_holders(key, services, holders, own, ends_at)
        missing = len(holders) - len(reports)
        past_known = False
        if own.single and confirmed:
            self._server_list.read_past()
            # The report that follows has at least what this past covers.
            past_known = self._history.past_known
            own = self._report(key, services, confirmed)
        return resolve_origin(services, [own, *reports], missing, past_known)

    def shares_records(self, entry: ListedEntry, service: str) -> bool:
        """Return whether an entry can go on with a stream of another one.

        Entries of earlier releases go on at any version.
        """
        if not self._history.has_several(service):
            return True
        return self._ask(entry, b"\0" * FINGERPRINT_BYTES, (service,)) is not None

    def answer_note(self, envelope: Envelope, message: OriginsNote) -> ProbeReply:
        """Hold the records of another entry."""
        for key, service, version in message.records:
            if len(key) == FINGERPRINT_BYTES:
                self._origins.note(key, StreamOrigin(service, version))
            else:
                emit(
                    Event.PEER_FRAME_REFUSED,
                    peer=envelope.sender,
                    reason="malformed stream record",
                )
        return ProbeReply(0)

    def answer_ask(self, envelope: Envelope, message: OriginAsk) -> OriginReply:
        """Report what this entry has recorded that concerns a stream."""
        report = self._report(message.key, message.services)
        if message.confirm and report.single and not report.origins:
            confirmed = self._server_list.confirm()
            report = self._report(message.key, message.services, confirmed)
        return OriginReply(
            tuple((o.service, o.version) for o in report.origins),
            tuple(tuple(sorted(versions)) for versions in report.versions),
            report.complete,
            report.followed_seconds,
            report.confirmed,
        )

    def _report(
        self, key: bytes, services: tuple[str, ...], confirmed: bool = False
    ) -> OriginReport:
        origins = self._origins.get(key)
        recorded = {
            service: {o.version for o in origins if o.service == service}
            for service in services
        }
        current = confirmed or self._server_list.age() < CURRENT_LIST_SECONDS
        return OriginReport(
            origins,
            tuple(self._history.versions(s) | recorded[s] for s in services),
            self._history.complete and current,
            self._history.followed_seconds,
            confirmed,
        )

    def _holders(self, key: bytes) -> list[ListedEntry]:
        return record_holders(key, (e for e in self._entries() if e.name != self._own))

    def _ask_holders(
        self,
        key: bytes,
        services: tuple[str, ...],
        holders: Iterable[ListedEntry],
        own: OriginReport,
        ends_at: float,
    ) -> list[OriginReport]:
        """Return the reports of other entries, as far as needed.

        The first record decides, and so does the first proof of a single version while
        no report names another one.
        """
        submit = self._requesters.submit
        # Other entries confirm their lists for one that can't reach the store.
        confirm = own.single and not own.confirmed
        open_requests: set[Future[OriginReport | None]] = {
            submit(self._ask_twice, holder, key, services, confirm)
            for holder in holders
            if not self._is_silent(holder)
        }
        reports: list[OriginReport] = []
        while open_requests:
            left = max(0.0, ends_at - self._clock.now())
            ended, open_requests = wait(open_requests, left, FIRST_COMPLETED)
            new = [each.result() for each in ended]
            reports += [report for report in new if report is not None]
            single = all(report.single for report in [own, *reports])
            proved = single and any(report.proves_single for report in reports)
            if not ended or proved or any(report.origins for report in reports):
                break
        for each in open_requests:
            each.cancel()
        return reports

    def _ask_twice(
        self,
        entry: ListedEntry,
        key: bytes,
        services: tuple[str, ...],
        confirm: bool,
    ) -> OriginReport | None:
        """Ask again if there is no record yet, since it may be on its way."""
        report = self._ask(entry, key, services, confirm)
        if report is None or report.origins or report.proves_single:
            return report
        time.sleep(RECORD_DELAY_SECONDS)
        return self._ask(entry, key, services, confirm) or report

    def _ask(
        self,
        entry: ListedEntry,
        key: bytes,
        services: tuple[str, ...],
        confirm: bool = False,
    ) -> OriginReport | None:
        # Requests that waited for a thread find entries that have fallen silent.
        if self._is_silent(entry):
            return None
        reply = self._links.ask(
            entry.peer_address,
            OriginAsk(key, services, confirm),
            REPLY_TIMEOUT_SECONDS,
        )
        self._note_reply(entry, not isinstance(reply, PeerUnreachable))
        if not isinstance(reply, OriginReply) or len(reply.versions) != len(services):
            return None
        return OriginReport(
            frozenset(StreamOrigin(*each) for each in reply.origins),
            tuple(frozenset(versions) for versions in reply.versions),
            reply.complete,
            reply.followed_seconds,
            reply.confirmed,
        )

    def _is_silent(self, entry: ListedEntry) -> bool:
        until = self._silent_until.get(entry.peer_address, 0.0)
        return self._clock.now() < until

    def _note_reply(self, entry: ListedEntry, answered: bool) -> None:
        if answered:
            self._silent_until.pop(entry.peer_address, None)
        else:
            until = self._clock.now() + SILENCE_SECONDS
            self._silent_until[entry.peer_address] = until

    def _send(self, key: bytes, origin: StreamOrigin) -> None:
        """Send a record to its holders, with others that wait meanwhile."""
        record = (key, origin.service, origin.version)
        for entry in self._holders(key)[:HOLDERS]:
            address = entry.peer_address
            with self._lock:
                self._waiting.setdefault(address, []).append(record)
                if address in self._sending:
                    continue
                self._sending.add(address)
            self._senders.submit(self._send_waiting, address)

    def _send_waiting(self, address: str) -> None:
        while records := self._take_waiting(address):
            # The newest ones matter longest, if a holder does not answer for a while.
            message = OriginsNote(tuple(records[-MAX_RECORDS_IN_MESSAGE:]))
            try:
                self._links.ask(address, message, SEND_TIMEOUT_SECONDS)
            except Exception as error:
                reason = describe_error(error)
                emit(Event.TASK_FAILED, task="stream records", error=reason)

    def _take_waiting(self, address: str) -> list[PackedOrigin]:
        """Return the records to send to a holder now; if none, end the sending."""
        with self._lock:
            records = self._waiting.pop(address, [])
            if not records:
                self._sending.discard(address)
            return records
