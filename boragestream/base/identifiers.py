"""Identifiers of requests, attempts and incarnations, and numbers of grants.

They are random, so that two processes never need to agree on one. Tickets, which
carry meaning, are left to ``policy.tickets``.
"""

import itertools
import secrets
from collections.abc import Iterator

__all__ = ["grant_numbers", "new_attempt_id", "new_incarnation", "new_request_id"]

ID_BYTES = 10
# Leaves the numbers of one process within the 64 bits that messages carry.
GRANT_NUMBER_BITS = 60


def new_request_id() -> str:
    """Return an identifier for a request of a caller."""
    return "r-" + secrets.token_hex(ID_BYTES)


def new_attempt_id() -> str:
    """Return an identifier for one try of one stage on one backend server."""
    return "a-" + secrets.token_hex(ID_BYTES)


def new_incarnation() -> str:
    """Return an identifier for one life of one process."""
    return secrets.token_hex(8)


def grant_numbers() -> Iterator[int]:
    """Return numbers for what this process grants to other entries; none is 0.

    They begin at a random number: entries may return what a predecessor of this process
    granted under the same name.
    """
    return itertools.count(1 + secrets.randbits(GRANT_NUMBER_BITS))
