"""What a backend server shall hold, and whether an order is needed for it.

An order states the whole wanted state, so that giving it twice changes nothing. Who
may give it is left to ``policy.ownership``, how fast to ``policy.weight_store``.
"""

from dataclasses import dataclass

from boragestream.document import Document

__all__ = ["HeldModel", "needs_weights", "wanted_models"]


@dataclass(frozen=True, slots=True, order=True)
class HeldModel:
    """A model in one version with its adapters, as a server holds or shall hold it."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


def wanted_models(document: Document, service: str) -> tuple[HeldModel, ...] | None:
    """Return what each server of a service shall hold, in order of the names.

    :returns: None for a service that the document does not name or that holds no
        models; its servers are given no orders.
    """
    names = {m for s in document.services if s.name == service for m in s.models}
    if not names:
        return None
    return tuple(
        sorted(
            HeldModel(model.name, model.version, tuple(sorted(model.adapters)))
            for model in document.models
            if model.name in names
        )
    )


def needs_weights(held: tuple[HeldModel, ...], wanted: tuple[HeldModel, ...]) -> bool:
    """Return whether a server must fetch something from the weight store."""
    adapters = {(m.name, m.version): set(m.adapters) for m in held}
    return any(
        (model.name, model.version) not in adapters
        or not set(model.adapters) <= adapters[model.name, model.version]
        for model in wanted
    )
