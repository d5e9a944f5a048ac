"""Prints results of the load tool as tables in Markdown.

Usage:
  bench.tables [--figures NAMES] RESULT...
  bench.tables --help

Options:
  --figures NAMES  Comma-separated names of figures, see bench.load.report
                   [default: attainment,goodput_of_ideal,wasted_share,attempts].

Each figure is the mean over the seeds, with least and most in brackets.
"""

import json
import sys
from pathlib import Path

from docopt import docopt

__all__ = ["main", "table"]

TITLES = {
    "attainment": "attainment",
    "attainment_admitted": "of admitted",
    "attainment_during_fault": "attainment in fault",
    "worst_account": "worst account",
    "small_accounts": "small accounts",
    "goodput_of_ideal": "goodput of ideal",
    "fast_refusals": "refusals in 50 ms",
    "wasted_share": "wasted server time",
    "attempts": "attempts a call",
    "jain": "Jain",
    "p99": "p99 s",
    "p99_before_fault": "p99 before s",
    "p99_during_fault": "p99 in fault s",
    "nominal_before_fault": "server s an answer before",
    "nominal_during_fault": "server s an answer in fault",
    "recovery_seconds": "recovery s",
}


def table(result: dict, figures: list[str]) -> str:
    """Return a Markdown table: a row for each variant."""
    head = ["variant", *(TITLES.get(name, name) for name in figures)]
    rows = [head, ["---"] * len(head)]
    for variant, spread in result["spread"].items():
        rows.append([variant, *(_cell(spread.get(name)) for name in figures)])
    return "".join("| " + " | ".join(row) + " |\n" for row in rows)


def _cell(figure: dict | None) -> str:
    if figure is None:
        return "-"
    mean, least, most = figure["mean"], figure["least"], figure["most"]
    return f"{mean:.3f} ({least:.3f} to {most:.3f})"


def main(argv: list[str] | None = None) -> int:
    """Print the tables; return the exit code."""
    arguments = docopt(__doc__, argv)
    figures = arguments["--figures"].split(",")
    for path in arguments["RESULT"]:
        result = json.loads(Path(path).read_text())
        print(f"{path}: `{result['command']}`\n")
        print(table(result, figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
