"""The deployment under load: its document, its servers and what they can carry.

Every default pipeline costs the writer the same, so that at the default mix the writer
is the bottleneck and no choice of requests can beat the ideal.
"""

import hashlib
from dataclasses import dataclass

__all__ = [
    "ACCOUNTS",
    "DEADLINE_SECONDS",
    "DEFAULT_MIX",
    "PIPELINES",
    "POOLS",
    "TOKENS",
    "Pool",
    "account_key",
    "bench_document",
    "bench_servers",
    "capacity_rate",
    "server_specs",
]

DEADLINE_SECONDS = 1.5
TOKENS = 8
CENTRES = ("hall-1", "hall-2", "hall-3")
DEFAULT_MIX = {"assess": 0.7, "caption": 0.3}
# The large account has half of the weight, the four small ones share the rest.
ACCOUNTS = {"large": 4.0, "small-1": 1.0, "small-2": 1.0, "small-3": 1.0, "small-4": 1}
PIPELINES = {
    "assess": ("encoder", "retriever", "reranker", "writer"),
    "caption": ("encoder", "writer"),
    "search": ("encoder", "retriever", "reranker"),
    "ping": ("ledger",),
}


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers of one service.

    :ivar servers: how many there are.
    :ivar slots: calls that one server runs at once.
    :ivar service_ms: time of a call before its first token.
    :ivar token_ms: time of each of the ``TOKENS`` tokens.
    """

    kind: str
    servers: int
    slots: int
    service_ms: float
    token_ms: float = 0.0

    @property
    def seconds(self) -> float:
        """Seconds that one call holds a slot."""
        return (self.service_ms + TOKENS * self.token_ms) / 1000

    @property
    def rate(self) -> float:
        """Calls a second that the pool can carry."""
        return self.servers * self.slots / self.seconds


POOLS = {
    "encoder": Pool("encoder", 3, 3, 30.0),
    "retriever": Pool("retriever", 3, 2, 40.0),
    "reranker": Pool("reranker", 3, 2, 40.0),
    "writer": Pool("engine", 3, 6, 20.0, 20.0),
    "ledger": Pool("plain", 3, 4, 10.0),
}


def account_key(account: str) -> str:
    """Return the key of a client account."""
    return f"bench-key-{account}"


def bench_document(policies: dict, accounts: dict | None = None) -> dict:
    """Return the document.

    :param policies: fields of its ``policies``.
    :param accounts: more fields of client accounts, by name.
    """
    return {
        "schema_version": 1,
        "version": 1,
        "deployment": "bench",
        "client_accounts": [
            {
                "name": name,
                "key_digests": [hashlib.sha256(account_key(name).encode()).hexdigest()],
                "weight": weight,
                **(accounts or {}).get(name, {}),
            }
            for name, weight in ACCOUNTS.items()
        ],
        "models": [{"name": f"{name}-model"} for name in POOLS if name != "ledger"],
        "services": [_service(name, pool) for name, pool in POOLS.items()],
        "pipelines": [
            {
                "name": name,
                "deadline_ms": int(DEADLINE_SECONDS * 1000),
                "stages": [_stage(service) for service in services],
            }
            for name, services in PIPELINES.items()
        ],
        "policies": policies,
    }


def _service(name: str, pool: Pool) -> dict:
    models = [] if pool.kind == "plain" else [f"{name}-model"]
    return {"name": name, "kind": pool.kind, "models": models}


def _stage(service: str) -> dict:
    if service == "ledger":
        return {"name": "charge", "service": service, "repeatable": False}
    stage = {"name": service, "service": service, "model": f"{service}-model"}
    return {**stage, "max_tokens": TOKENS} if service == "writer" else stage


def bench_servers() -> list[tuple[str, str, str, str]]:
    """Return the servers as (name, service, kind, data centre)."""
    return [
        (f"{name}-{index + 1}", name, pool.kind, CENTRES[index % len(CENTRES)])
        for name, pool in POOLS.items()
        for index in range(pool.servers)
    ]


def server_specs() -> dict[str, dict]:
    """Return what the stand-ins of each service can carry."""
    return {
        name: {
            "slots": pool.slots,
            "service_ms": pool.service_ms,
            "token_ms": pool.token_ms,
            "tokens": TOKENS,
        }
        for name, pool in POOLS.items()
    }


def capacity_rate(mix: dict[str, float]) -> float:
    """Return the requests a second that the bottleneck stage can carry.

    :param mix: shares of pipelines; they add up to 1.
    """
    rates = []
    for name, pool in POOLS.items():
        calls = sum(share for p, share in mix.items() if name in PIPELINES[p])
        if calls:
            rates.append(pool.rate / calls)
    return min(rates)
