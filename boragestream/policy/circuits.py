"""Keeps calls away from a server that has just failed.

A server that could not be reached, or that cut answers twice in a row, is ejected for
a short time that grows with each further failure. When the time is over, one call
probes it. That the last server of a service is never ejected is left to
``policy.routing``.
"""

import random
from dataclasses import dataclass, replace

__all__ = [
    "CLOSED",
    "Circuit",
    "after_failure",
    "after_probe_cancelled",
    "is_open",
    "probing",
]

FIRST_EJECTION_SECONDS = 0.25
LONGEST_EJECTION_SECONDS = 2.0
GROWTH = 2.0
CUTS_TO_EJECT = 2


@dataclass(frozen=True, slots=True)
class Circuit:
    """What recent failures say of a server.

    :ivar failures: failures since the last answer.
    :ivar until: the clock's seconds until which the server is ejected; 0 for never.
    :ivar probe: whether a call that probes the server is in progress.
    """

    failures: int = 0
    until: float = 0.0
    probe: bool = False


CLOSED = Circuit()


def is_open(circuit: Circuit, now: float) -> bool:
    """Tell whether the server shall get no call now."""
    return circuit.probe or now < circuit.until


def after_failure(
    circuit: Circuit, now: float, reached: bool, rng: random.Random
) -> Circuit:
    """Return the circuit after a failure.

    :param reached: whether the server took the call; one cut answer may be chance.
    :param rng: spreads the entries' probes.
    """
    failures = circuit.failures + 1
    if reached and failures < CUTS_TO_EJECT:
        return Circuit(failures, 0.0)
    rounds = failures - (CUTS_TO_EJECT if reached else 1)
    # The power is bounded as well, since a dead server fails without end.
    growth = GROWTH ** min(rounds, 16)
    seconds = min(FIRST_EJECTION_SECONDS * growth, LONGEST_EJECTION_SECONDS)
    return Circuit(failures, now + seconds * rng.uniform(0.75, 1.25))


def probing(circuit: Circuit) -> Circuit:
    """Return the circuit once a call has begun; the first after an ejection probes."""
    return replace(circuit, probe=True) if circuit.until else circuit


def after_probe_cancelled(circuit: Circuit) -> Circuit:
    """Return the circuit after a call that says nothing of the server."""
    return replace(circuit, probe=False)
