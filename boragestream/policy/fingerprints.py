"""What tells a request from others over all its returns, under whatever ids.

A digest of what decides what runs and of who asks. Ids, deadlines and what a caller
tells of itself are left out: they differ from one return to the next.
"""

import hashlib

from boragestream.document.calls import ForwardedRequest

__all__ = [
    "FINGERPRINT_BYTES",
    "fingerprint",
    "request_fingerprint",
    "stage_fingerprint",
]

FINGERPRINT_BYTES = 8


def fingerprint(*parts: str | bytes) -> bytes:
    """Return the digest of some parts in their order."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # The length keeps two parts from being shifted into one another.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def request_fingerprint(account: str, request: ForwardedRequest) -> bytes:
    """Return the fingerprint of a forwarded request.

    :param account: the client account's name; empty where there is none.
    """
    asked = (request.method, request.host, request.target, request.body)
    return fingerprint(account, *asked)


def stage_fingerprint(request: bytes, service: str) -> bytes:
    """Return the fingerprint of a request's pieces at a stage service.

    What was cut there beside others says nothing of the call that follows the stages.
    """
    return fingerprint(request, service)
