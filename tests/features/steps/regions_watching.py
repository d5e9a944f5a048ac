"""Steps on entries of two regions that follow the store, in simulated time."""

from behave import given, then, when

from tests.standins.following_regions import RegionSite


@given("{count:d} entries in two regions, each change to be known within {bound:g} s")
def step(context, count, bound):
    context.site = RegionSite(count, bound)
    context.calls = 0


def watchers(context, region):
    """Return the entries of a region that watch."""
    return [e for e in context.site.of_region(region) if e.designated()]


@then("two entries of each region watch, in different data centres")
def step(context):
    for region in ("valley", "coast"):
        centres = [entry.centre for entry in watchers(context, region)]
        assert len(set(centres)) == len(centres) == 2, (region, centres)


@when('in "{region}" one watcher is lost')
def step(context, region):
    watchers(context, region)[0].alive = False


@when('in "{region}" both watchers are lost')
def step(context, region):
    for entry in watchers(context, region):
        entry.alive = False


@when('in "{region}" the data centre of a watcher is lost')
def step(context, region):
    centre = watchers(context, region)[0].centre
    for entry in context.site.running():
        if entry.centre == centre:
            entry.alive = False


@when('in "{region}" the entry that confirms is lost')
def step(context, region):
    confirming = [e for e in context.site.of_region(region) if e.confirming._is_first()]
    assert len(confirming) == 1, confirming
    confirming[0].alive = False


@when("the link to the store is cut for {seconds:d} seconds")
def step(context, seconds):
    site = context.site
    context.kept = site.entries[0].table.values
    context.calls = site.store.calls
    site.cut_link()
    site.run(seconds / 2)
    site.publish()
    site.run(seconds / 2)
    context.made = site.store.calls - context.calls
    site.heal_link()


@then('each entry of "{region}" has the values of before, and says that they are old')
def step(context, region):
    for entry in context.site.of_region(region):
        assert entry.table.values == context.kept, entry.table.values
        assert entry.confirming.age() > context.site.bound, entry.confirming.age()


@then("it was asked at most {most:d} times during the cut")
def step(context, most):
    assert context.made <= most, context.made
