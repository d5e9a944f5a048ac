"""Fingerprints that identify a request each time it returns, whatever its ids.

A fingerprint is a digest of the client account and of the content that determines what
runs. Ids, deadlines and what a caller states about itself are left out because they
differ from one return to the next.
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
    """Return the digest of a sequence of parts."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # The length prefix ensures that different divisions into parts give different
        # digests.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def request_fingerprint(account: str, request: ForwardedRequest) -> bytes:
    """Return the fingerprint of a forwarded request.

    :param account: the client account's name; empty if there is none.
    """
    asked = (request.method, request.host, request.target, request.body)
    return fingerprint(account, *asked)


def stage_fingerprint(request: bytes, service: str) -> bytes:
    """Return the fingerprint of a request's pieces at a stage service.

    It differs from the request's own fingerprint: a piece that is cut at the stage
    service together with other pieces says nothing about the call after the stages.
    """
    return fingerprint(request, service)
