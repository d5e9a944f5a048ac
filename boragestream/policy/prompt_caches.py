"""Derives where a stream began from the prompts that engines have cached.

An engine keeps the parts of a prompt that it has read, and behind the last part, which
belongs to the request or to its session, the tokens that it has generated. What it
keeps outlasts the connection over which the stream was read, and all entries. An engine
that keeps the tokens of all events that the caller has, behind the last part of its
prompt, has served the stream. One that keeps less may have been called by a try that
brought no event, and one that keeps more than the request may generate has served other
requests of its session.
"""

from dataclasses import dataclass

from boragestream.policy.stream_origins import (
    OriginBasis,
    OriginUnknown,
    ResolvedOrigin,
    StreamOrigin,
)

__all__ = ["CacheSurvey", "CachedPart", "KeptTokens", "resolve_by_caches"]


@dataclass(frozen=True, slots=True)
class CachedPart:
    """The last part of a prompt in the cache of one engine.

    :ivar origin: the service and software version of the engine.
    :ivar tokens: the number of tokens that it keeps of the part, generated ones
        included.
    """

    origin: StreamOrigin
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheSurvey:
    """What the engines that may have served a stream say about its prompt.

    :ivar parts: the last part of the prompt, wherever it is cached.
    :ivar silent: the services and versions of engines that gave no answer, and that are
        not leaving.
    """

    parts: tuple[CachedPart, ...] = ()
    silent: frozenset[StreamOrigin] = frozenset()


@dataclass(frozen=True, slots=True)
class KeptTokens:
    """How many tokens the engine that served a stream keeps of its last prompt part.

    :ivar least: the part and a token for each event that the caller has.
    :ivar most: the part and all that the request may generate.
    """

    least: int
    most: float

    def includes(self, tokens: int) -> bool:
        """Return whether an engine with so many tokens may have served the stream."""
        return self.least <= tokens <= self.most


def resolve_by_caches(
    unknown: OriginUnknown, survey: CacheSurvey, kept: KeptTokens
) -> ResolvedOrigin | OriginUnknown:
    """Return where a stream goes on whose version no entry can tell.

    An engine of another version that gives no answer may have served it as well.
    """
    serving = [part for part in survey.parts if kept.includes(part.tokens)]
    origins = {part.origin for part in serving}
    if len(origins) == 1 and survey.silent <= origins:
        return ResolvedOrigin(
            origins.pop(),
            OriginBasis.CACHED_PROMPT,
            unknown.followed_seconds,
            len(serving),
            unknown.missing,
        )
    if len(origins) > 1:
        reason = "engines of several versions have generated its events"
    elif survey.silent:
        reason = "engines did not say what they have cached"
    elif survey.parts:
        reason = "no engine has generated its events"
    else:
        reason = "no engine has cached its prompt"
    return OriginUnknown(
        unknown.service,
        f"{unknown.reason}, {reason}",
        unknown.followed_seconds,
        unknown.reports,
        unknown.missing,
    )
