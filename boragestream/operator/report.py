"""``boragestream report``: a report of results or of entries' logs, in Markdown."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, fields
from pathlib import Path

from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_failure, print_json
from boragestream.operator.results import RequestResult, read_results
from boragestream.operator.summary import Summary, summarise, summarise_by

__all__ = ["Report", "make_report", "markdown", "report_files"]


@dataclass(frozen=True, slots=True)
class Report:
    """A report.

    :ivar failures: how many requests ended with each failure's code.
    :ivar latest_ms: how late the latest request of a replay was sent.
    """

    whole: Summary
    accounts: dict[str, Summary]
    pipelines: dict[str, Summary]
    failures: dict[str, int]
    latest_ms: float


def report_files(paths: Iterable[Path], as_json: bool) -> ExitCode:
    """Read results or logs and print one report of them all."""
    results: list[RequestResult] = []
    for path in paths:
        found, faults = read_results(path)
        results += found
        for fault in faults:
            print_failure(fault, as_json)
            return ExitCode.USAGE
    report = make_report(results)
    print_json(report) if as_json else print(markdown(report), end="")
    return ExitCode.OK


def make_report(results: list[RequestResult]) -> Report:
    """Return the report of some results."""
    failures = Counter(r.failure for r in results if r.failure)
    return Report(
        whole=summarise(results),
        accounts=summarise_by(results, lambda r: r.account),
        pipelines=summarise_by(results, lambda r: r.pipeline),
        failures=dict(failures.most_common()),
        latest_ms=max((r.late_ms for r in results), default=0.0),
    )


def markdown(report: Report) -> str:
    """Return the report as a Markdown page."""
    lines = ["# Report", ""]
    lines += _table("all", {"all requests": report.whole})
    lines += ["", f"The latest request was sent {report.latest_ms} ms late."]
    lines += ["", "## By client account", ""]
    lines += _table("client account", report.accounts)
    lines += ["", "## By pipeline", ""]
    lines += _table("pipeline", report.pipelines)
    if report.failures:
        lines += ["", "## Failures", "", "| failure | requests |", "| --- | ---: |"]
        lines += [f"| {code} | {n} |" for code, n in report.failures.items()]
    return "\n".join(lines) + "\n"


def _table(title: str, summaries: dict[str, Summary]) -> list[str]:
    names = [field.name for field in fields(Summary)]
    header = " | ".join([title, *(name.replace("_", " ") for name in names)])
    rule = " | ".join(["---", *("---:" for _ in names)])
    rows = [
        " | ".join([group, *(_cell(getattr(summary, name)) for name in names)])
        for group, summary in summaries.items()
    ]
    return [f"| {line} |" for line in (header, rule, *rows)]


def _cell(value: float | None) -> str:
    return "-" if value is None else str(value)
