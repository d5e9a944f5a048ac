"""Offers load to real entries before stand-ins, and writes what came of it as JSON.

Usage:
  bench.load (SCENARIO | --trace FILE) [--seed N]... [--variant V]...
             [--json OUT] [--policies JSON] [--spread] [--lock FILE]
  bench.load --record FILE SCENARIO [--seed N]
  bench.load --list
  bench.load --help

Options:
  --trace FILE     Replay a recorded trace in place of a scenario.
  --record FILE    Write a scenario's arrivals as a trace with stated outcomes.
  --seed N         Seed of the arrivals; may stand several times [default: 1].
  --variant V      own, round-robin, least-connections, own-without-MECHANISM, or an
                   example document, whose policies are taken; may stand several
                   times [default: own].
  --json OUT       Where to write the result.
  --policies JSON  Fields of the document's policies, the same for every variant.
  --spread         Callers take the entries that they are told in orders of their own.
  --lock FILE      Hold a lock on this file during the runs of each seed.
  --list           List the scenarios and the variants.

Variants are interleaved: every seed runs every variant before the next seed begins.
"""

import fcntl
import json
import shlex
import signal
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

from docopt import docopt

from bench.load.report import headline, spread_of
from bench.load.runner import Run, start_bench
from bench.load.scenarios import SCENARIOS, Scenario, scenario_named
from bench.load.schedule import Arrival, arrivals_of
from bench.load.traces import read_scenario, trace_text
from bench.load.variants import BASELINES, EXAMPLES, MECHANISMS, OWN

__all__ = ["main"]

PATH_OPTIONS = ("--json", "--lock")


def main(argv: list[str] | None = None) -> int:
    """Run the comparison; return the exit code."""
    arguments = docopt(__doc__, argv)
    if arguments["--list"]:
        print("scenarios:", *(scenario.name for scenario in SCENARIOS))
        without = (f"own-without-{mechanism}" for mechanism in MECHANISMS)
        print("variants:", OWN, *BASELINES, *EXAMPLES, *without)
        return 0
    seeds = [int(seed) for seed in arguments["--seed"]]
    if arguments["--record"]:
        phases = scenario_named(arguments["SCENARIO"]).phases
        text = trace_text(arrivals_of(phases, seeds[0]), phases)
        Path(arguments["--record"]).write_text(text)
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    comparison = Comparison(
        load=_load(arguments),
        variants=arguments["--variant"],
        overrides=json.loads(arguments["--policies"] or "{}"),
        spread=arguments["--spread"],
        lock=arguments["--lock"],
    )
    runs = run_comparison(comparison, seeds)
    result = {
        "command": command_line(argv or sys.argv[1:]),
        "machine": "shared with other work; compare within this file only",
        "spread": spread_of(runs),
        "runs": [asdict(run) for run in runs],
    }
    if arguments["--json"]:
        write_result(Path(arguments["--json"]), result)
    broken = any(count for run in runs for count in run.invariants.values())
    return 1 if broken else 0


def command_line(arguments: Sequence[str]) -> str:
    """Return the command of a result, without the paths of the machine it ran on."""
    kept = []
    rest = iter(arguments)
    for argument in rest:
        if argument in PATH_OPTIONS:
            next(rest)
            continue
        kept.append(argument)
    return shlex.join(["python", "-m", "bench.load", *kept])


def write_result(path: Path, result: dict) -> None:
    """Write a result as JSON, with the spread readable and each run on a line."""
    *head, last = [f"{json.dumps(k)}: {_lines(v)}" for k, v in result.items()]
    path.write_text("{\n" + "".join(f"{line},\n" for line in head) + last + "\n}\n")


def _lines(value: object) -> str:
    if isinstance(value, list):
        return "[\n" + ",\n".join(json.dumps(item) for item in value) + "\n]"
    return json.dumps(value, indent=1)


@contextmanager
def locked(path: str | None) -> Iterator[None]:
    """Hold a lock on a file, where there is one."""
    if path is None:
        yield
        return
    with Path(path).open("a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


Load = Callable[[int], tuple[Scenario, Sequence[Arrival], dict | None]]


@dataclass(frozen=True, slots=True)
class Comparison:
    """What is compared.

    :ivar load: returns scenario, arrivals and stated outcomes for a seed.
    :ivar overrides: fields of the document's policies for every variant.
    :ivar spread: whether callers take entries in orders of their own.
    :ivar lock: a file to lock during the runs of each seed.
    """

    load: Load
    variants: Sequence[str]
    overrides: dict
    spread: bool
    lock: str | None


def _load(arguments: dict) -> Load:
    if arguments["--trace"]:
        recorded = read_scenario(Path(arguments["--trace"]))
        return lambda seed: recorded
    scenario = scenario_named(arguments["SCENARIO"])
    return lambda seed: (scenario, arrivals_of(scenario.phases, seed), None)


def run_comparison(comparison: Comparison, seeds: Sequence[int]) -> list[Run]:
    """Run every variant for every seed; print a line for each run.

    Each run has a fleet of its own: what entries learn in the overload of one variant
    would weigh on the next.
    """
    runs = []
    for seed in seeds:
        scenario, arrivals, expected = comparison.load(seed)
        with locked(comparison.lock):
            for variant in comparison.variants:
                fleet, bench = start_bench(comparison.spread)
                with fleet:
                    run = bench.run(
                        scenario,
                        variant,
                        seed,
                        arrivals,
                        comparison.overrides,
                        expected,
                    )
                runs.append(run)
                print(headline(run), flush=True)
    return runs


if __name__ == "__main__":
    sys.exit(main())
