"""Keeps a forwarded stream at the software version that began it.

A stream goes on within one answer after its server broke it, and in a new request of
its caller, at any entry. ``policy.stream_origins`` decides where it may go on.
"""

from dataclasses import replace
from typing import Protocol

from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.document.calls import PromptPart
from boragestream.document.routes import CallKind
from boragestream.policy.prompt_caches import CachedPart, resolve_by_caches
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import (
    OriginAmbiguous,
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
    stream_key,
)
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = [
    "OriginParts",
    "OriginRecords",
    "PromptCaches",
    "locate_stream",
    "note_stream_began",
]


class OriginRecords(Protocol):
    """The records of where streams began."""

    def note_began(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began, before its first event is passed on."""

    def find(
        self, key: bytes, services: tuple[str, ...]
    ) -> ResolvedOrigin | OriginUnknown | None:
        """Return where a stream goes on; None if it may go on at any version.

        :param services: where it may go on; the first is that of its next attempt.
        """


class PromptCaches(Protocol):
    """What the engines of a service have cached."""

    def find(
        self, services: tuple[str, ...], prompt: tuple[PromptPart, ...]
    ) -> list[CachedPart] | None:
        """Return the last part of a prompt at each engine that has cached it.

        :returns: None if no engine says what it has cached.
        """


class OriginParts(Protocol):
    """The parts of the entry that know where streams began.

    :ivar origins: None to let each stream go on at any server.
    :ivar prompt_caches: None to ask no engine.
    """

    origins: OriginRecords | None
    prompt_caches: PromptCaches | None


def locate_stream(
    parts: OriginParts, run: ForwardedRun, began: bool = False
) -> ForwardedRun | Failure:
    """Return a request with the service and version at which its stream goes on.

    A request that begins a stream, or is none, is returned unchanged.

    :param began: whether the request itself has brought events of the stream.
    """
    records, request = parts.origins, run.request
    began = began and run.route.kind is CallKind.STREAM and run.route.repeatable
    if records is None or not (began or run.takes_up_stream):
        return run
    others = (target.service for target in run.route.targets)
    services = tuple(dict.fromkeys((run.service, *others)))
    found = records.find(_key(run), services)
    if found is None:
        return run
    if isinstance(found, OriginUnknown) and not isinstance(found, OriginAmbiguous):
        found = _ask_engines(parts.prompt_caches, run, services, found)
    if isinstance(found, ResolvedOrigin) and found.origin.service not in services:
        reason = "the route no longer leads to its service"
        found = OriginUnknown(found.origin.service, reason)
    if isinstance(found, OriginUnknown):
        emit(
            Event.STREAM_NOT_RESUMED,
            request=request.request_id,
            resumes=request.resumes,
            service=found.service,
            reason=found.reason,
        )
        return found
    origin = found.origin
    emit(
        Event.STREAM_RESUMED,
        request=request.request_id,
        resumes=request.resumes,
        service=origin.service,
        software=origin.version,
        basis=found.basis.value,
        reports=found.reports,
        followed_ms=int(found.followed_seconds * 1000),
    )
    return replace(run, service=origin.service, version=origin.version)


def note_stream_began(
    records: OriginRecords | None, run: ForwardedRun, server: Server
) -> None:
    """Record which server's event is the first that the caller receives."""
    if records is not None and run.route.repeatable:
        records.note_began(_key(run), StreamOrigin(server.service, server.version))


def _ask_engines(
    caches: PromptCaches | None,
    run: ForwardedRun,
    services: tuple[str, ...],
    unknown: OriginUnknown,
) -> ResolvedOrigin | OriginUnknown:
    """Return where a stream goes on of which no entry has a record."""
    prompt = run.request.prompt
    engines = tuple(
        name
        for name in services
        if (service := run.table.services.get(name)) and service.engine is not None
    )
    cached = caches.find(engines, prompt) if caches and prompt and engines else None
    tokens = prompt[-1].tokens if prompt else 0
    return resolve_by_caches(unknown, cached, tokens, run.request.last_event or 0)


def _key(run: ForwardedRun) -> bytes:
    """Return the key of the stream, which all tries of its caller share."""
    request = run.request
    return stream_key(run.account, request.resumes or request.request_id)
