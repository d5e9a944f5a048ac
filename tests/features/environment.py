"""Fixtures that the steps share: one fleet for each feature that asks for it."""

from behave import fixture, use_fixture

from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_servers
from tests.standins.verdicts import Injected

FLEET_TAG = "fixture.fleet."


@fixture
def fleet(context, site):
    """Start a site's fleet for a feature or scenario."""
    with Fleet(example_document(site), example_servers(site)) as started:
        context.fleet = started
        yield started


def before_all(context):
    """Begin to count the faults that strike."""
    context.injected = Injected()


def before_tag(context, tag):
    """Start what a tag asks for."""
    if tag.startswith(FLEET_TAG):
        use_fixture(fleet, context, tag.removeprefix(FLEET_TAG))


def after_all(context):
    """Print how many faults struck."""
    if context.injected.scenarios:
        print(context.injected.summary())
