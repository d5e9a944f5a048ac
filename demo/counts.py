"""Sums the demo up from the callers' side and from the backends' run counts."""

from collections import Counter

from boragestream.operator.results import LOST, RequestResult

CHARGING_SERVICE = "member-ledger"
BAD = ("lost", "doubled", "crossed", "refused_but_run", "answered_but_not_run")


def summarise(samples, fleet):
    """Return the summary: counts, latencies and attainment."""
    outcomes = Counter(sample.outcome for sample in samples)
    everything, charged = run_counts(fleet)
    refused = [request_id(s) for s in samples if s.outcome == "refused"]
    charges = [request_id(s) for s in samples if s.once and s.outcome == "answered"]
    seconds = sorted(sample.seconds for sample in samples)
    in_time = sum(is_in_time(sample) for sample in samples)
    return {
        "sent": len(samples),
        **{k: outcomes[k] for k in ("answered", "refused", "failed", "unknown")},
        "lost": outcomes[LOST],
        "doubled": sum(count > 1 for count in charged.values()),
        "crossed": sum(sample.crossed for sample in samples),
        "refused_but_run": sum(everything[r] > 0 for r in refused),
        "answered_but_not_run": sum(charged[r] != 1 for r in charges),
        "streamed": sum(sample.stream for sample in samples),
        "not_repeatable": sum(sample.once for sample in samples),
        "charged": sum(charged.values()),
        "p50_ms": round(seconds[len(seconds) // 2] * 1e3, 1),
        "p95_ms": round(seconds[int(len(seconds) * 0.95)] * 1e3, 1),
        "attainment": round(in_time / len(samples), 4),
    }


def is_bad(summary):
    """Tell whether anything happened that must never happen."""
    return any(summary[name] for name in BAD)


def run_counts(fleet):
    """Return the runs by request id: of all services, and of the charging one."""
    everything, charged = Counter(), Counter()
    for name, runs in fleet.runs().items():
        everything.update(runs["requests"])
        if fleet.servers[name].extra["service"] == CHARGING_SERVICE:
            charged.update(runs["requests"])
    return everything, charged


def request_id(sample):
    """Return the id that the system gave the request."""
    return sample.reply.request_id


def is_in_time(sample):
    """Tell whether a request was answered within its deadline."""
    return sample.outcome == "answered" and sample.seconds <= sample.deadline_seconds


def to_result(sample):
    """Return a sample as a result that ``boragestream report`` reads."""
    whole = sample.outcome != LOST
    return RequestResult(
        account=sample.account,
        pipeline=sample.pipeline,
        request_id=request_id(sample) if whole else "",
        outcome=sample.outcome,
        milliseconds=round(sample.seconds * 1e3, 2),
        failure=failure_code(sample.reply) if whole else sample.reply.code,
        in_time=is_in_time(sample),
    )


def failure_code(reply):
    """Return the code of a reply's failure, empty where it was answered."""
    return reply.problem.get("type", "").rpartition(":")[2]
