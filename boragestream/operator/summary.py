"""Sums results up: outcomes, latency and attainment of a group of requests."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from boragestream.operator.results import RequestResult

__all__ = ["Summary", "summarise", "summarise_by"]


@dataclass(frozen=True, slots=True)
class Summary:
    """What became of some requests.

    :ivar missed: how many did not meet their stated outcome.
    :ivar attainment: the share answered within the deadline; None where not known.
    :ivar p50_ms: over every request that had a reply; None without one.
    """

    sent: int
    answered: int
    refused: int
    failed: int
    unknown: int
    lost: int
    missed: int
    attainment: float | None
    p50_ms: float | None
    p95_ms: float | None
    max_ms: float | None


def summarise(results: Iterable[RequestResult]) -> Summary:
    """Sum results up."""
    listed = list(results)
    outcomes = Counter(r.outcome for r in listed)
    known = [r.in_time for r in listed if r.in_time is not None]
    times = sorted(r.milliseconds for r in listed if r.outcome != "lost")
    return Summary(
        sent=len(listed),
        answered=outcomes["answered"],
        refused=outcomes["refused"],
        failed=outcomes["failed"],
        unknown=outcomes["unknown"],
        lost=outcomes["lost"],
        missed=sum(r.as_stated is False for r in listed),
        attainment=round(sum(known) / len(known), 4) if known else None,
        p50_ms=_percentile(times, 0.5),
        p95_ms=_percentile(times, 0.95),
        max_ms=_percentile(times, 1.0),
    )


def summarise_by(
    results: Iterable[RequestResult], key: Callable[[RequestResult], str]
) -> dict[str, Summary]:
    """Sum up each group of results, in the order of the groups' names."""
    groups: dict[str, list[RequestResult]] = defaultdict(list)
    for result in results:
        groups[key(result)].append(result)
    return {name: summarise(groups[name]) for name in sorted(groups)}


def _percentile(times: list[float], share: float) -> float | None:
    if not times:
        return None
    return round(times[min(int(len(times) * share), len(times) - 1)], 1)
