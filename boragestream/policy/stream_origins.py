"""Records which software version began each recent stream, and where it may go on.

Servers of several software versions may serve one service, and events of two versions
do not fit together. A stream therefore goes on only at the version whose event was the
first that its caller received. The entry that passes this event on records the version,
and while several versions serve it sends the record to a few other entries, which are
ranked by the key of the stream. An entry at which a caller takes the stream up requests
the record from these. Without a record the stream goes on if a single version has
served for as long as streams last, as this entry or another one that it reaches has
seen. A list proves this only if the store has confirmed it after the stream was taken
up: the version that began the stream was listed before. An entry that gives no answer
proves nothing. ``entry.stream_records`` sends the messages.

Entries that have started lately, maybe all at once, have not seen it. The store's
history shows which servers were listed before, but the store drops changes after some
time, at times early and without a sign, so that only a whole history proves that no
other version served. What engines have cached shows which of them served a stream, see
``policy.prompt_caches``.
"""

import threading
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

import xxhash

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.policy.fingerprints import fingerprint
from boragestream.policy.peers import ListedEntry
from boragestream.policy.version_history import RETENTION_SECONDS

__all__ = [
    "OriginAmbiguous",
    "OriginBasis",
    "OriginReport",
    "OriginUnknown",
    "ResolvedOrigin",
    "StreamOrigin",
    "StreamOrigins",
    "VersionUnavailable",
    "combine_reports",
    "record_holders",
    "resolve_origin",
    "stream_key",
]

# At 35 streams a second and 70 records a second from other entries, more than are kept
# for RETENTION_SECONDS; about 14 MB.
MAX_RECORDS = 32_768


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    :ivar version: the software version of the server.
    """

    service: str
    version: str


class OriginBasis(Enum):
    """What shows where a stream began."""

    RECORD = "record"
    SINGLE_VERSION = "single version"
    # A single version in the store's whole history.
    STORE_HISTORY = "store history"
    CACHED_PROMPT = "cached prompt"


@dataclass(frozen=True, slots=True)
class ResolvedOrigin:
    """Where a stream goes on, and what that rests on.

    :ivar followed_seconds: for how long the entry that has followed the server list
        longest has followed it, among those whose reports decided.
    :ivar reports: the number of entries whose reports decided; for a cached prompt,
        the number of engines that have it.
    :ivar missing: the number of asked entries that did not answer.
    """

    origin: StreamOrigin
    basis: OriginBasis
    followed_seconds: float
    reports: int
    missing: int = 0


@dataclass(frozen=True, slots=True)
class OriginUnknown(Failure):
    """A stream is taken up, and no entry can tell which version began it.

    :ivar reason: what is missing.
    :ivar followed_seconds: for how long the entry that has followed the server list
        longest has followed it, among those that were asked.
    :ivar reports: the number of entries that reported what they know.
    :ivar missing: the number of asked entries that did not answer.
    :ivar list_confirmed: whether this entry lists all versions of the service that the
        store listed when the stream was taken up.
    """

    service: str
    reason: str
    followed_seconds: float = 0.0
    reports: int = 0
    missing: int = 0
    list_confirmed: bool = False


@dataclass(frozen=True, slots=True)
class OriginAmbiguous(OriginUnknown):
    """Streams of several versions were recorded under one name."""


@dataclass(frozen=True, slots=True)
class VersionUnavailable(Failure):
    """No server of the software version that began the stream takes work."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class OriginReport:
    """What one entry has recorded that concerns a stream.

    :ivar origins: none, or one; several if different streams have the same key.
    :ivar versions: the versions of each service in question that were listed within
        ``RETENTION_SECONDS``, and those of the recorded origins.
    :ivar complete: whether the entry has followed the server list for longer than
        streams last, and its list is current.
    :ivar followed_seconds: for how long it has followed the server list; 0 if it does
        not say.
    :ivar confirmed: whether the store has confirmed the list since the stream was
        taken up.
    """

    origins: frozenset[StreamOrigin]
    versions: tuple[frozenset[str], ...]
    complete: bool
    followed_seconds: float = 0.0
    confirmed: bool = False

    @property
    def single(self) -> bool:
        """Whether the services in question have had one version in all, or none.

        Versions of different services have nothing in common.
        """
        return sum(map(len, self.versions)) <= 1

    @property
    def proves_single(self) -> bool:
        """Whether the stream began at the only version that the report names."""
        return self.single and self.complete and self.confirmed


def stream_key(account: str, request_id: str) -> bytes:
    """Return the key of the stream whose first event a request brought."""
    return fingerprint("stream", account, request_id)


def record_holders(key: bytes, entries: Iterable[ListedEntry]) -> list[ListedEntry]:
    """Return the entries in the order in which they hold the record of a stream.

    The first ones are in different data centres, as far as there are several.
    """

    def rank(entry: ListedEntry) -> int:
        return xxhash.xxh3_64_intdigest(key + entry.name.encode())

    placed: dict[str, int] = {}
    ordered = []
    for entry in sorted(entries, key=rank):
        position = placed.get(entry.data_centre, 0)
        placed[entry.data_centre] = position + 1
        ordered.append((position, entry))
    return [entry for _, entry in sorted(ordered, key=lambda each: each[0])]


def resolve_origin(
    services: tuple[str, ...],
    reports: Sequence[OriginReport],
    missing: int,
    past_known: bool = False,
) -> ResolvedOrigin | OriginUnknown:
    """Return where a stream goes on.

    :param services: those at which the stream may have begun.
    :param reports: of this entry and of those that answered; this entry's is the first.
    :param missing: the number of entries that did not answer.
    :param past_known: whether this entry's report covers the store's whole history.
    """
    combined = combine_reports(reports)
    service, followed = services[0], combined.followed_seconds

    def resolved(origin: StreamOrigin, basis: OriginBasis) -> ResolvedOrigin:
        return ResolvedOrigin(origin, basis, followed, len(reports), missing)

    if len(combined.origins) > 1:
        reason = "streams of two versions have this name"
        return OriginAmbiguous(service, reason, followed, len(reports), missing)
    if combined.origins:
        return resolved(next(iter(combined.origins)), OriginBasis.RECORD)
    own = reports[0]
    single = any(report.proves_single for report in reports)
    listed = any(combined.versions)
    if listed and combined.single and (single or (past_known and own.confirmed)):
        # A second version may be listed before the request is sent.
        listing = zip(services, combined.versions, strict=True)
        origin = next(StreamOrigin(s, v) for s, versions in listing for v in versions)
        basis = OriginBasis.SINGLE_VERSION if single else OriginBasis.STORE_HISTORY
        return resolved(origin, basis)
    reason = "no record"
    if missing:
        reason += f", and {missing} entries not reached"
    if not listed:
        reason += ", and no version is listed"
    elif not any(report.confirmed for report in reports):
        reason += ", and no list is confirmed"
    elif combined.single:
        reason += ", and no entry has followed the list for long"
    list_confirmed = any(
        report.confirmed and _includes(own, report) for report in reports
    )
    return OriginUnknown(
        service, reason, followed, len(reports), missing, list_confirmed
    )


def _includes(own: OriginReport, other: OriginReport) -> bool:
    """Return whether a report names all versions of another one."""
    pairs = zip(own.versions, other.versions, strict=True)
    return all(other_versions <= versions for versions, other_versions in pairs)


def combine_reports(reports: Sequence[OriginReport]) -> OriginReport:
    """Return what several entries have recorded together."""
    return OriginReport(
        frozenset().union(*(report.origins for report in reports)),
        tuple(
            frozenset().union(*versions)
            for versions in zip(*(r.versions for r in reports), strict=True)
        ),
        any(report.complete for report in reports),
        max(report.followed_seconds for report in reports),
    )


class StreamOrigins:
    """The origins of recent streams, by key; thread-safe.

    A key that two versions claim keeps both, so that neither stream goes on.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In the order of the times, since every record is kept for the same time.
        self._records: dict[bytes, tuple[float, frozenset[StreamOrigin]]] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._records)

    def note(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began; the record expires anew from now on."""
        now = self._clock.now()
        with self._lock:
            _, origins = self._records.pop(key, (now, frozenset()))
            self._records[key] = (now, origins | {origin})
            self._drop_old(now)

    def get(self, key: bytes) -> frozenset[StreamOrigin]:
        """Return the origins that are recorded under a key."""
        with self._lock:
            at, origins = self._records.get(key, (0.0, frozenset()))
        expired = self._clock.now() - at >= RETENTION_SECONDS
        return frozenset() if expired else origins

    def of_services(
        self, services: Collection[str]
    ) -> list[tuple[bytes, StreamOrigin]]:
        """Return the unambiguous records of some services."""
        with self._lock:
            records = list(self._records.items())
        return [
            (key, origin)
            for key, (_, origins) in records
            for origin in origins
            if len(origins) == 1 and origin.service in services
        ]

    def _drop_old(self, now: float) -> None:
        """Drop expired records, and the oldest if there are too many."""
        while self._records:
            key = next(iter(self._records))
            expired = now - self._records[key][0] >= RETENTION_SECONDS
            if not expired and len(self._records) <= MAX_RECORDS:
                return
            del self._records[key]
