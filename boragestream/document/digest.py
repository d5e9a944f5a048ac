"""The canonical text of a published document, and the digest that tells two apart.

White space and the order of fields make no difference. The text is taken from what was
published and not from the records built of it, so that entries of two releases, of
which one knows more fields, agree on it. It is no proof of origin; whoever can publish
is trusted.
"""

import hashlib

import msgspec

__all__ = ["canonical_bytes", "canonical_text", "text_digest"]


def canonical_bytes(document: object) -> bytes:
    """Return data as canonical JSON: fields in one order, no white space."""
    return msgspec.json.encode(document, order="sorted")


def canonical_text(published: bytes) -> bytes:
    """Return a published document, which must be JSON, as canonical JSON."""
    return canonical_bytes(msgspec.json.decode(published))


def text_digest(text: bytes) -> str:
    """Return the SHA-256 of a canonical text in hexadecimal."""
    return hashlib.sha256(text).hexdigest()
