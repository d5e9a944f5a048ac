"""Steps on what requests keep of versions of the routes; no process is started."""

import gc
import io
import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.route_metrics import RouteMetrics
from boragestream.caller.connections import RAW_HEADERS
from boragestream.caller.forwarding import ForwardingApplication, RequestCounter
from boragestream.document.routes import (
    CallerLimits,
    CallKind,
    Route,
    RouteDocument,
    RouteService,
    RouteTarget,
)
from boragestream.platform.wire import read_request
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.route_targets import find_services
from boragestream.serving.forwarded_answer import WholeAnswer
from tests.standins.clock import SetClock

HOST = "host.example"
LIMITS = CallerLimits(16384, 4096, 3.0, 15.0)
SERVICES = ("service", "other")


def make_document(version, count, other=frozenset()):
    """Return a version whose routes lead to one service, some to another.

    ``other`` has the numbers of the latter. Nothing is shared between versions.
    """
    routes = [
        Route(
            f"{version}/{number}",
            HOST,
            f"/{number:04d}/",
            CallKind.IDEMPOTENT,
            (RouteTarget(SERVICES[number in other]),),
            1.0,
            0.1,
        )
        for number in range(count)
    ]
    services = tuple(RouteService(name, 64) for name in SERVICES)
    return RouteDocument(version, tuple(routes), services, (), LIMITS)


def offer(context, version, other=frozenset()):
    """Put a version in force."""
    made = make_document(version, context.count, other)
    context.routes.offer(made, b"%d" % version)


def make_application(context):
    """Return the application, with a forwarder that keeps the requests it is given."""

    def keep(run):
        context.runs.append(run)
        head = SimpleNamespace(status=200, reason="OK", headers=())
        return WholeAnswer(head, [])

    def do_nothing(*_):
        pass

    return ForwardingApplication(
        routes=context.routes,
        first=SimpleNamespace(wait_for_first_answers=do_nothing),
        forwarder=SimpleNamespace(
            parts=SimpleNamespace(rng=random.Random(1)), run=keep
        ),
        format=SimpleNamespace(read_request=read_request),
        watchdog=SimpleNamespace(open=do_nothing, close=do_nothing),
        clock=context.clock,
        metrics=RouteMetrics(),
        refusing=lambda: False,
        in_hand=RequestCounter(),
        limit=100,
        used=do_nothing,
    )


def call(application, number):
    """Send a request for a route."""
    status = []
    environ = {
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": f"/{number:04d}/x",
        "wsgi.input": io.BytesIO(),
        RAW_HEADERS: {"HOST": HOST, "REQUEST_ID": f"r-{number}"},
    }
    application(environ, lambda line, headers: status.append(line))
    assert status == ["200 OK"], status


@given("an entry that serves by {count:d} routes")
def step(context, count):
    context.clock, context.count, context.runs = SetClock(), count, []
    context.routes = RoutesInForce(context.clock)
    offer(context, 1)


@when("a request begins under each of {count:d} versions, and all of them run on")
def step(context, count):
    application = make_application(context)
    for version in range(2, count + 2):
        offer(context, version)
        call(application, version)


@then("of the replaced versions the routes of these requests are kept alone")
def step(context):
    in_force = context.routes.current
    gc.collect()
    # Other tests have routes of other hosts.
    kept = [r for r in gc.get_objects() if isinstance(r, Route) and r.host == HOST]
    names = {route.name for route in in_force.document.routes}
    replaced = {route.name for route in kept} - names
    allowed = {run.route.name for run in context.runs}
    assert replaced <= allowed, f"{len(replaced - allowed)} further routes are kept"


@then("each of the requests still knows the services of its version")
def step(context):
    versions = [run.table.version for run in context.runs]
    assert versions == list(range(2, len(versions) + 2)), versions
    assert all(set(run.table.services) == set(SERVICES) for run in context.runs)


@when("{count:d} versions follow that lead one other route each to another service")
def step(context, count):
    context.moved = range(count)
    for number in context.moved:
        offer(context, number + 2, frozenset(range(number + 1)))


@then("the targets of the replaced versions have {most:d} parts at most")
def step(context, most):
    replaced = context.routes.current.service_table.replaced
    assert len(replaced) == len(context.moved), len(replaced)
    parts = {id(part) for each in replaced for part in each.targets[HOST]}
    assert len(parts) <= most, len(parts)


@then("a stream of each of these routes may have begun at its former service")
def step(context):
    replaced, now = context.routes.current.service_table.replaced, context.clock.now()
    for number in context.moved:
        found = find_services(replaced, HOST, f"/{number:04d}/x", now)
        assert SERVICES[0] in found, (number, found)
