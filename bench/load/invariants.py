"""Counts of what must never happen, over the samples and what the servers ran."""

from collections import Counter
from collections.abc import Sequence

from bench.load.client import Sample

__all__ = ["UNREPEATABLE_SERVICE", "invariant_counts"]

UNREPEATABLE_SERVICE = "ledger"


def invariant_counts(
    samples: Sequence[Sample], runs: dict[str, dict[str, int]]
) -> dict[str, int]:
    """Return how often each invariant was broken.

    :param samples: every sample of the run.
    :param runs: how often each request id was run, by service.
    """
    everything: Counter = Counter()
    for counts in runs.values():
        everything.update(counts)
    unrepeatable = runs.get(UNREPEATABLE_SERVICE, {})
    return {
        "lost": sum(s.outcome == "lost" for s in samples),
        "doubled": sum(count > 1 for count in unrepeatable.values()),
        "crossed": sum(s.crossed for s in samples),
        "refused_but_run": sum(
            everything[s.request_id] > 0 for s in samples if s.outcome == "refused"
        ),
    }
