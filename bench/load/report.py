"""Sums up several runs: a line for people and the spread over seeds."""

from collections.abc import Sequence
from statistics import mean

from bench.load.runner import Run

__all__ = ["FIGURES", "figure", "headline", "spread_of"]

FIGURES = {
    "attainment": ("attainment",),
    "attainment_admitted": ("attainment_admitted",),
    "worst_account": ("accounts", "worst"),
    "small_accounts": ("accounts", "small"),
    "goodput_of_ideal": ("goodput_of_ideal",),
    "fast_refusals": ("fast_refusals",),
    "wasted_share": ("work", "wasted_share"),
    "attempts": ("work", "attempts_per_call"),
    "jain": ("accounts", "jain_by_fair_share"),
    "jain_by_weight": ("accounts", "jain_by_weight"),
    "p50": ("answered_seconds", "p50"),
    "p95": ("answered_seconds", "p95"),
    "p99": ("answered_seconds", "p99"),
    "p99_before_fault": ("before_fault", "all_seconds", "p99"),
    "p99_during_fault": ("during_fault", "all_seconds", "p99"),
    "nominal_before_fault": ("before_fault", "nominal_per_answer"),
    "nominal_during_fault": ("during_fault", "nominal_per_answer"),
    "attainment_during_fault": ("during_fault", "attainment"),
    "recovery_seconds": ("recovery_seconds",),
    "not_as_stated": ("not_as_stated",),
    "lag_p99": ("lag_p99",),
}
HEADLINE = (
    "attainment",
    "attainment_admitted",
    "worst_account",
    "goodput_of_ideal",
    "fast_refusals",
    "wasted_share",
    "attempts",
    "jain",
    "p99",
    "p99_before_fault",
    "p99_during_fault",
    "recovery_seconds",
    "not_as_stated",
    "lag_p99",
)


def figure(run: Run, name: str) -> float | None:
    """Return one figure of a run; None where the run has none."""
    value = run.figures
    for key in FIGURES[name]:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value


def headline(run: Run) -> str:
    """Return one line about a run."""
    parts = [f"{run.scenario} {run.variant} seed {run.seed}:"]
    for name in HEADLINE:
        value = figure(run, name)
        if value is not None:
            parts.append(f"{name}={value:.3f}")
    broken = {k: v for k, v in run.invariants.items() if v}
    return " ".join([*parts, f"broken={broken}" if broken else "invariants hold"])


def spread_of(runs: Sequence[Run]) -> dict[str, dict[str, dict]]:
    """Return mean, least and most of each figure by variant, over the seeds."""
    variants: dict[str, dict[str, dict]] = {}
    for variant in dict.fromkeys(run.variant for run in runs):
        mine = [run for run in runs if run.variant == variant]
        variants[variant] = {}
        for name in FIGURES:
            values = [v for run in mine if (v := figure(run, name)) is not None]
            if values:
                variants[variant][name] = {
                    "mean": round(mean(values), 4),
                    "least": round(min(values), 4),
                    "most": round(max(values), 4),
                    "runs": len(values),
                }
    return variants
