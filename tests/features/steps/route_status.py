"""Steps on the status that is read from the metrics of entries."""

import contextlib
import io
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from behave import given, then, when

from boragestream.base.clock import SystemClock
from boragestream.base.memory_budget import MemoryBudget, MemoryKind
from boragestream.base.route_metrics import RegionFigures, RouteMetrics
from boragestream.operator.route_status import print_route_status

ADDRESS = "127.0.0.1"


class MetricsHandler(BaseHTTPRequestHandler):
    """Serves the text that the server's ``text`` returns."""

    def do_GET(self):
        """Answer with the metrics."""
        body = self.server.text().encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Log nothing."""


def serve(context, text):
    """Serve metrics until the scenario ends, and name their address."""
    server = ThreadingHTTPServer((ADDRESS, 0), MetricsHandler)
    server.text = text
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    if "metrics_addresses" not in context:
        context.metrics_addresses, context.metrics = [], []
    context.metrics_addresses.append(f"{ADDRESS}:{server.server_port}")


def serve_new(context):
    """Serve the metrics of a new entry and return them."""
    metrics = RouteMetrics()
    serve(context, metrics.text)
    context.metrics.append(metrics)
    return metrics


def printed(context, as_json):
    """Print the status and keep its exit code and output."""
    context.output = io.StringIO()
    with contextlib.redirect_stdout(context.output):
        context.code = print_route_status(context.metrics_addresses, as_json)


def tables(context):
    """Return the printed tables: the words of each row, by the header's first word."""
    found = {}
    for block in context.output.getvalue().split("\n\n"):
        rows = [line.split() for line in block.strip().splitlines()]
        if rows:
            found[rows[0][0]] = rows
    return found


@given(
    'an entry that exchanged with region "{region}" {calls:d} bytes of calls and '
    "{orders:d} of orders, {delay:d} ms away with a window of {window:d}"
)
def step(context, region, calls, orders, delay, window):
    sizes = {"call": calls, "order": orders}
    figures = RegionFigures(region, delay / 1000, window, sizes)
    serve_new(context).region_figures(lambda: [figures])


@given(
    "an entry with a memory limit of {limit:d} that holds {request:d} bytes of "
    "requests and {output:d} of output"
)
def step(context, limit, request, output):
    budget = MemoryBudget(limit, SystemClock())
    budget.charge(MemoryKind.REQUEST, request)
    budget.charge(MemoryKind.OUTPUT, output)
    serve_new(context).set_memory(budget)


@given("an entry without a memory limit")
def step(context):
    serve_new(context)


@given("an entry whose metrics are")
def step(context):
    text = context.text + "\n"
    serve(context, lambda: text)


@given("an address without an entry")
def step(context):
    context.metrics_addresses.append(f"{ADDRESS}:1")


@given(
    'entry {number:d} refused "{account}" as surplus of "{place}" {times:d} time at a '
    "share of {share:g} and a demand of {demand:g}"
)
@given(
    'entry {number:d} refused "{account}" as surplus of "{place}" {times:d} times at a '
    "share of {share:g} and a demand of {demand:g}"
)
def step(context, number, account, place, times, share, demand):
    for _ in range(times):
        context.metrics[number - 1].surplus_refused(place, account, share, demand)


@given('entry {number:d} left {times:d} request of "{route}" unserved by "{cause}"')
@given('entry {number:d} left {times:d} requests of "{route}" unserved by "{cause}"')
def step(context, number, times, route, cause):
    for _ in range(times):
        context.metrics[number - 1].request_unserved(route, cause)


@given(
    'entry {number:d} offered {times:d} chains to "{region}" of which {accepted:d} was '
    "accepted"
)
def step(context, number, times, region, accepted):
    for index in range(times):
        context.metrics[number - 1].chain_offered(region, index < accepted)


@given(
    "entry {number:d} refused {times:d} requests for memory and abandoned {readers:d} "
    "slow readers"
)
def step(context, number, times, readers):
    for _ in range(times):
        context.metrics[number - 1].memory_refused()
    for _ in range(readers):
        context.metrics[number - 1].caller_abandoned(unread=True)


@when("the status of all entries is printed as JSON")
def step(context):
    printed(context, as_json=True)


@when("the status of all entries is printed")
def step(context):
    printed(context, as_json=False)


@then("its tables hold the rows")
def step(context):
    rows = [row for table in tables(context).values() for row in table]
    for (wanted,) in context.table:
        named = wanted.replace("ENTRY-1", context.metrics_addresses[0])
        assert named.split() in rows, (named, rows)


@then('its table "{title}" has {count:d} row')
def step(context, title, count):
    assert len(tables(context)[title]) == 1 + count, tables(context)


@then('it prints no table "{title}"')
def step(context, title):
    assert title not in tables(context), tables(context)


@then('it prints "{first}" before "{second}"')
def step(context, first, second):
    output = context.output.getvalue()
    assert output.index(first) < output.index(second), output
