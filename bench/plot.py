"""Draws the results of the load tool.

Usage:
  bench.plot load FOLDER OUT
  bench.plot accounts RESULT OUT
  bench.plot timeline RESULT OUT
  bench.plot --help

``load`` draws attainment, goodput and latency against load from steady-*.json of a
folder, ``accounts`` the attainment of each client account, ``timeline`` what became of
the requests around a fault. Bars and bands give least and most over the seeds.
"""

import json
import sys
from pathlib import Path
from statistics import mean

import matplotlib
from docopt import docopt

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["main"]

LOADS = ("0.5", "1", "2", "4")
DOTS_PER_INCH = 80
COLOURS = ("#1b6ca8", "#d1495b", "#7a7a7a", "#3a8f5c", "#b07aa1", "#e0a030")
WINDOW_SECONDS = 0.5


def read(path: Path) -> dict:
    """Return a result file of the load tool."""
    return json.loads(path.read_text())


def draw_load(folder: Path, out: Path) -> None:
    """Draw figures against load, a line for each variant."""
    results = {load: read(folder / f"steady-{load}.json")["spread"] for load in LOADS}
    panels = {
        "attainment": "answered in time, of all sent",
        "goodput_of_ideal": "goodput, of the ideal",
        "attainment_admitted": "answered in time, of admitted",
        "p99": "p99 of answers in time (s)",
    }
    figure, axes = pyplot.subplots(1, len(panels), figsize=(14, 3.6))
    for axis, (name, title) in zip(axes, panels.items(), strict=True):
        variants = dict.fromkeys(v for spread in results.values() for v in spread)
        for colour, variant in zip(COLOURS, variants, strict=False):
            _draw_line(axis, results, variant, name, colour)
        axis.set_title(title, fontsize=10)
        axis.set_xlabel("offered load / capacity")
        axis.set_xscale("log", base=2)
        axis.set_xticks([float(load) for load in LOADS], LOADS)
        axis.set_ylim(0, None)
        axis.grid(alpha=0.3)
    axes[0].legend(fontsize=8)
    _save(figure, out)


def _draw_line(axis, results: dict, variant: str, name: str, colour: str) -> None:
    known = [
        (float(load), results[load][variant][name])
        for load in LOADS
        if name in results[load].get(variant, {})
    ]
    loads = [load for load, _ in known]
    axis.plot(loads, [v["mean"] for _, v in known], "o-", color=colour, label=variant)
    low, high = [v["least"] for _, v in known], [v["most"] for _, v in known]
    axis.fill_between(loads, low, high, color=colour, alpha=0.15)


def draw_accounts(path: Path, out: Path) -> None:
    """Draw the attainment of each client account, a group of bars for each."""
    runs = read(path)["runs"]
    variants = list(dict.fromkeys(run["variant"] for run in runs))
    accounts = list(runs[0]["figures"]["accounts"]["attainment"])
    figure, axis = pyplot.subplots(figsize=(8, 3.6))
    width = 0.8 / len(variants)
    for index, variant in enumerate(variants):
        mine = [
            run["figures"]["accounts"]["attainment"]
            for run in runs
            if run["variant"] == variant
        ]
        means = [mean(m[account] for m in mine) for account in accounts]
        least = [min(m[account] for m in mine) for account in accounts]
        most = [max(m[account] for m in mine) for account in accounts]
        errors = [
            [value - low for value, low in zip(means, least, strict=True)],
            [high - value for value, high in zip(means, most, strict=True)],
        ]
        places = [place + index * width for place in range(len(accounts))]
        colour = COLOURS[index % len(COLOURS)]
        axis.bar(
            places, means, width, yerr=errors, color=colour, label=variant, capsize=2
        )
    middle = 0.4 - width / 2
    axis.set_xticks([place + middle for place in range(len(accounts))], accounts)
    axis.set_ylabel("answered in time, of sent")
    axis.set_ylim(0, 1.05)
    axis.set_title(f"{runs[0]['scenario']}: attainment by client account", fontsize=10)
    axis.legend(fontsize=8, loc="lower right")
    _save(figure, out)


def draw_timeline(path: Path, out: Path) -> None:
    """Draw attainment and p95 by half seconds, the faults shaded."""
    runs = read(path)["runs"]
    variants = list(dict.fromkeys(run["variant"] for run in runs))
    figure, axes = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for colour, variant in zip(COLOURS, variants, strict=False):
        mine = [run["windows"] for run in runs if run["variant"] == variant]
        windows = list(zip(*mine, strict=False))
        times = [window[0]["at"] + WINDOW_SECONDS / 2 for window in windows]
        shares = [
            sum(w["in_time"] for w in window) / max(1, sum(w["sent"] for w in window))
            for window in windows
        ]
        p95 = [mean(w["p95"] or 0.0 for w in window) for window in windows]
        axes[0].plot(times, shares, color=colour, label=variant)
        axes[1].plot(times, p95, color=colour)
    for axis in axes:
        _shade_faults(axis, runs[0]["events"])
        axis.set_ylim(0, None)
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("answered in time, of sent")
    axes[1].set_ylabel("p95 of all (s)")
    axes[1].set_xlabel("seconds after the start, fault shaded")
    axes[0].set_title(f"{runs[0]['scenario']}: all seeds together", fontsize=10)
    axes[0].legend(fontsize=8, loc="lower left")
    _save(figure, out)


def _shade_faults(axis, events: list[dict]) -> None:
    if events:
        ends = max(event["done"] for event in events)
        axis.axvspan(events[0]["at"], ends, color="#d1495b", alpha=0.1)


def _save(figure, out: Path) -> None:
    figure.tight_layout()
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def main(argv: list[str] | None = None) -> int:
    """Draw one figure; return the exit code."""
    arguments = docopt(__doc__, argv)
    out = Path(arguments["OUT"])
    if arguments["load"]:
        draw_load(Path(arguments["FOLDER"]), out)
    elif arguments["accounts"]:
        draw_accounts(Path(arguments["RESULT"]), out)
    else:
        draw_timeline(Path(arguments["RESULT"]), out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
