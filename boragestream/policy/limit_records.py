"""What entries know of one server's request limit, and how a server names it.

Each change of a limit raises the revision of its record; of two records of one revision
the lower limit prevails. What follows from a limit is left to ``policy.server_limits``.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from boragestream.document.calls import LimitMalformed
from boragestream.policy.servers import Server

__all__ = [
    "HUNDREDTHS",
    "SERVER_KEY_BYTES",
    "LimitChange",
    "LimitRecord",
    "parse_limit",
    "prevailing",
    "server_key",
]

# No single server serves as much; a higher figure limits nothing.
MOST_PER_SECOND = 100_000.0
SERVER_KEY_BYTES = 8
HUNDREDTHS = 100
# More than the servers that are listed at a time.
MOST_KEYS = 16_384


def parse_limit(texts: Sequence[str]) -> float | LimitMalformed | None:
    """Decode the limits that an answer names.

    :param texts: one for each time that it names one.
    :returns: requests a second, the lowest of several; None where there is no limit.
    """
    named = []
    for text in texts:
        try:
            limit = float(text)
        except ValueError:
            return LimitMalformed()
        if math.isnan(limit) or limit < 0:
            return LimitMalformed()
        named.append(limit)
    lowest = min(named, default=math.inf)
    return lowest if lowest <= MOST_PER_SECOND else None


@lru_cache(MOST_KEYS)
def _identity_key(identity: tuple[str, str, str]) -> bytes:
    return xxhash.xxh3_64_digest("\0".join(identity).encode())


def server_key(server: Server) -> bytes:
    """Return the short form of one life of a server, the same at every entry."""
    return _identity_key(server.identity)


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """What is known of one server's limit.

    :ivar server: the short form of one life of the server.
    :ivar revision: rises with each change.
    :ivar hundredths: of a request a second; None where the limit has ended.
    """

    server: bytes
    revision: int
    hundredths: int | None

    @property
    def per_second(self) -> float | None:
        """The limit in requests a second; None where it has ended."""
        return None if self.hundredths is None else self.hundredths / HUNDREDTHS

    @property
    def rank(self) -> tuple[int, float]:
        """The record with the greater rank prevails."""
        limit = math.inf if self.hundredths is None else self.hundredths
        return (self.revision, -limit)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of what is known of a server's limit.

    :ivar server: the server's name; empty where it is not listed here.
    :ivar before: requests a second; None for no limit.
    :ivar after: requests a second; None for no limit.
    """

    server: str
    before: float | None
    after: float | None


def prevailing(known: LimitRecord, other: LimitRecord) -> LimitRecord:
    """Return the one of two records of a server that prevails."""
    return other if other.rank > known.rank else known
