"""Keeps a forwarded stream at the software version that began it.

A stream goes on within one answer after its server broke it, and in a new request of
its caller, at any entry. ``policy.stream_origins`` decides where it may go on.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.document.calls import PromptPart
from boragestream.policy.prompt_caches import (
    CacheSurvey,
    KeptTokens,
    resolve_by_caches,
)
from boragestream.policy.route_targets import find_services
from boragestream.policy.servers import Server, ServerTable
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

    def note_began(
        self, key: bytes, origin: StreamOrigin, services: tuple[str, ...] = ()
    ) -> None:
        """Record where a stream began, before its first event is passed on.

        :param services: to which its route leads or has led recently.
        """

    def find(
        self, key: bytes, services: tuple[str, ...]
    ) -> ResolvedOrigin | OriginUnknown:
        """Return where a stream goes on.

        :param services: where it may have begun; the first is that of its next attempt.
        """


class PromptCaches(Protocol):
    """What the engines of a service have cached."""

    def find(
        self, services: tuple[str, ...], prompt: tuple[PromptPart, ...], seconds: float
    ) -> CacheSurvey:
        """Return where the last part of a prompt is cached.

        :param seconds: the longest time that this may take.
        """


class OriginParts(Protocol):
    """The parts of the entry that know where streams began.

    :ivar origins: None to let each stream go on at any server.
    :ivar prompt_caches: None to ask no engine.
    :ivar list_age: returns the seconds since the server list was last confirmed.
    """

    origins: OriginRecords | None
    prompt_caches: PromptCaches | None
    servers: ServerTable
    list_age: Callable[[], float]
    clock: Clock


def locate_stream(
    parts: OriginParts,
    run: ForwardedRun,
    began: bool = False,
    last_event: int | None = None,
) -> ForwardedRun | Failure:
    """Return a request with the service and version at which its stream goes on.

    A request that begins a stream, or is none, is returned unchanged.

    :param began: whether the request itself has brought events of the stream.
    :param last_event: the number of the last event that the caller has; None for that
        which the request names.
    """
    records, request = parts.origins, run.request
    goes_on = run.takes_up_stream or (began and run.may_be_taken_up)
    if records is None or not goes_on:
        return run
    services = _services(parts, run)
    found = records.find(_key(run), services)
    if isinstance(found, OriginUnknown) and not isinstance(found, OriginAmbiguous):
        events = last_event if last_event is not None else request.last_event
        found = _ask_engines(parts, run, services, events or 0, found)
    targets = [target.service for target in run.route.targets]
    if isinstance(found, ResolvedOrigin) and found.origin.service not in targets:
        reason = "the route no longer leads to its service"
        found = OriginUnknown(found.origin.service, reason)
    list_revision = parts.servers.list_origin.revision
    list_age_ms = int(parts.list_age() * 1000)
    if isinstance(found, OriginUnknown):
        emit(
            Event.STREAM_NOT_RESUMED,
            request=request.request_id,
            resumes=request.resumes,
            service=found.service,
            reason=found.reason,
            missing=found.missing,
            followed_ms=int(found.followed_seconds * 1000),
            list_revision=list_revision,
            list_age_ms=list_age_ms,
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
        missing=found.missing,
        followed_ms=int(found.followed_seconds * 1000),
        list_revision=list_revision,
        list_age_ms=list_age_ms,
    )
    return replace(run, service=origin.service, version=origin.version)


def note_stream_began(parts: OriginParts, run: ForwardedRun, server: Server) -> None:
    """Record which server's event is the first that the caller receives."""
    if parts.origins is not None and run.route.repeatable:
        origin = StreamOrigin(server.service, server.version)
        parts.origins.note_began(_key(run), origin, _services(parts, run))


def _ask_engines(
    parts: OriginParts,
    run: ForwardedRun,
    services: tuple[str, ...],
    events: int,
    unknown: OriginUnknown,
) -> ResolvedOrigin | OriginUnknown:
    """Return where a stream goes on whose version no entry can tell.

    Engines are asked only if this entry knows all of them: one that it does not list
    may have served the stream.

    :param events: the number of events that the caller has.
    """
    request, published = run.request, run.table.services
    engines = tuple(s for s in services if s in published and published[s].engine)
    known = unknown.list_confirmed and parts.prompt_caches is not None
    if not known or not request.prompt or not engines:
        return unknown
    left = run.scope.deadline - parts.clock.now()
    survey = parts.prompt_caches.find(engines, request.prompt, left)
    tokens = request.prompt[-1].tokens
    most = tokens + request.output_tokens if request.output_tokens else math.inf
    return resolve_by_caches(unknown, survey, KeptTokens(tokens + max(1, events), most))


def _services(parts: OriginParts, run: ForwardedRun) -> tuple[str, ...]:
    """Return the services at which the stream may have begun."""
    request, now = run.request, parts.clock.now()
    former = find_services(run.table.replaced, request.host, request.path, now)
    targets = (target.service for target in run.route.targets)
    return tuple(dict.fromkeys((run.service, *targets, *former)))


def _key(run: ForwardedRun) -> bytes:
    """Return the key of the stream, which all tries of its caller share."""
    request = run.request
    return stream_key(run.account, request.resumes or request.request_id)
