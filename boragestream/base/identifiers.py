"""Identifiers of requests, attempts and incarnations.

They are random, so that two processes never need to agree on one. Tickets, which
carry meaning, are left to ``policy.tickets``.
"""

import secrets

__all__ = ["new_attempt_id", "new_incarnation", "new_request_id"]

ID_BYTES = 10


def new_request_id() -> str:
    """Return an identifier for a request of a caller."""
    return "r-" + secrets.token_hex(ID_BYTES)


def new_attempt_id() -> str:
    """Return an identifier for one try of one stage on one backend server."""
    return "a-" + secrets.token_hex(ID_BYTES)


def new_incarnation() -> str:
    """Return an identifier for one life of one process."""
    return secrets.token_hex(8)
