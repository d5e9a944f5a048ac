"""Steps that compare the pages under docs/ with the code."""

import json
import re
from dataclasses import MISSING, fields
from pathlib import Path

from behave import then

import boragestream
from boragestream.backend import failures as backend_failures
from boragestream.base import failures as base_failures
from boragestream.base.clock import SystemClock
from boragestream.base.metrics import PREFIX
from boragestream.base.observations import Observations
from boragestream.base.outcomes import Refused
from boragestream.base.route_metrics import RouteMetrics
from boragestream.caller import failures as caller_failures
from boragestream.caller.replies import problem
from boragestream.daemon.exit_codes import ExitCode as EntryExitCode
from boragestream.document import records
from boragestream.operator.exits import ExitCode

ROOT = Path(boragestream.__file__).parents[1]
PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
RECORDS = (
    "Document",
    "ClientAccount",
    "Model",
    "Service",
    "Pipeline",
    "Stage",
    "Policies",
)
NOT_TOLD = ("AttemptFailure", "AttemptCancelled", "CallerGone")


def section(page, title):
    """Return the rows of the table under a title, as lists of cells."""
    text = (ROOT / "docs" / page).read_text()
    part = text.partition(f"## {title}\n")[2].partition("\n## ")[0]
    rows = [line.strip("|").split("|") for line in part.splitlines() if line[:1] == "|"]
    return [[cell.strip() for cell in row] for row in rows[2:]]


@then("each record of the document has its table there, with the same fields")
def step(context):
    for name in RECORDS:
        listed = [row[0].strip("`") for row in section("DOCUMENT.md", name)]
        known = [field.name for field in fields(getattr(records, name))]
        assert listed == known, (name, listed, known)


@then("the defaults that it states are those of the code")
def step(context):
    words = {"no limit": None, "all": (), "the stage before": None}
    for name in RECORDS:
        rows = {
            row[0].strip("`"): row[1].strip("`") for row in section("DOCUMENT.md", name)
        }
        for field in fields(getattr(records, name)):
            stated = rows[field.name]
            has_default = field.default is not MISSING
            if stated in ("needed", "all defaults"):
                assert not has_default, (name, field.name)
            elif stated == "none":
                assert field.default in ("", ()), (name, field.name)
            elif stated in words:
                assert field.default == words[stated], (name, field.name)
            else:
                quoted = stated if stated[0] in '"0123456789tf' else f'"{stated}"'
                assert field.default == json.loads(quoted), (name, field.name)


@then("each failure has a row there, with the status that a refusal has")
def step(context):
    rows = section("CALLERS.md", "Failures")
    listed = {code: row[1] for row in rows for code in re.findall(r"`([^`]+)`", row[0])}
    modules = (base_failures, caller_failures, backend_failures)
    kinds = {getattr(m, n) for m in modules for n in m.__all__ if n[0].isupper()}
    for kind in kinds:
        values = [None] * len(fields(kind)) if hasattr(kind, "code") else []
        if not hasattr(kind, "code") or kind.__name__ in NOT_TOLD:
            continue
        failure = kind(*values)
        assert failure.code in listed, failure.code
        stated = listed[failure.code]
        status = problem(Refused(failure), "r").status
        assert stated in ("", str(status)), (failure.code, stated, status)


@then("its exit codes are those of the two programs")
def step(context):
    rows = section("OPERATIONS.md", "Stop and replace")
    assert {int(row[0]) for row in rows} == {1, *EntryExitCode}, rows
    rows = section("OPERATIONS.md", "See what it does")
    assert {int(row[0]) for row in rows} == set(ExitCode), rows


class Names:
    """Metrics that keep the names they are given."""

    def __init__(self):
        """Begin with none."""
        self.names = set()

    def count(self, name):
        """Keep a counter's name."""
        self.names.add(name)

    def timing(self, name, seconds):
        """Keep a timing's name."""
        self.names.add(name)


@then("its metrics are those that the code sends")
def step(context):
    rows = section("OPERATIONS.md", "Metrics")
    metrics = Names()
    observations = Observations(SystemClock(), metrics)
    observations.request_ended("ACCOUNT", "PIPELINE", "OUTCOME", 0.1)
    observations.attempt_ended("PIPELINE", "STAGE", True, 0.1)
    observations.attempt_ended("PIPELINE", "STAGE", False, 0.1)
    observations.answer_oversized()
    assert {row[0].strip("`") for row in rows} == metrics.names, metrics.names
    assert PREFIX in (ROOT / "docs" / "OPERATIONS.md").read_text()


@then("its metrics as text are those that an entry serves")
def step(context):
    rows = section("OPERATIONS.md", "Metrics as text")
    listed = {
        name for row in rows for name in re.findall(r"`(boragestream_\w+)`", row[0])
    }
    metrics = RouteMetrics()
    served = set(re.findall(r"^# TYPE (\w+) ", metrics.text(), re.MULTILINE))
    served = {name for name in served if not name.endswith("_created")}
    source = (ROOT / "boragestream" / "daemon" / "route_entry.py").read_text()
    gauges = re.findall(r'gauge\("(\w+)"', source)
    assert listed == served | {f"boragestream_{name}" for name in gauges}, listed


@then("each relative link in a page names a file")
def step(context):
    broken = [
        (page.name, link)
        for page in PAGES
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not broken, broken
