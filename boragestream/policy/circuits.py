"""Circuit breaker that ejects a server after recent failures.

A server that could not be reached, or that cut two answers in a row, is ejected for a
short time that grows with each further failure. After that time one call probes the
server. The rule that the last server of a service is never ejected is left to
``policy.candidates``.
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
    """The state of one server's circuit breaker.

    :ivar failures: the number of failures since the last answer.
    :ivar until: when the ejection ends, in the clock's seconds; 0 without one.
    :ivar probe: whether a call that probes the server is in progress.
    """

    failures: int = 0
    until: float = 0.0
    probe: bool = False


CLOSED = Circuit()


def is_open(circuit: Circuit, now: float) -> bool:
    """Return whether the server must get no call now."""
    return circuit.probe or now < circuit.until


def after_failure(
    circuit: Circuit, now: float, reached: bool, rng: random.Random
) -> Circuit:
    """Return the circuit after a failure.

    :param reached: whether the server accepted the call. A single cut answer does not
        eject the server, since it may be accidental.
    :param rng: randomizes the times at which the entries probe.
    """
    failures = circuit.failures + 1
    if reached and failures < CUTS_TO_EJECT:
        return Circuit(failures, 0.0)
    rounds = failures - (CUTS_TO_EJECT if reached else 1)
    # The exponent is bounded too, since a dead server fails an unlimited number of
    # times.
    growth = GROWTH ** min(rounds, 16)
    seconds = min(FIRST_EJECTION_SECONDS * growth, LONGEST_EJECTION_SECONDS)
    return Circuit(failures, now + seconds * rng.uniform(0.75, 1.25))


def probing(circuit: Circuit) -> Circuit:
    """Return the circuit after a call began; the first after an ejection is a probe."""
    return replace(circuit, probe=True) if circuit.until else circuit


def after_probe_cancelled(circuit: Circuit) -> Circuit:
    """Return the circuit after a call that gave no information on the server."""
    return replace(circuit, probe=False)
