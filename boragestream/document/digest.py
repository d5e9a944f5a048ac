"""The digest that tells two documents apart.

It covers the canonical form, so that white space and the order of fields make no
difference. It is no proof of origin; whoever can publish is trusted.
"""

import hashlib

import msgspec

from boragestream.document.records import Document

__all__ = ["canonical_bytes", "document_digest"]


def canonical_bytes(document: Document) -> bytes:
    """Return the document as canonical JSON: fields in one order, no white space."""
    return msgspec.json.encode(document, order="sorted")


def document_digest(document: Document) -> str:
    """Return the SHA-256 of the canonical form in hexadecimal."""
    return hashlib.sha256(canonical_bytes(document)).hexdigest()
