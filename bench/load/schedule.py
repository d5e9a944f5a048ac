"""Arrivals, computed before the run from phases and a seed.

Each client account is a Poisson process of its own whose rate changes with the phases;
a burst is a short phase, a step a change from one phase to the next.
"""

import random
from dataclasses import dataclass, field

from bench.load.deployment import ACCOUNTS, DEFAULT_MIX, capacity_rate

__all__ = ["Arrival", "Phase", "arrivals_of", "total_seconds"]

CALLERS_PER_ACCOUNT = 6
STREAMED_SHARE = 0.5
PREFIXES = 24


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request to make.

    :ivar at: seconds after the start.
    :ivar caller: which caller of the account; each keeps addresses of its own.
    :ivar prefix: which prompt prefix its input shares with others.
    """

    number: int
    at: float
    account: str
    pipeline: str
    caller: int
    stream: bool
    prefix: int


@dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of time with steady rates.

    :ivar seconds: how long it lasts.
    :ivar load: offered load in multiples of what the servers can carry.
    :ivar mix: shares of pipelines.
    :ivar loads: load by client account where it does not follow the weights.
    """

    seconds: float
    load: float
    mix: dict[str, float] = field(default_factory=lambda: dict(DEFAULT_MIX))
    loads: dict[str, float] | None = None

    @property
    def rate(self) -> float:
        """Requests a second that the servers can carry at this mix."""
        return capacity_rate(self.mix)

    @property
    def account_loads(self) -> dict[str, float]:
        """Offered load by client account."""
        if self.loads is not None:
            return self.loads
        total = sum(ACCOUNTS.values())
        return {name: self.load * w / total for name, w in ACCOUNTS.items()}


def total_seconds(phases: tuple[Phase, ...]) -> float:
    """Return how long the phases last together."""
    return sum(phase.seconds for phase in phases)


def arrivals_of(phases: tuple[Phase, ...], seed: int) -> list[Arrival]:
    """Return the arrivals in order of time; the same for the same seed."""
    rng = random.Random(f"arrivals:{seed}")
    drawn = []
    start = 0.0
    for phase in phases:
        for account, load in sorted(phase.account_loads.items()):
            drawn.extend(_poisson(rng, phase, start, account, load * phase.rate))
        start += phase.seconds
    drawn.sort()
    return [Arrival(number, *fields) for number, fields in enumerate(drawn)]


def _poisson(
    rng: random.Random, phase: Phase, start: float, account: str, rate: float
) -> list[tuple]:
    drawn = []
    at = rng.expovariate(rate) if rate else phase.seconds
    names, shares = zip(*sorted(phase.mix.items()), strict=True)
    while at < phase.seconds:
        pipeline = rng.choices(names, shares)[0]
        generates = pipeline in ("assess", "caption")
        drawn.append(
            (
                start + at,
                account,
                pipeline,
                rng.randrange(CALLERS_PER_ACCOUNT),
                generates and rng.random() < STREAMED_SHARE,
                rng.randrange(PREFIXES),
            )
        )
        at += rng.expovariate(rate)
    return drawn
