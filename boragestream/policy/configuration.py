"""The configuration document in force, whose version only increases.

The configuration service and other entries offer documents. An older version is never
accepted from either. Other packages fetch the documents.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from boragestream.document import ClientAccount, Document, Pipeline, Service
from boragestream.document.digest import canonical_bytes, text_digest

__all__ = ["ConfigurationInForce", "DocumentInForce", "Offer"]

# Texts kept as bases of differences; a peer that is further behind receives a whole
# text.
KEPT_TEXTS = 4


class Offer(Enum):
    """The result of offering a document."""

    TAKEN = "it is in force now"
    SAME = "it was in force already"
    OLDER = "a newer version is in force"
    CONFLICT = "another document of the same version is in force"
    FOREIGN = "it is meant for another deployment"


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A document with its lookup tables; a request uses the same one throughout.

    :ivar digest: the digest of the canonical text.
    """

    document: Document
    digest: str
    accounts_by_digest: dict[str, ClientAccount]
    pipelines: dict[str, Pipeline]
    services: dict[str, Service]

    @property
    def version(self) -> int:
        """The document's version."""
        return self.document.version


class ConfigurationInForce:
    """Holds the document in force and accepts or rejects offered documents.

    :param deployment: the deployment whose documents are accepted.
    """

    def __init__(self, deployment: str) -> None:
        self._deployment = deployment
        self._current: DocumentInForce | None = None
        self._texts: OrderedDict[str, bytes] = OrderedDict()
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> DocumentInForce | None:
        """The document in force; None before the first one."""
        return self._current

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each document takes effect."""
        self._listeners.append(listener)

    def text(self, digest: str) -> bytes | None:
        """Return the canonical text of a recent document; None if it is not kept."""
        return self._texts.get(digest)

    def offer(self, document: Document, text: bytes | None = None) -> Offer:
        """Put a validated document in force if it is newer than the current one.

        :param text: its canonical text as published; None to encode the document.
        """
        if document.deployment != self._deployment:
            return Offer.FOREIGN
        if text is None:
            text = canonical_bytes(document)
        digest = text_digest(text)
        with self._lock:
            current = self._current
            if current is not None and document.version <= current.version:
                return _rejection(document, digest, current)
            self._texts[digest] = text
            while len(self._texts) > KEPT_TEXTS:
                self._texts.popitem(last=False)
            self._current = _in_force(document, digest)
        for listener in self._listeners:
            listener()
        return Offer.TAKEN


def _rejection(document: Document, digest: str, current: DocumentInForce) -> Offer:
    if document.version < current.version:
        return Offer.OLDER
    return Offer.SAME if digest == current.digest else Offer.CONFLICT


def _in_force(document: Document, digest: str) -> DocumentInForce:
    accounts = {d: a for a in document.client_accounts for d in a.key_digests}
    return DocumentInForce(
        document=document,
        digest=digest,
        accounts_by_digest=accounts,
        pipelines={pipeline.name: pipeline for pipeline in document.pipelines},
        services={service.name: service for service in document.services},
    )
