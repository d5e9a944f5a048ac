"""Which document is in force: versions rise only.

Documents are offered by the configuration service and by other entries; whoever
offers, an older version is never taken. Fetching documents is left to the packages
of the peers.
"""

import threading
from dataclasses import dataclass
from enum import Enum

from boragestream.document import ClientAccount, Document, Pipeline, Service
from boragestream.document.digest import document_digest

__all__ = ["ConfigurationInForce", "DocumentInForce", "Offer"]


class Offer(Enum):
    """What became of an offered document."""

    TAKEN = "it is in force now"
    SAME = "it was in force already"
    OLDER = "a newer version is in force"
    CONFLICT = "another document of the same version is in force"
    FOREIGN = "it is meant for another deployment"


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A document with its look-ups; one request uses one from end to end."""

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
    """Holds the document in force and decides on offered ones.

    :param deployment: the deployment whose documents are taken.
    """

    def __init__(self, deployment: str) -> None:
        self._deployment = deployment
        self._current: DocumentInForce | None = None
        self._lock = threading.Lock()

    @property
    def current(self) -> DocumentInForce | None:
        """The document in force, None while there is none."""
        return self._current

    def offer(self, document: Document) -> Offer:
        """Take a checked document where it is newer than the one in force."""
        if document.deployment != self._deployment:
            return Offer.FOREIGN
        digest = document_digest(document)
        with self._lock:
            current = self._current
            if current is not None and document.version <= current.version:
                return _not_newer(document, digest, current)
            self._current = _in_force(document, digest)
        return Offer.TAKEN


def _not_newer(document: Document, digest: str, current: DocumentInForce) -> Offer:
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
