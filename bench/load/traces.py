"""Recorded traces as scenarios: arrivals with stated outcomes.

The format is that of ``boragestream replay``. A trace that the tool writes itself is
drawn from phases, with the outcomes that each phase allows.
"""

import json
from collections.abc import Sequence
from pathlib import Path

from bench.load.client import Sample
from bench.load.deployment import DEADLINE_SECONDS
from bench.load.scenarios import Scenario
from bench.load.schedule import Arrival, Phase
from boragestream.operator.trace import read_trace

__all__ = ["not_as_stated", "read_scenario", "trace_text"]

OVERLOADED = ("answered", "refused")
SERVED = ("answered",)


def trace_text(arrivals: Sequence[Arrival], phases: Sequence[Phase]) -> str:
    """Return a trace; at loads over 1 a refusal is as good as stated."""
    lines = []
    for arrival in arrivals:
        line = {
            "at_ms": round(arrival.at * 1000, 1),
            "account": arrival.account,
            "pipeline": arrival.pipeline,
            "input": {"prefix": arrival.prefix, "number": arrival.number},
            "deadline_ms": int(DEADLINE_SECONDS * 1000),
            "stream": arrival.stream,
            "expect": SERVED if _load_at(phases, arrival.at) <= 1 else OVERLOADED,
        }
        lines.append(json.dumps(line) + "\n")
    return "".join(lines)


def _load_at(phases: Sequence[Phase], at: float) -> float:
    """Return the load at a time, counting the deadline before it as well."""
    start = 0.0
    load = 0.0
    for phase in phases:
        end = start + phase.seconds
        if start <= at and at - DEADLINE_SECONDS < end:
            load = max(load, sum(phase.account_loads.values()))
        start = end
    return load


def read_scenario(
    path: Path,
) -> tuple[Scenario, list[Arrival], dict[int, tuple[str, ...]]]:
    """Read a trace; return a scenario, its arrivals and the outcomes by number.

    :raises ValueError: the trace has faults.
    """
    lines, faults = read_trace(path)
    if faults:
        raise ValueError(faults[0].describe())
    arrivals = [
        Arrival(
            number=number,
            at=line.at_ms / 1000,
            account=line.account,
            pipeline=line.pipeline,
            caller=number % 6,
            stream=line.stream,
            prefix=line.input["prefix"],
        )
        for number, line in enumerate(lines)
    ]
    expected = {number: line.expect for number, line in enumerate(lines)}
    seconds = arrivals[-1].at
    return Scenario(f"trace-{path.stem}", (Phase(seconds, 1.0),)), arrivals, expected


def not_as_stated(
    samples: Sequence[Sample], expected: dict[int, tuple[str, ...]]
) -> int:
    """Return how many requests ended otherwise than stated."""
    return sum(
        bool(expected.get(s.number)) and s.outcome not in expected[s.number]
        for s in samples
    )
