"""Offers load to real entries before stand-ins, and writes what came of it as JSON.

Usage:
  bench.load SCENARIO [--seed N]... [--variant V]... [--json OUT] [--policies JSON]
             [--spread]
  bench.load --list
  bench.load --help

Options:
  --seed N         Seed of the arrivals; may stand several times [default: 1].
  --variant V      own, round-robin, least-connections or own-without-MECHANISM; may
                   stand several times [default: own].
  --json OUT       Where to write the result.
  --policies JSON  Fields of the document's policies, the same for every variant.
  --spread         Callers take the entries that they are told in orders of their own.
  --list           List the scenarios and the variants.

Variants are interleaved: every seed runs every variant before the next seed begins.
"""

import json
import signal
import sys
from dataclasses import asdict
from pathlib import Path

from docopt import docopt

from bench.load.report import headline, spread_of
from bench.load.runner import Run, start_bench
from bench.load.scenarios import SCENARIOS, scenario_named
from bench.load.schedule import arrivals_of
from bench.load.variants import BASELINES, MECHANISMS, OWN

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run the comparison; return the exit code."""
    arguments = docopt(__doc__, argv)
    if arguments["--list"]:
        print("scenarios:", *(scenario.name for scenario in SCENARIOS))
        print("variants:", OWN, *BASELINES, *(f"own-without-{m}" for m in MECHANISMS))
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    runs = run_comparison(
        arguments["SCENARIO"],
        [int(seed) for seed in arguments["--seed"]],
        arguments["--variant"],
        json.loads(arguments["--policies"] or "{}"),
        arguments["--spread"],
    )
    result = {
        "command": "python -m bench.load " + " ".join(argv or sys.argv[1:]),
        "machine": "shared with other work; compare within this file only",
        "spread": spread_of(runs),
        "runs": [asdict(run) for run in runs],
    }
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(json.dumps(result, indent=1) + "\n")
    broken = any(count for run in runs for count in run.invariants.values())
    return 1 if broken else 0


def run_comparison(
    name: str, seeds: list[int], variants: list[str], overrides: dict, spread: bool
) -> list[Run]:
    """Run every variant for every seed on one fleet; print a line for each run."""
    scenario = scenario_named(name)
    runs = []
    fleet, bench = start_bench(spread)
    with fleet:
        for seed in seeds:
            arrivals = arrivals_of(scenario.phases, seed)
            for variant in variants:
                run = bench.run(scenario, variant, seed, arrivals, overrides)
                runs.append(run)
                print(headline(run), flush=True)
    return runs


if __name__ == "__main__":
    sys.exit(main())
