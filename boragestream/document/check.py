"""Checks a document as a whole and builds its records.

The command line and the entries use the same check, so that what ``boragestream
check`` accepts is what an entry takes. Every fault is reported at once.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from boragestream.base.shapes import Fault, build
from boragestream.document.records import (
    SCHEMA_VERSION,
    Document,
    Pipeline,
    Service,
    Stage,
)

__all__ = ["MAX_DOCUMENT_BYTES", "check_document", "parse_document"]

MAX_DOCUMENT_BYTES = 1_048_576


def parse_document(text: bytes) -> tuple[Document | None, list[Fault]]:
    """Decode, check and build a document.

    :param text: JSON, at most ``MAX_DOCUMENT_BYTES``.
    :returns: the document and no faults, or None and every fault found.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return None, [Fault("", f"longer than {MAX_DOCUMENT_BYTES} bytes")]
    try:
        data = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        return None, [Fault("", f"not JSON: {error}")]
    return check_document(data)


def check_document(data: object) -> tuple[Document | None, list[Fault]]:
    """Check and build a decoded document.

    :param data: decoded JSON.
    :returns: the document and no faults, or None and every fault found.
    """
    schema_version = data.get("schema_version") if isinstance(data, dict) else None
    if isinstance(schema_version, int) and schema_version > SCHEMA_VERSION:
        reason = f"{schema_version} is newer than {SCHEMA_VERSION}, the newest known"
        return None, [Fault("schema_version", reason)]
    document, faults = build(data, Document)
    if document is None:
        return None, faults
    faults = list(_relation_faults(document))
    return (None, faults) if faults else (document, [])


def _relation_faults(document: Document) -> Iterator[Fault]:
    yield from _repeated("client_accounts", (a.name for a in document.client_accounts))
    yield from _repeated("models", (m.name for m in document.models))
    yield from _repeated("services", (s.name for s in document.services))
    yield from _repeated("pipelines", (p.name for p in document.pipelines))
    yield from _repeated_digests(document)
    models = {model.name for model in document.models}
    for index, service in enumerate(document.services):
        yield from _unknown(f"services[{index}].models", service.models, models)
    accounts = {account.name for account in document.client_accounts}
    services = {service.name: service for service in document.services}
    for index, pipeline in enumerate(document.pipelines):
        place = f"pipelines[{index}]"
        yield from _unknown(
            f"{place}.client_accounts", pipeline.client_accounts, accounts
        )
        yield from _pipeline_faults(place, pipeline, services)


def _pipeline_faults(
    place: str, pipeline: Pipeline, services: dict[str, Service]
) -> Iterator[Fault]:
    yield from _repeated(f"{place}.stages", (s.name for s in pipeline.stages))
    earlier: set[str] = set()
    needed: set[str] = set()
    for index, stage in enumerate(pipeline.stages):
        here = f"{place}.stages[{index}]"
        yield from _stage_faults(here, stage, services)
        for name in stage.after or ():
            if name not in earlier:
                yield Fault(f"{here}.after", f"{name!r} is not an earlier stage")
        previous = (pipeline.stages[index - 1].name,) if index else ()
        needed.update(previous if stage.after is None else stage.after)
        earlier.add(stage.name)
    for index, stage in enumerate(pipeline.stages[:-1]):
        if stage.name not in needed:
            reason = "no later stage uses its result"
            yield Fault(f"{place}.stages[{index}]", reason)


def _stage_faults(
    place: str, stage: Stage, services: dict[str, Service]
) -> Iterator[Fault]:
    service = services.get(stage.service)
    if service is None:
        yield Fault(f"{place}.service", f"unknown service {stage.service!r}")
        return
    if service.kind == "plain":
        if stage.model:
            yield Fault(f"{place}.model", "a plain service takes no model")
        return
    if stage.model not in service.models:
        reason = f"{stage.model!r} is not a model of service {service.name!r}"
        yield Fault(f"{place}.model", reason)


def _repeated_digests(document: Document) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for index, account in enumerate(document.client_accounts):
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name or account.key_digests.count(digest) > 1:
                place = f"client_accounts[{index}].key_digests"
                yield Fault(place, f"{owner!r} has the same key already")


def _repeated(place: str, names: Iterable[str]) -> Iterator[Fault]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Fault(place, f"name {name!r} stands {count} times")


def _unknown(place: str, names: Iterable[str], known: set[str]) -> Iterator[Fault]:
    for name in names:
        if name not in known:
            yield Fault(place, f"unknown name {name!r}")
