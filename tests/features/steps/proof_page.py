"""Steps that compare the page of what is proved with the features."""

import re
from pathlib import Path

from behave import then

ROOT = Path(__file__).parents[3]
ROW = re.compile(r"^\|.*\| `(\w+\.feature)` \| (.+) \|$", re.MULTILINE)
TABLE_LINE = re.compile(r"^\| (?!Step|---).*$", re.MULTILINE)
SCENARIO = re.compile(r"^ *Scenario(?: Outline)?: (.+)$", re.MULTILINE)


@then("every scenario that docs/PROOF.md names exists in its feature")
def step(context):
    page = (ROOT / "docs" / "PROOF.md").read_text()
    rows = ROW.findall(page)
    assert len(rows) == len(TABLE_LINE.findall(page)), "a row names no feature"
    missing = [row for row in rows if row[1] not in scenarios(row[0])]
    assert rows and not missing, missing


def scenarios(feature):
    """Return the names of a feature's scenarios."""
    path = ROOT / "tests" / "features" / feature
    return SCENARIO.findall(path.read_text()) if path.exists() else []
