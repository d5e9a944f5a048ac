"""Steps that check documents."""

import json

from behave import given, then, when

from boragestream.document import check_document
from tests.standins.sites import example_document


@given('the example document of "{site}"')
def step(context, site):
    context.document = example_document(site)


@when('"{path}" is set to {value}')
def step(context, path, value):
    *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
    target = context.document
    for part in parents:
        target = target[part]
    target[last] = json.loads(value)


@then("it has no faults")
def step(context):
    document, faults = check_document(context.document)
    assert document is not None, faults


@then('the faults are at "{places}"')
def step(context, places):
    document, faults = check_document(context.document)
    assert document is None
    assert [f.place for f in faults] == places.split(", "), faults
