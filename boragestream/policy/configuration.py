"""Which document is in force: versions rise only.

Documents are offered by the configuration service and by other entries; whoever
offers, an older version is never taken. Fetching documents is left to the packages
of the peers.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from boragestream.document import ClientAccount, Document, Pipeline, Service
from boragestream.document.digest import canonical_bytes, text_digest

__all__ = ["ConfigurationInForce", "DocumentInForce", "Offer"]

# Texts kept as bases of differences; a peer that is further behind gets a whole one.
KEPT_TEXTS = 4


class Offer(Enum):
    """What became of an offered document."""

    TAKEN = "it is in force now"
    SAME = "it was in force already"
    OLDER = "a newer version is in force"
    CONFLICT = "another document of the same version is in force"
    FOREIGN = "it is meant for another deployment"


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A document with its look-ups; one request uses one from end to end.

    :ivar digest: of the canonical text.
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
    """Holds the document in force and decides on offered ones.

    :param deployment: the deployment whose documents are taken.
    """

    def __init__(self, deployment: str) -> None:
        self._deployment = deployment
        self._current: DocumentInForce | None = None
        self._texts: OrderedDict[str, bytes] = OrderedDict()
        self._taken: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> DocumentInForce | None:
        """The document in force, None while there is none."""
        return self._current

    def when_taken(self, taken: Callable[[], None]) -> None:
        """Have a function called after each document that comes into force."""
        self._taken.append(taken)

    def text(self, digest: str) -> bytes | None:
        """Return a canonical text of the last few that were in force."""
        return self._texts.get(digest)

    def offer(self, document: Document, text: bytes | None = None) -> Offer:
        """Take a checked document where it is newer than the one in force.

        :param text: its canonical text as published; made from the document if left
            out.
        """
        if document.deployment != self._deployment:
            return Offer.FOREIGN
        if text is None:
            text = canonical_bytes(document)
        digest = text_digest(text)
        with self._lock:
            current = self._current
            if current is not None and document.version <= current.version:
                return _not_newer(document, digest, current)
            self._texts[digest] = text
            while len(self._texts) > KEPT_TEXTS:
                self._texts.popitem(last=False)
            self._current = _in_force(document, digest)
        for taken in self._taken:
            taken()
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
