"""Records of one server's request limit, and parsing of the limit that it states.

Each change of a limit raises the revision of its record; of two records with the same
revision, the one with the lower limit prevails. Enforcement of the limits is left to
``policy.server_limits``.
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

# No single server serves more requests a second; a higher limit counts as none.
MAX_PER_SECOND = 100_000.0
SERVER_KEY_BYTES = 8
HUNDREDTHS = 100
# Exceeds the number of servers that are listed at a time.
MAX_CACHED_KEYS = 16_384


def parse_limit(texts: Sequence[str]) -> float | LimitMalformed | None:
    """Parse the limits that an answer states.

    :param texts: the value of each limit header of the answer.
    :returns: requests a second, the lowest of several; None if there is no limit.
    """
    limits = []
    for text in texts:
        try:
            limit = float(text)
        except ValueError:
            return LimitMalformed()
        if math.isnan(limit) or limit < 0:
            return LimitMalformed()
        limits.append(limit)
    lowest = min(limits, default=math.inf)
    return lowest if lowest <= MAX_PER_SECOND else None


@lru_cache(MAX_CACHED_KEYS)
def _identity_key(identity: tuple[str, str, str]) -> bytes:
    return xxhash.xxh3_64_digest("\0".join(identity).encode())


def server_key(server: Server) -> bytes:
    """Return the key of one incarnation of a server, the same at every entry."""
    return _identity_key(server.identity)


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """The known limit of one server.

    :ivar server: the key of one incarnation of the server.
    :ivar revision: rises with each change.
    :ivar hundredths: the limit in hundredths of a request a second; None if it has
        ended.
    """

    server: bytes
    revision: int
    hundredths: int | None

    @property
    def per_second(self) -> float | None:
        """The limit in requests a second; None if it has ended."""
        return None if self.hundredths is None else self.hundredths / HUNDREDTHS

    @property
    def rank(self) -> tuple[int, float]:
        """The sort key: of two records, the one with the greater rank prevails."""
        limit = math.inf if self.hundredths is None else self.hundredths
        return (self.revision, -limit)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of a server's known limit.

    :ivar server: the server's name; empty if this entry does not have it listed.
    :ivar before: requests a second; None for no limit.
    :ivar after: requests a second; None for no limit.
    """

    server: str
    before: float | None
    after: float | None


def prevailing(known: LimitRecord, other: LimitRecord) -> LimitRecord:
    """Return the prevailing one of two records of a server."""
    return other if other.rank > known.rank else known
