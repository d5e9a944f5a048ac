"""Keeps a forwarded stream at the software version that began it.

A stream goes on within one answer after its server broke it, and in a new request of
its caller, at any entry. ``policy.stream_origins`` decides where it may go on.
"""

from dataclasses import replace
from typing import Protocol

from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.document.calls import ForwardedRequest
from boragestream.document.routes import CallKind
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import (
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
    stream_key,
)
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = ["OriginRecords", "is_resumed", "locate_stream", "note_stream_began"]


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


def is_resumed(request: ForwardedRequest) -> bool:
    """Return whether a caller takes up a stream of which it has events."""
    return request.last_event is not None or bool(request.resumes)


def locate_stream(
    records: OriginRecords | None, run: ForwardedRun, began: bool = False
) -> ForwardedRun | Failure:
    """Return a request with the service and version at which its stream goes on.

    A request that begins a stream, or is none, is returned unchanged.

    :param began: whether the request itself has brought events of the stream.
    """
    request = run.request
    resumable = run.route.kind is CallKind.STREAM and run.route.repeatable
    if records is None or not resumable or not (began or is_resumed(request)):
        return run
    others = (target.service for target in run.route.targets)
    services = tuple(dict.fromkeys((run.service, *others)))
    found = records.find(_key(run), services)
    if found is None:
        return run
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


def _key(run: ForwardedRun) -> bytes:
    """Return the key of the stream, which all tries of its caller share."""
    request = run.request
    return stream_key(run.account, request.resumes or request.request_id)
