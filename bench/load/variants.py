"""The variants that a scenario compares: sets of policies of the document."""

from typing import get_args

from boragestream.document.records import Mechanism
from tests.standins.sites import example_document

__all__ = ["BASELINES", "EXAMPLES", "MECHANISMS", "OWN", "variant_policies"]

OWN = "own"
MECHANISMS = get_args(Mechanism)
WITHOUT = "own-without-"
BASELINES = ("round-robin", "least-connections")
# The policies of the example documents, which weigh cost differently.
EXAMPLES = ("cooperative", "consortium")
ANSWER_KEEP_SECONDS = 1.0


def variant_policies(variant: str, overrides: dict | None = None) -> dict:
    """Return the policies of a variant.

    :param variant: ``own``, a baseline, an example document's name, or
        ``own-without-MECHANISM``.
    :param overrides: fields that are the same for every variant.
    :raises KeyError: there is no such variant.
    """
    policies = {"answer_keep_seconds": ANSWER_KEEP_SECONDS, **(overrides or {})}
    if variant in BASELINES:
        return {**policies, "routing": variant, "without": list(MECHANISMS)}
    if variant in EXAMPLES:
        return {**example_document(variant).get("policies", {}), **policies}
    mechanism = variant.removeprefix(WITHOUT)
    if variant == OWN:
        return policies
    if mechanism not in MECHANISMS:
        raise KeyError(variant)
    return {**policies, "without": [mechanism]}
