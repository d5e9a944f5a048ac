"""The scenarios: what is offered when, and which fault comes when.

The first ``WARM_SECONDS`` of each are not counted. Faults are given in seconds after
the start.
"""

from dataclasses import dataclass

from bench.load.schedule import Phase

__all__ = ["SCENARIOS", "WARM_SECONDS", "Fault", "Scenario", "scenario_named"]

WARM_SECONDS = 2.0
COUNTED_SECONDS = 6.0
STRAGGLER_FACTOR = 6.0
SEARCH_MIX = {"search": 0.8, "caption": 0.2}
WRITE_MIX = {"search": 0.2, "caption": 0.8}
PING_MIX = {"assess": 0.6, "caption": 0.2, "ping": 0.2}


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong for a while.

    :ivar kind: ``slow``, ``kill``, ``freeze`` or ``replace-entry``.
    :ivar targets: servers or entries.
    :ivar at: when it begins.
    :ivar until: when it ends; None where it ends by itself.
    """

    kind: str
    targets: tuple[str, ...]
    at: float
    until: float | None = None
    factor: float = STRAGGLER_FACTOR


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is offered and what goes wrong.

    :ivar accounts: more fields of client accounts of the document, by name.
    """

    name: str
    phases: tuple[Phase, ...]
    faults: tuple[Fault, ...] = ()
    accounts: dict[str, dict] | None = None


def _steady(load: float) -> Scenario:
    return Scenario(f"steady-{load:g}", (Phase(WARM_SECONDS + COUNTED_SECONDS, load),))


FLOOD_LOADS = {f"small-{i}": 0.1 for i in range(1, 5)}
FIRST_OF_EACH_POOL = ("encoder-1", "retriever-1", "reranker-1", "writer-1")

SCENARIOS = (
    _steady(0.5),
    _steady(1),
    _steady(2),
    _steady(4),
    Scenario("burst", (Phase(4.0, 0.5), Phase(1.5, 4.0), Phase(4.5, 0.5))),
    Scenario(
        "flood",
        (
            Phase(4.0, 0.0, loads={**FLOOD_LOADS, "large": 0.3}),
            Phase(6.0, 0.0, loads={**FLOOD_LOADS, "large": 3.0}),
        ),
    ),
    Scenario(
        "straggler",
        (Phase(13.0, 0.5),),
        (Fault("slow", FIRST_OF_EACH_POOL, 6.0, 10.0),),
    ),
    Scenario(
        "server-dies",
        (Phase(12.0, 0.6, mix=PING_MIX),),
        (Fault("kill", ("writer-1", "encoder-2", "ledger-1"), 5.0, 8.5),),
    ),
    Scenario(
        "server-freezes",
        (Phase(12.0, 0.6, mix=PING_MIX),),
        (Fault("freeze", ("writer-1", "encoder-2"), 5.0, 8.5),),
    ),
    Scenario(
        "entry-replaced",
        (Phase(11.0, 0.6, mix=PING_MIX),),
        (Fault("replace-entry", ("entry-2",), 4.0),),
    ),
    Scenario(
        "crossing", (Phase(6.0, 0.85, mix=WRITE_MIX), Phase(5.0, 0.85, mix=SEARCH_MIX))
    ),
)


def scenario_named(name: str) -> Scenario:
    """Return a scenario by its name."""
    return {scenario.name: scenario for scenario in SCENARIOS}[name]
