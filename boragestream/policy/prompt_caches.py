"""Derives where a stream began from the prompts that engines have cached.

An engine keeps the parts of a prompt that it has read, and behind the last part, which
belongs to the request alone, the tokens that it has generated. What it keeps outlasts
the connection over which the stream was read, and all entries. An engine that keeps the
tokens of all events that the caller has, behind the last part of its prompt, has served
the stream. One that keeps less may have been called by a try that brought no event.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from boragestream.policy.stream_origins import (
    OriginBasis,
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
)

__all__ = ["CachedPart", "resolve_by_caches"]


@dataclass(frozen=True, slots=True)
class CachedPart:
    """The last part of a prompt in the cache of one engine.

    :ivar origin: the service and software version of the engine.
    :ivar tokens: the number of tokens that it keeps of the part, generated ones
        included.
    """

    origin: StreamOrigin
    tokens: int


def resolve_by_caches(
    unknown: OriginUnknown,
    cached: Iterable[CachedPart] | None,
    prompt_tokens: int,
    events: int,
) -> ResolvedOrigin | OriginUnknown:
    """Return where a stream goes on of which no entry has a record.

    :param cached: the last part of its prompt, wherever it is cached; None if no engine
        says what it caches.
    :param prompt_tokens: the length of this part in the prompt.
    :param events: the number of events that the caller has; each holds a token or more.
    """
    sole = StreamOrigin(unknown.service, unknown.sole_version)
    if cached is None:
        if not unknown.sole_version:
            return unknown
        return ResolvedOrigin(
            sole,
            OriginBasis.STORE_HISTORY,
            unknown.followed_seconds,
            unknown.reports,
        )
    parts = list(cached)
    least = prompt_tokens + max(1, events)
    generated = {part.origin for part in parts if part.tokens >= least}
    read = {part.origin for part in parts}
    found = generated
    if not generated and unknown.sole_version and read == {sole}:
        found = read
    if len(found) == 1:
        return ResolvedOrigin(
            next(iter(found)),
            OriginBasis.CACHED_PROMPT,
            unknown.followed_seconds,
            len(parts),
        )
    if generated:
        reason = "engines of several versions have generated its events"
    elif read:
        reason = "no engine has generated its events"
    else:
        reason = "no engine has cached its prompt"
    return OriginUnknown(
        unknown.service, f"{unknown.reason}, {reason}", unknown.followed_seconds
    )
