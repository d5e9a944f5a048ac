"""The published configuration document: records, checks and digest.

Fetching it is left to ``platform``, which version is in force to ``policy``.
"""

from boragestream.document.check import check_document, parse_document
from boragestream.document.records import (
    ClientAccount,
    Document,
    Model,
    Pipeline,
    Policies,
    Service,
    Stage,
)

__all__ = [
    "ClientAccount",
    "Document",
    "Model",
    "Pipeline",
    "Policies",
    "Service",
    "Stage",
    "check_document",
    "parse_document",
]
