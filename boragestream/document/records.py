"""The records of the published document.

The schema is derived from these data classes. They are immutable, so that a request
can keep using the version with which it began. Rules between records are left to
``document.check``.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

__all__ = [
    "SCHEMA_VERSION",
    "ClientAccount",
    "Document",
    "Mechanism",
    "Model",
    "Pipeline",
    "Policies",
    "Service",
    "ServiceKind",
    "Stage",
]

SCHEMA_VERSION = 1

Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
KeyDigest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
DeadlineMs = Annotated[int, msgspec.Meta(ge=10, le=600_000)]
Mechanism = Literal[
    "admission",
    "deadline-budgets",
    "fair-queue",
    "load-reports",
    "affinity",
    "ejection",
    "concurrency-limit",
    "easing",
    "hedging",
    "retries",
    "account-limits",
]
ServiceKind = Literal["engine", "encoder", "retriever", "reranker", "plain"]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: who may call, and with which share.

    :ivar key_digests: SHA-256 of each key in force, in hexadecimal; two during a
        change of keys.
    :ivar weight: the share of capacity under contention, relative to the others.
    :ivar priority: 0 (lowest) to 9; added to the pipeline's when work is ordered.
    :ivar requests_per_second: over all entries together; None for no limit.
    :ivar concurrency: requests in hand over all entries together; None for no limit.
    """

    name: Name
    key_digests: Annotated[tuple[KeyDigest, ...], msgspec.Meta(min_length=1)]
    weight: PositiveFloat = 1.0
    priority: Priority = 0
    requests_per_second: PositiveFloat | None = None
    concurrency: PositiveCount | None = None


@dataclass(frozen=True, slots=True)
class Model:
    """A model that engines or pools can hold.

    :ivar version: the version that is wanted on its servers.
    :ivar adapters: adapters that are wanted beside it.
    """

    name: Name
    version: str = "1"
    adapters: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that answer the same calls.

    :ivar kind: which protocol they speak.
    :ivar models: the models that they hold; empty for plain services.
    """

    name: Name
    kind: ServiceKind
    models: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a pipeline.

    :ivar service: the service that runs it.
    :ivar model: the model to ask for; empty for plain services.
    :ivar after: the stages whose results it needs; None for the stage before it.
    :ivar repeatable: whether running it twice does no harm.
    :ivar max_tokens: the most tokens that a generating stage may produce.
    """

    name: Name
    service: Name
    model: str = ""
    after: tuple[Name, ...] | None = None
    repeatable: bool = True
    max_tokens: PositiveCount = 64


@dataclass(frozen=True, slots=True)
class Pipeline:
    """Stages that answer one kind of request; the last stage's result is the answer.

    :ivar deadline_ms: the deadline of a request that brings none, and the longest
        that a request may bring.
    :ivar priority: 0 (lowest) to 9.
    :ivar client_accounts: who may call it; empty for all.
    """

    name: Name
    deadline_ms: DeadlineMs
    stages: Annotated[tuple[Stage, ...], msgspec.Meta(min_length=1, max_length=6)]
    priority: Priority = 0
    client_accounts: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class Policies:
    """Settings of the decisions, the same on every entry.

    :ivar routing: how a server is chosen.
    :ivar without: mechanisms that are switched off, to compare with and without.
    :ivar answer_keep_seconds: how long a caller may keep the answer to which
        addresses to use.
    :ivar hedge_share: hedged attempts as a share of requests.
    :ivar retry_share: retried attempts as a share of requests.
    :ivar cost_weight: 0 weighs attainment only; 1 spends no extra server time.
    :ivar ticket_seconds: how long a ticket may be used.
    """

    routing: Literal["expected-finish", "least-connections", "round-robin"] = (
        "expected-finish"
    )
    without: tuple[Mechanism, ...] = ()
    answer_keep_seconds: PositiveFloat = 5.0
    hedge_share: Share = 0.05
    retry_share: Share = 0.1
    cost_weight: Share = 0.2
    ticket_seconds: PositiveFloat = 30.0


@dataclass(frozen=True, slots=True)
class Document:
    """The whole published document.

    :ivar schema_version: which schema it follows; a newer one than known is refused.
    :ivar version: rises with every change.
    :ivar deployment: the deployment that it is meant for.
    """

    schema_version: Annotated[int, msgspec.Meta(ge=1)]
    version: Annotated[int, msgspec.Meta(ge=1)]
    deployment: Name
    client_accounts: tuple[ClientAccount, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    pipelines: tuple[Pipeline, ...]
    policies: Policies = field(default_factory=Policies)
