"""Steps on answers of the store that are too long to be read."""

from behave import then, when

from tests.features.steps.route_entries import publish, wait_for_status
from tests.standins.fleet import wait_until
from tests.standins.route_site import route

# Changes that come while the store is unreachable, and the bytes of a published route.
PUBLISHED_IN_A_ROW = 12
ROUTE_BYTES = 300


@when("the store is unreachable while {what} of {size:d} MB are published")
def step(context, what, size):
    site = context.site
    site.store.down = "reset"
    length = size * 1_000_000 // PUBLISHED_IN_A_ROW
    for number in range(PUBLISHED_IN_A_ROW):
        if what == "configurations":
            last = number == PUBLISHED_IN_A_ROW - 1
            prefixes = [f"/{'long' * 10}-{n}/" for n in range(length // ROUTE_BYTES)]
            prefixes += ["/new/"] if last else []
            extra = [route(prefix, "safe", "plain") for prefix in prefixes]
            publish(context, number + 2, extra=extra)
        else:
            site.store.put("servers/other", b"x" * length)
    if what == "server entries":
        context.added = site.add_server("plain")
    site.store.down = None


@then("all entries follow the last of the configurations")
def step(context):
    wait_for_status(context, "/new/ok", 200)


@then("all entries follow the last of the server entries")
def step(context):
    site = context.site
    for name in site.entries:

        def lists_added(name=name):
            changes = site.events(name, "instances_changed")
            return any(context.added.identity in change["added"] for change in changes)

        wait_until(lists_added, what=f"{name} lists the added server")
