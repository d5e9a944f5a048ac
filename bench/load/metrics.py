"""What a run means in figures; plain arithmetic over samples and work records.

Attainment counts requests by when they were due, goodput by when they were answered,
so that the requests in hand at either end of the counted time cancel out.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from bench.load.client import Sample
from bench.load.deployment import ACCOUNTS, DEADLINE_SECONDS
from bench.load.schedule import Phase

__all__ = [
    "fair_shares",
    "ideal_answers",
    "in_time",
    "jain",
    "percentile",
    "recovery_seconds",
    "summarise",
    "timeline",
    "work_figures",
]

FAST_REFUSAL_SECONDS = 0.05
WINDOW_SECONDS = 0.5
RECOVERED_SHARE = 0.95
NOT_RUN_OUTCOME = "refused"
LARGE_ACCOUNT = "large"


def in_time(sample: Sample) -> bool:
    """Tell whether a request was answered whole within its deadline."""
    return sample.outcome == "answered" and sample.seconds <= DEADLINE_SECONDS


def share(part: float, whole: float) -> float | None:
    """Return a share, or None of nothing."""
    return round(part / whole, 4) if whole else None


def percentile(values: Iterable[float], q: float) -> float | None:
    """Return the smallest value that at least the share q do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return None
    rank = max(1, -(-len(ordered) * q // 1))
    return ordered[int(rank) - 1]


def jain(values: Sequence[float]) -> float | None:
    """Return Jain's index: 1 where all are equal, 1/n where one has everything."""
    squares = sum(v * v for v in values)
    return round(sum(values) ** 2 / (len(values) * squares), 4) if squares else None


def fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity."""
    shares: dict[str, float] = {}
    open_demands = dict(demands)
    left = capacity
    while open_demands:
        unit = left / sum(weights[name] for name in open_demands)
        met = [n for n, d in open_demands.items() if d <= unit * weights[n]]
        if not met:
            shares.update({n: unit * weights[n] for n in open_demands})
            break
        for name in met:
            shares[name] = open_demands.pop(name)
            left -= shares[name]
    return shares


def ideal_answers(phases: Sequence[Phase], begin: float, end: float) -> float:
    """Return the answers that the bottleneck stage can carry between two times."""
    answers = 0.0
    start = 0.0
    for phase in phases:
        seconds = min(end, start + phase.seconds) - max(begin, start)
        load = sum(phase.account_loads.values())
        answers += max(0.0, seconds) * phase.rate * min(1.0, load)
        start += phase.seconds
    return answers


def timeline(samples: Sequence[Sample], seconds: float) -> list[dict]:
    """Return what became of the requests due in each window."""
    windows: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        windows[int(sample.at / WINDOW_SECONDS)].append(sample)
    return [
        {
            "at": index * WINDOW_SECONDS,
            "sent": len(windows[index]),
            "in_time": sum(map(in_time, windows[index])),
            "refused": sum(s.outcome == NOT_RUN_OUTCOME for s in windows[index]),
            "p95": percentile((s.seconds for s in windows[index]), 0.95),
        }
        for index in range(int(seconds / WINDOW_SECONDS))
    ]


def recovery_seconds(
    windows: Sequence[dict], began: float, ended: float, first: float
) -> float | None:
    """Return how long after a fault's end attainment stays below what it was.

    :param began: when the fault began; attainment before it is the measure.
    :param ended: when the fault ended.
    :param first: windows before this are not counted.
    :returns: seconds, or None where it never recovers.
    """
    before = [w for w in windows if first <= w["at"] < began - WINDOW_SECONDS / 2]
    usual = sum(w["in_time"] for w in before) / max(1, sum(w["sent"] for w in before))
    recovered: float | None = 0.0
    for window in windows:
        if window["at"] < ended or not window["sent"]:
            continue
        good = window["in_time"] / window["sent"] >= RECOVERED_SHARE * usual
        if not good:
            recovered = window["at"] + WINDOW_SECONDS - ended
    last = [w for w in windows if w["sent"]][-1]["at"] + WINDOW_SECONDS
    return None if recovered and ended + recovered >= last else recovered


def work_figures(work: dict[str, list[dict]], samples: Sequence[Sample]) -> dict:
    """Return attempts and server-seconds, by service and together.

    Seconds are wasted where the request was not answered in time, and where another
    attempt of the same stage brought the result.

    :param work: the stand-ins' records by service.
    :param samples: the samples to which the work is set.
    """
    answered = {s.request_id for s in samples if in_time(s)}
    mine = {s.request_id for s in samples if s.request_id}
    by_service = {}
    useful_total = busy_total = nominal_total = 0.0
    attempts = calls = 0
    for service, records in sorted(work.items()):
        records = [r for r in records if r["request"] in mine]
        useful: dict[str, float] = {}
        for record in records:
            if record["finished"] and record["request"] in answered:
                useful[record["request"]] = record["busy"]
        busy = sum(r["busy"] for r in records)
        nominal = sum(r["nominal"] for r in records)
        times = [r["queued"] + r["busy"] for r in records if r["finished"]]
        by_service[service] = {
            "attempts": len(records),
            "busy_seconds": round(busy, 3),
            "wasted_seconds": round(busy - sum(useful.values()), 3),
            **_latency(times),
        }
        busy_total += busy
        nominal_total += nominal
        useful_total += sum(useful.values())
        attempts += len(records)
        calls += len({r["request"] for r in records})
    return {
        "attempts": attempts,
        "attempts_per_call": share(attempts, calls),
        "busy_seconds": round(busy_total, 3),
        "nominal_seconds": round(nominal_total, 3),
        "wasted_seconds": round(busy_total - useful_total, 3),
        "wasted_share": share(busy_total - useful_total, busy_total),
        "by_service": by_service,
    }


def _latency(seconds: Sequence[float]) -> dict[str, float | None]:
    figures = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    return {k: _rounded(percentile(seconds, q)) for k, q in figures.items()}


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)


def summarise(
    samples: Sequence[Sample],
    work: dict[str, list[dict]],
    phases: Sequence[Phase],
    begin: float,
    end: float,
) -> dict:
    """Return the figures of the counted time.

    :param samples: every sample of the run.
    :param work: the stand-ins' records by service.
    :param begin: seconds after the start from which requests are counted.
    :param end: until when.
    """
    counted = [s for s in samples if begin <= s.at < end]
    outcomes = Counter(s.outcome for s in counted)
    good = sum(map(in_time, counted))
    refused = [s for s in counted if s.outcome == NOT_RUN_OUTCOME]
    completed = [s for s in samples if in_time(s) and begin <= s.at + s.seconds < end]
    ideal = ideal_answers(phases, begin, end)
    figures = work_figures(work, counted)
    admitted = len(counted) - len(refused)
    return {
        "sent": len(counted),
        "outcomes": dict(outcomes),
        "failures": dict(Counter(s.failure for s in counted if s.failure)),
        "attainment": share(good, len(counted)),
        "attainment_admitted": share(good, admitted),
        "goodput": len(completed) / (end - begin),
        "goodput_of_ideal": share(len(completed), ideal),
        "fast_refusals": share(
            sum(s.seconds <= FAST_REFUSAL_SECONDS for s in refused), len(refused)
        ),
        "refusal_p95": _rounded(percentile((s.seconds for s in refused), 0.95)),
        "accounts": _account_figures(counted, phases, begin, end),
        "answered_seconds": _latency([s.seconds for s in counted if in_time(s)]),
        "all_seconds": _latency([s.seconds for s in counted]),
        "first_token": _latency([s.first for s in counted if s.first is not None]),
        "lag_p99": _rounded(percentile((s.lag for s in counted), 0.99)),
        "work": figures,
        "nominal_per_answer": share(figures["nominal_seconds"], good),
    }


def _account_figures(
    counted: Sequence[Sample], phases: Sequence[Phase], begin: float, end: float
) -> dict:
    sent = Counter(s.account for s in counted)
    good = Counter(s.account for s in counted if in_time(s))
    names = [name for name in ACCOUNTS if sent[name]]
    attainment = {name: share(good[name], sent[name]) for name in names}
    ideal = ideal_answers(phases, begin, end)
    demands = {name: float(sent[name]) for name in names}
    fair = fair_shares(demands, {n: ACCOUNTS[n] for n in names}, ideal)
    return {
        "attainment": attainment,
        "worst": min(attainment.values(), default=None),
        "small": share(
            sum(good[n] for n in names if n != LARGE_ACCOUNT),
            sum(sent[n] for n in names if n != LARGE_ACCOUNT),
        ),
        "jain_by_weight": jain([good[n] / ACCOUNTS[n] for n in names]),
        "jain_by_fair_share": jain([good[n] / fair[n] for n in names if fair[n]]),
    }
