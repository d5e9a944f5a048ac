"""The failures caused by a caller's own request.

Each leads to a refusal, so nothing was run. None echoes what the caller sent, which
could contain a key in the wrong place.
"""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure

__all__ = [
    "BodyTooLong",
    "DeadlineAbsurd",
    "EncodingUnsupported",
    "HeaderTooLong",
    "MalformedBody",
    "MalformedHeader",
    "MalformedRequest",
    "MethodNotAllowed",
    "PathUnknown",
    "PipelineNotAllowed",
    "PipelineUnknown",
    "WrongKey",
]


@dataclass(frozen=True, slots=True)
class WrongKey(Failure):
    """The bearer key is missing or belongs to no client account."""


@dataclass(frozen=True, slots=True)
class PathUnknown(Failure):
    """There is nothing under this path."""


@dataclass(frozen=True, slots=True)
class MethodNotAllowed(Failure):
    """The path does not take this method."""


@dataclass(frozen=True, slots=True)
class PipelineUnknown(Failure):
    """No pipeline has this name."""


@dataclass(frozen=True, slots=True)
class PipelineNotAllowed(Failure):
    """The client account may not call this pipeline."""

    pipeline: str


@dataclass(frozen=True, slots=True)
class DeadlineAbsurd(Failure):
    """The deadline header is no whole number of milliseconds of a usable size."""


@dataclass(frozen=True, slots=True)
class MalformedBody(Failure):
    """The body is not the JSON object that is asked for.

    :ivar reason: what is wrong with the body.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class MalformedHeader(Failure):
    """A header's value can't be used.

    :ivar header: the header's name.
    """

    header: str


@dataclass(frozen=True, slots=True)
class MalformedRequest(Failure):
    """The bytes are no HTTP request, or one that can be read in two ways."""


@dataclass(frozen=True, slots=True)
class EncodingUnsupported(Failure):
    """The transfer encoding is none that is taken."""


@dataclass(frozen=True, slots=True)
class HeaderTooLong(Failure):
    """The request line and headers together are longer than is taken."""

    limit_bytes: int


@dataclass(frozen=True, slots=True)
class BodyTooLong(Failure):
    """The body is longer than is taken."""

    limit_bytes: int
