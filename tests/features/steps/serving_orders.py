"""Steps about orders to backend servers."""

from behave import given, then, when

from boragestream.backend.orders import give_order
from boragestream.document import check_document
from boragestream.policy.orders import HeldModel, wanted_models
from boragestream.policy.ownership import (
    LEASE_SECONDS,
    WAIT_SECONDS,
    Candidate,
    Ownership,
    Standing,
)
from boragestream.policy.servers import Server
from boragestream.policy.weight_store import WeightStoreShare
from boragestream.serving.orders import OrderGiver
from tests.standins.clock import SetClock
from tests.standins.orders import OrderServer
from tests.standins.sites import example_document

SERVICE = "writer"
NAME = "writer-1"
CENTRE = "lalitpur-hall"
PLENTY = 1000.0


@given("a server that {treats} fencing numbers")
def step(context, treats):
    context.stand_in = OrderServer(honours=treats == "honours")
    context.add_cleanup(context.stand_in.close)
    if not hasattr(context, "givers"):
        context.clock = SetClock(100.0)
        context.document = check_document(example_document("cooperative"))[0]
        context.givers = {}
        context.rate = PLENTY


@given('"{name}" has owned it for long by list {index:d}')
@when('list {index:d} makes "{name}" the owner and it has waited')
def own_for_long(context, name, index):
    """Have an entry confirm a list until it has waited long enough."""
    until = context.clock.seconds + WAIT_SECONDS + LEASE_SECONDS
    while context.clock.seconds < until:
        confirm(context, name, index)
        context.clock.seconds += LEASE_SECONDS / 4
    confirm(context, name, index)
    context.givers[name].store.set_share(context.rate, 1, 1)
    context.clock.seconds += 1.0


@when('list {index:d} makes "{name}" the owner')
def confirm(context, name, index):
    """Have an entry read a list that names it alone."""
    clock = context.clock
    if name not in context.givers:
        share = WeightStoreShare(clock)
        context.givers[name] = OrderGiver(Ownership(name), share, clock)
    live = [Candidate(name, CENTRE)]
    ownership = context.givers[name].ownership
    ownership.confirm(index, live, [(NAME, CENTRE)], clock.now(), clock.now())


@given("the weight store allows {rate:g} loads a second")
def step(context, rate):
    for giver in context.givers.values():
        giver.store.set_share(rate, 1, 1)
        while giver.store.take():
            pass


@when('"{name}" makes {count:d} rounds')
@when('"{name}" makes {count:d} round')
def make_rounds(context, name, count):
    """Have an entry look after its servers."""
    server = Server(NAME, SERVICE, context.stand_in.host, CENTRE)
    for _ in range(count):
        context.givers[name].round(context.document, [server])


@when('"{name}" is paused beyond its lease while it reads the server')
def step(context, name):
    def pause():
        context.clock.seconds += LEASE_SECONDS

    context.stand_in.when_read = pause
    make_rounds(context, name, 1)


@when("a late order of list {index:d} for another version arrives")
def step(context, index):
    models = (HeldModel("restoration-writer", "old"),)
    give_order(NAME, context.stand_in.host, models, index, lambda: True)


@when("the owners' clock moves on by {seconds:d} seconds")
def step(context, seconds):
    context.clock.seconds += seconds


@then('"{name}" may not order it')
def step(context, name):
    standing = context.givers[name].ownership.standing(NAME, context.clock.now())
    assert standing is not Standing.OWNER, standing


@then('the server took the orders "{numbers}"')
def step(context, numbers):
    assert context.stand_in.orders == [int(n) for n in numbers.split(",")]


@then('the server took the orders ""')
def step(context):
    assert context.stand_in.orders == []


@then("the server holds what is wanted")
def step(context):
    held = [
        HeldModel(**{**m, "adapters": tuple(m["adapters"])})
        for m in context.stand_in.models
    ]
    assert tuple(held) == wanted_models(context.document, SERVICE), held
